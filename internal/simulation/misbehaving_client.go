package simulation

import (
	"fmt"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// startMisbehavingClient connects a client that violates the protocol in one of several ways.
func (run *run) startMisbehavingClient(kind int) {
	r := run.loadBalancer.pickRelay()
	if r == nil || run.closing {
		return
	}
	run.count("bad client")
	run.clientHost.dial(r.host, 2*time.Second, func(conn *connEnd) {
		if conn == nil {
			return
		}
		conn.onReadable = func() {
			conn.consume(len(conn.received))
			if conn.remoteEnd != session.NoEnd {
				conn.close()
			}
		}
		run.misbehave(conn, kind)
		run.engine.schedule(6*time.Second, conn.close) // well within cleanupPeriod
	})
}

// misbehave sends what a misbehaving client of a kind sends.
func (run *run) misbehave(conn *connEnd, kind int) {
	const kinds = 9
	send := func(text string) { conn.write([]byte(text), func(bool) {}) }
	id := run.nextRequestID()
	request := fmt.Sprintf("OPEN %016x %016x c=%s,d=900", id, id, run.classes[0].name)
	switch kind % kinds {
	case 0:
		send("HELLO\r\n")
	case 1:
		send(request[:20]) // and nothing more
	case 2:
		send(request[:30])
		conn.closeWrite()
	case 3:
		send(request + ",d=5\r\n")
	case 4:
		send(request + "\r\nand more\r\n")
	case 5:
		send(strings.Repeat("PING\r\n", 20))
	case 6:
		send(strings.Repeat("x", 5000))
	case 7: // silence
	case 8: // resets at once
		send(request + "\r\n")
		run.engine.schedule(run.engine.randomDuration(0, 5*time.Millisecond), conn.reset)
	}
}
