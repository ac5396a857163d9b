package simulation

import (
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/session"
)

// acceptConn queues a new connection for the handshake pool.
func (r *relay) acceptConn(conn *connEnd) {
	conn.observer = clientObserver{r.run.checker.ClientAccepted(conn.id, r.number, r.processNumber)}
	r.acceptQueue = append(r.acceptQueue, conn)
	if len(r.acceptQueue) == 1 {
		r.admitQueued()
	}
}

// admitQueued moves accepted connections into the handshake pool while the pool has room.
func (r *relay) admitQueued() {
	for len(r.acceptQueue) > 0 {
		conn := r.acceptQueue[0]
		admitted, evicted, wait := r.handshakes.Add(r.engine.now, conn)
		if evicted != nil {
			r.closeEvicted(evicted)
		}
		if wait > 0 {
			r.engine.schedule(wait, r.whileRunning(r.admitQueued))
			return
		}
		if admitted == nil {
			continue
		}
		r.acceptQueue = r.acceptQueue[1:]
		r.startHandshake(conn, admitted)
	}
}

// closeEvicted closes a connection that the handshake pool has evicted to admit another.
func (r *relay) closeEvicted(evicted *handshake.Connection) {
	conn := evicted.Conn.(*connEnd)
	if evicted.AwaitsAnswer() {
		conn.write([]byte(r.busyAnswer()), func(bool) {})
	}
	conn.close()
}

// startHandshake starts the driver of a connection that the handshake pool has admitted.
func (r *relay) startHandshake(conn *connEnd, admitted *handshake.Connection) {
	r.lastSession++
	driver := &sessionDriver{
		relay:     r,
		session:   session.New(r.lastSession, r.controller.Settings(), r.controller.Metrics()),
		client:    conn,
		handshake: admitted,
	}
	conn.onReadable = driver.readHandshake
	r.engine.schedule(handshake.HandshakeTimeout, r.whileRunning(func() {
		if driver.state == stateHandshake {
			driver.reject(driver.session.HandshakeEnded(session.EndTimeout, len(driver.client.received)))
		}
	}))
	r.handOff(driver.readHandshake)
}
