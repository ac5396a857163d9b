package simulation

import (
	"bytes"
	"time"

	"aspenbarrow/internal/session"
)

// loadBalancer distributes connections over the relays that are marked as healthy. It detects the failure of a relay
// with a delay, and sends it connections until then.
type loadBalancer struct {
	run     *run
	healthy []bool // by relay
}

// checkRelay checks one relay's health repeatedly. It sends PING to an unhealthy relay until that answers PONG.
// It detects the failure of a healthy one with a delay, as real load balancers do.
func (lb *loadBalancer) checkRelay(r *relay) {
	r = lb.run.relays[r.number] // a hot restart may have replaced the process
	switch {
	case lb.healthy[r.number]:
		lb.checkHealthy(r)
	case r.shuttingDown: // a planned restart: no PING until it is over
		lb.scheduleCheck(r, 100*time.Millisecond)
	default:
		lb.checkUnhealthy(r)
	}
}

func (lb *loadBalancer) scheduleCheck(r *relay, delay time.Duration) {
	lb.run.engine.schedule(delay, func() { lb.checkRelay(r) })
}

// checkHealthy marks a healthy relay as unhealthy if it is down, shutting down or drained.
func (lb *loadBalancer) checkHealthy(r *relay) {
	engine := lb.run.engine
	markUnhealthy := func() { lb.healthy[r.number] = false }
	if !r.up || r.shuttingDown {
		detectionDelay := engine.randomDuration(200*time.Millisecond, 2600*time.Millisecond)
		if r.up { // a shutdown is announced
			detectionDelay = engine.randomDuration(200*time.Millisecond, 400*time.Millisecond)
		}
		engine.schedule(detectionDelay, markUnhealthy)
		lb.scheduleCheck(r, 3*time.Second)
		return
	}
	if r.controller.Drained() {
		engine.schedule(engine.randomDuration(0, 200*time.Millisecond), markUnhealthy)
	}
	lb.scheduleCheck(r, 200*time.Millisecond)
}

// checkUnhealthy sends PING to an unhealthy relay, and marks it as healthy if it answers PONG.
func (lb *loadBalancer) checkUnhealthy(r *relay) {
	const (
		timeout  = time.Second
		interval = 300 * time.Millisecond
	)
	lb.run.clientHost.dial(r.host, timeout, func(conn *connEnd) {
		if conn == nil {
			lb.scheduleCheck(r, 500*time.Millisecond)
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
			lb.scheduleCheck(r, interval)
		}
		lb.run.engine.schedule(timeout, func() {
			if !done {
				done = true
				conn.close()
				lb.scheduleCheck(r, interval)
			}
		})
		conn.write([]byte("PING\r\n"), func(bool) {})
	})
}

// checkReadyAfterDrain checks that a relay answers PONG again within undrainDeadline of the end of its drain.
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
						run.reportViolation("drained", "%s answers %q to PING after the end of its drain, expected PONG", r.name, conn.received)
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
	healthy := make([]*relay, 0, len(lb.healthy))
	for _, r := range lb.run.relays {
		if lb.healthy[r.number] {
			healthy = append(healthy, r)
		}
	}
	if len(healthy) == 0 {
		return nil
	}
	installation := lb.run.options.Installation
	if installation != nil && installation.HotRelayShare > 0 && lb.healthy[0] {
		if lb.run.engine.rng.Float64() < installation.HotRelayShare {
			return lb.run.relays[0]
		}
	}
	return healthy[lb.run.engine.rng.IntN(len(healthy))]
}
