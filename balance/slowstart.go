package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// idleFleetConnections is the number of connections on each backend that all relays together assume if they
	// have none; each relay assumes its part, at most one connection in total. If each relay assumed one, the sum
	// would grow with the number of relays.
	idleFleetConnections = 8.0

	// maxSlowStartTokens bounds the tokens that a snapshot may hold. It is more than any cold backend ever gets in
	// one window.
	maxSlowStartTokens = 1 << 10
)

// slowStartTokens limits the requests that this relay sends to a cold backend within one window.
type slowStartTokens struct {
	tokens   float64       // requests that may still be sent
	refillAt time.Duration // end of the window
}

// reset removes the tokens of a backend that has started. The first window begins after a random offset, so
// that the windows of many relays do not coincide.
func (t *slowStartTokens) reset(now, offset time.Duration) {
	t.tokens, t.refillAt = 0, now+offset
}

// refill starts a new window with this many tokens.
func (t *slowStartTokens) refill(now, window time.Duration, tokens float64) {
	t.tokens = tokens
	t.refillAt = now + window - (now-t.refillAt)%window
}

// spend uses one token for a request.
func (t *slowStartTokens) spend() { t.tokens-- }

// slowStartShare returns the fraction of its capacity that a backend is assumed to have: it rises from
// SlowStartFloor to 1 over SlowStartWindow.
func (b *Balancer) slowStartShare(now time.Duration, target *backend) float64 {
	age, window := now-target.ReadyAt, b.settings.SlowStartWindow
	if target.ReadyAt == 0 || window <= 0 || age >= window {
		return 1
	}
	floor := b.settings.SlowStartFloor
	return floor + (1-floor)*max(0, float64(age)/float64(window))
}

// slowStartAccepts reports whether slow start allows a request on a backend. A cold backend accepts a rising share
// of its keys, within this relay's tokens.
func (b *Balancer) slowStartAccepts(now time.Duration, target *backend, req *request) bool {
	share := b.slowStartShare(now, target)
	if share >= 1 {
		return true
	}
	position := float64(mixBits(req.hashKey+target.hash)>>11) / (1 << 53)
	return position <= share && b.hasSlowStartToken(now, target)
}

// hasSlowStartToken reports whether a cold backend may get one more request from this relay in the present
// window. Unused tokens expire: in a burst, the tokens saved by all relays would otherwise be spent at once.
func (b *Balancer) hasSlowStartToken(now time.Duration, target *backend) bool {
	if now >= target.slowStart.refillAt {
		window := max(1, b.settings.OverloadWindow)
		// A fraction of a token is rounded at random, so that the sum over many relays is right on average.
		tokens := math.Floor(b.slowStartRate(now, target)*window.Seconds() + b.rng.Float64())
		target.slowStart.refill(now, window, tokens)
	}
	return target.slowStart.tokens >= 1
}

// slowStartRate returns how many requests a second this relay may send to a cold backend: half of what would
// overload it. The capacity of the backend is estimated from this relay's connections on warm backends, by size,
// and spread over the slow start window.
func (b *Balancer) slowStartRate(now time.Duration, target *backend) float64 {
	connections, size := b.sumWarmBackends(now)
	idle := idleFleetConnections / float64(b.settings.RelayCount) * float64(len(b.endpoints.ready))
	connections = max(connections, min(1, idle))
	utilization := max(b.health.meanUtilization, fillTargetByReports)
	connectionsToFill := connections / utilization / cmp.Or(size, float64(len(b.endpoints.ready))) * target.size
	return b.settings.OverloadMultiple / 2 * connectionsToFill * b.slowStartShare(now, target) / b.settings.SlowStartWindow.Seconds()
}

// sumWarmBackends returns the number of this relay's connections on all warm backends, and the sum of their sizes.
func (b *Balancer) sumWarmBackends(now time.Duration) (connections, size float64) {
	for _, target := range b.endpoints.ready {
		if b.slowStartShare(now, target) >= 1 {
			connections += float64(target.connections)
			size += target.size
		}
	}
	return connections, size
}
