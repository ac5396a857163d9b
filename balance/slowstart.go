package balance

import (
	"cmp"
	"math"
	"time"
)

const (
	// idleFleetConnections is how many connections on each backend all relays without any count as
	// together. One each would make the sum grow with the number of relays.
	idleFleetConnections = 8.0

	// maxSlowStartTokens is more than any cold backend is ever sent at once.
	maxSlowStartTokens = 1 << 10
)

// slowStartTokens limits what this relay sends a cold backend within one window.
type slowStartTokens struct {
	tokens   float64       // requests that may still be sent
	refillAt time.Duration // end of the window
}

// reset empties the tokens of a backend that has started. The first window begins at a random moment, so
// that those of many relays do not coincide.
func (t *slowStartTokens) reset(now, offset time.Duration) {
	t.tokens, t.refillAt = 0, now+offset
}

// refill starts a new window with this many tokens.
func (t *slowStartTokens) refill(now, window time.Duration, tokens float64) {
	t.tokens = tokens
	t.refillAt = now + window - (now-t.refillAt)%window
}

// spend takes a token for a request.
func (t *slowStartTokens) spend() { t.tokens-- }

// slowStartShare is the fraction of its capacity that a backend certainly has: it rises from
// SlowStartFloor to 1 over SlowStartWindow.
func (b *Balancer) slowStartShare(now time.Duration, target *backend) float64 {
	age, window := now-target.ReadyAt, b.settings.SlowStartWindow
	if target.ReadyAt == 0 || window <= 0 || age >= window {
		return 1
	}
	floor := b.settings.SlowStartFloor
	return floor + (1-floor)*max(0, float64(age)/float64(window))
}

// slowStartAccepts reports whether a backend in slow start accepts a request: a rising share of its keys,
// within this relay's tokens.
func (b *Balancer) slowStartAccepts(now time.Duration, target *backend, req *request) bool {
	share := b.slowStartShare(now, target)
	if share >= 1 {
		return true
	}
	position := float64(mixBits(req.hashKey+target.hash)>>11) / (1 << 53)
	return position <= share && b.hasSlowStartToken(now, target)
}

// hasSlowStartToken reports whether a cold backend may get one more request from this relay in the present
// window. Unused tokens lapse: in a rush, what all relays had saved would arrive at once.
func (b *Balancer) hasSlowStartToken(now time.Duration, target *backend) bool {
	if now >= target.slowStart.refillAt {
		window := max(1, b.settings.OverloadWindow)
		// The fraction of a token is drawn, so that the sum over many relays comes out.
		tokens := math.Floor(b.slowStartRate(now, target)*window.Seconds() + b.rng.Float64())
		target.slowStart.refill(now, window, tokens)
	}
	return target.slowStart.tokens >= 1
}

// slowStartRate is how many requests a second this relay may send a cold backend: half of what would
// overload it, judged by what this relay has on warm backends of its size, spread over the slow start.
func (b *Balancer) slowStartRate(now time.Duration, target *backend) float64 {
	connections, size := b.warmFleet(now)
	idle := idleFleetConnections / float64(b.settings.RelayCount) * float64(len(b.endpoints.ready))
	connections = max(connections, min(1, idle))
	utilization := max(b.health.meanUtilization, fillTargetByReports)
	toFill := connections / utilization / cmp.Or(size, float64(len(b.endpoints.ready))) * target.size
	return b.settings.OverloadMultiple / 2 * toFill * b.slowStartShare(now, target) / b.settings.SlowStartWindow.Seconds()
}

// warmFleet sums up this relay's connections on the warm backends, and their sizes.
func (b *Balancer) warmFleet(now time.Duration) (connections, size float64) {
	for _, s := range b.endpoints.ready {
		if b.slowStartShare(now, s) >= 1 {
			connections += float64(s.connections)
			size += s.size
		}
	}
	return connections, size
}
