package simulation

import (
	"fmt"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// startMisbehavingClient connects a client that violates the protocol in the way that kind selects.
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
		run.sendInvalidInput(conn, kind)
		run.engine.schedule(6*time.Second, conn.close) // well within cleanupPeriod
	})
}

// sendInvalidInput sends the input of one kind of misbehaving client.
func (run *run) sendInvalidInput(conn *connEnd, kind int) {
	const kinds = 9
	send := func(text string) { conn.write([]byte(text), func(bool) {}) }
	id := run.nextRequestID()
	request := fmt.Sprintf("OPEN %016x %016x c=%s,d=900", id, id, run.classes[0].name)
	switch kind % kinds {
	case 0:
		send("HELLO\r\n")
	case 1:
		send(request[:20]) // an incomplete line, and no close
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
	case 7: // sends nothing
	case 8: // resets the connection right after the request
		send(request + "\r\n")
		run.engine.schedule(run.engine.randomDuration(0, 5*time.Millisecond), conn.reset)
	}
}
