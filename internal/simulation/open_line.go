package simulation

import (
	"fmt"
	"strings"
	"time"
)

// OpenLine holds the values of the OPEN line with which an emulated client requests a connection. The clients of the
// simulation and of the tests on processes both write their lines with it.
type OpenLine struct {
	ID           string
	Key          uint64
	Class        string
	Timeout      time.Duration // how long the client waits for its answer
	Group        uint64        // 0: none
	Retry        bool          // an earlier request of the client was refused or failed
	Reconnecting bool          // the client's session was migrated, or its connection broke
	MidStream    bool          // a backend already holds the connection; another relay has placed it
}

// String returns the line without its CRLF.
func (l *OpenLine) String() string {
	var line strings.Builder
	fmt.Fprintf(&line, "OPEN %s %016x c=%s,d=%d", l.ID, l.Key, l.Class, l.Timeout.Milliseconds())
	if l.Group != 0 {
		fmt.Fprintf(&line, ",g=%016x", l.Group)
	}
	if l.Retry {
		line.WriteString(",r=1")
	}
	if l.Reconnecting {
		line.WriteString(",again=1")
	}
	if l.MidStream {
		line.WriteString(",mid=1")
	}
	return line.String()
}
