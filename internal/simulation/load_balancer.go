package simulation

import (
	"bytes"
	"time"

	"aspenbarrow/internal/session"
)

// loadBalancer distributes connections over the relays that it holds to be healthy. It keeps sending to a relay that
// has failed until it notices.
type loadBalancer struct {
	run     *run
	healthy []bool
}

// checkRelay checks one relay's health, again and again: an unhealthy relay with PING until it answers PONG. A
// healthy one that fails is noticed after a while, as real load balancers do; until then it gets connections.
func (lb *loadBalancer) checkRelay(r *relay) {
	r = lb.run.relays[r.number] // an upgrade may have replaced the process
	switch {
	case lb.healthy[r.number]:
		lb.checkHealthy(r)
	case r.shuttingDown: // the restart is planned; no need to ask meanwhile
		lb.checkAgain(r, 100*time.Millisecond)
	default:
		lb.probe(r)
	}
}

func (lb *loadBalancer) checkAgain(r *relay, after time.Duration) {
	lb.run.engine.schedule(after, func() { lb.checkRelay(r) })
}

// checkHealthy takes a relay out that is down, shutting down or drained.
func (lb *loadBalancer) checkHealthy(r *relay) {
	engine := lb.run.engine
	takeOut := func() { lb.healthy[r.number] = false }
	if !r.up || r.shuttingDown {
		notice := engine.randomDuration(200*time.Millisecond, 2600*time.Millisecond)
		if r.up { // a shutdown is announced
			notice = engine.randomDuration(200*time.Millisecond, 400*time.Millisecond)
		}
		engine.schedule(notice, takeOut)
		lb.checkAgain(r, 3*time.Second)
		return
	}
	if r.controller.Drained() {
		engine.schedule(engine.randomDuration(0, 200*time.Millisecond), takeOut)
	}
	lb.checkAgain(r, 200*time.Millisecond)
}

// probe sends PING to a relay that counts as unhealthy.
func (lb *loadBalancer) probe(r *relay) {
	const (
		timeout  = time.Second
		interval = 300 * time.Millisecond
	)
	lb.run.clientHost.dial(r.host, timeout, func(conn *connEnd) {
		if conn == nil {
			lb.checkAgain(r, 500*time.Millisecond)
			return
		}
		done := false
		conn.onReadable = func() {
			if done || !bytes.Contains(conn.received, []byte("\n")) && conn.remoteEnd == session.NoEnd {
				return
			}
			done = true
			lb.healthy[r.number] = bytes.HasPrefix(conn.received, []byte("PONG")) && !r.shuttingDown
			conn.consume(len(conn.received))
			conn.close()
			lb.checkAgain(r, interval)
		}
		lb.run.engine.schedule(timeout, func() {
			if !done {
				done = true
				conn.close()
				lb.checkAgain(r, interval)
			}
		})
		conn.write([]byte("PING\r\n"), func(bool) {})
	})
}

// checkReadyAfterDrain checks that a relay answers PONG again in time after its drain has ended.
func (run *run) checkReadyAfterDrain(r *relay) {
	r = run.relays[r.number]
	incarnation := r.incarnation
	run.engine.schedule(undrainDeadline, func() {
		if r.incarnation != incarnation || !r.up || r.shuttingDown || r.controller.Drained() || run.closing {
			return
		}
		run.clientHost.dial(r.host, time.Second, func(conn *connEnd) {
			if conn == nil {
				return
			}
			conn.onReadable = func() {
				if bytes.Contains(conn.received, []byte("\n")) {
					if !bytes.HasPrefix(conn.received, []byte("PONG")) && r.controller.Ready() {
						run.reportViolation("drained", "%s says %q though it is drained no more", r.name, conn.received)
					}
					conn.close()
				}
			}
			conn.write([]byte("PING\r\n"), func(bool) {})
			run.engine.schedule(3*time.Second, conn.close)
		})
	})
}

// undrainDeadline is how long after the end of a drain a relay may still answer that it is not ready.
const undrainDeadline = 2 * time.Second

// pickRelay draws a healthy relay for a new connection; nil if there is none.
func (lb *loadBalancer) pickRelay() *relay {
	good := make([]*relay, 0, len(lb.healthy))
	for _, r := range lb.run.relays {
		if lb.healthy[r.number] {
			good = append(good, r)
		}
	}
	if len(good) == 0 {
		return nil
	}
	installation := lb.run.options.Installation
	if installation != nil && installation.HotRelayShare > 0 && lb.healthy[0] {
		if lb.run.engine.rng.Float64() < installation.HotRelayShare {
			return lb.run.relays[0]
		}
	}
	return good[lb.run.engine.rng.IntN(len(good))]
}
