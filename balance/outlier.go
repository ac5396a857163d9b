package balance

import (
	"slices"
	"time"
)

const (
	// minEjection and maxEjection bound how long a backend is ejected; the time doubles with each failure
	// in a row.
	minEjection = time.Second
	maxEjection = 16 * time.Second

	// ejectedFleetDivisor: at most one in so many of the backends may be ejected. Trouble of more has a
	// common cause, and ejecting them would leave nothing.
	ejectedFleetDivisor = 3

	// isolatedResetWindow is the time without another reset after which one counts as the network's.
	isolatedResetWindow = time.Second

	// minLatencySamples is how many answers a latency baseline has to rest on. Over a long distance two answers
	// differ by a third by chance alone.
	minLatencySamples = 4

	// scatterAllowance is the multiple of the usual scatter that an answer has to be late by.
	scatterAllowance = 3

	// maxScatterSamples is the weight of the mean scatter over past answers.
	maxScatterSamples = 64

	// lateAnswersToConfirm is how many late answers in a row show that a backend is slow: one or two are
	// chance.
	lateAnswersToConfirm = 3

	// bypassFactor is the chance to pass a backend by over the lateness of its kind.
	bypassFactor = 4

	// maxBypasses is how many backends a request passes by where those it goes to are checked first;
	// maxBypassesUnchecked where they are not.
	maxBypasses          = 2
	maxBypassesUnchecked = 3

	// attemptsPerError: a backend that reports more than one error in so many attempts is passed by.
	attemptsPerError = 20

	// latenessPrior is the time in seconds with connections that the lateness of a kind is diluted by: the
	// first few seconds say little.
	latenessPrior = 5
)

// ejection is the outlier ejection of one backend.
type ejection struct {
	until     time.Duration // no new request before
	duration  time.Duration // of the last ejection; 0: an attempt has succeeded since
	lastReset time.Duration // when it last reset a connection; 0: never
}

// isActive reports whether the backend gets no new request now.
func (e *ejection) isActive(now time.Duration) bool { return e.until > now }

// passBy keeps new requests away until a time, without counting as an ejection.
func (e *ejection) passBy(until time.Duration) { e.until = until }

// recordSuccess makes the next ejection a short one.
func (e *ejection) recordSuccess() { e.duration = 0 }

// lift ends the ejection and forgets the ones before.
func (e *ejection) lift() { e.until, e.duration = 0, 0 }

// latencyBaseline is what is usual of one backend's health check latency.
type latencyBaseline struct {
	baseline        time.Duration // of its quicker answers; 0: none yet
	samples         int
	consecutiveLate int
	gossipedAt      time.Duration // when another relay last reported it slow
}

// isEstablished reports whether enough answers were seen to recognize late ones.
func (l *latencyBaseline) isEstablished() bool { return l.samples > minLatencySamples }

// forget forgets what was usual.
func (l *latencyBaseline) forget() { l.baseline, l.samples = 0, 0 }

// kindLateness counts how often backends of one kind were late while this relay had connections there.
type kindLateness struct {
	late    float64 // seconds with late messages
	seconds float64 // of so many
}

// share is the fraction of seconds with late messages.
func (k *kindLateness) share() float64 { return k.late / (latenessPrior + k.seconds) }

// outlierDetector finds backends that do worse than the others.
type outlierDetector struct {
	ejected        []*backend
	kinds          map[int]*kindLateness // by Backend.Kind
	latencyScatter time.Duration         // by how much answers usually exceed their backend's baseline
	scatterSamples int                   // number of answers that the scatter rests on, up to maxScatterSamples
}

func newOutlierDetector() outlierDetector { return outlierDetector{kinds: map[int]*kindLateness{}} }

// kind returns the lateness of a backend's kind.
func (o *outlierDetector) kind(target *backend) *kindLateness {
	lateness := o.kinds[target.Kind]
	if lateness == nil {
		lateness = &kindLateness{}
		o.kinds[target.Kind] = lateness
	}
	return lateness
}

// eject ejects a backend for twice as long as the last time, unless too many are ejected.
func (o *outlierDetector) eject(now time.Duration, target *backend, ready int) {
	o.ejected = slices.DeleteFunc(o.ejected, func(e *backend) bool { return !e.ejection.isActive(now) })
	if target.ejection.isActive(now) || ejectedFleetDivisor*(len(o.ejected)+1) > ready {
		return
	}
	target.ejection.duration = min(max(minEjection, 2*target.ejection.duration), maxEjection)
	target.ejection.until = now + target.ejection.duration
	o.ejected = append(o.ejected, target)
}

// recordLatency counts the late answers of a backend in a row: those that take lateFactor times the
// baseline, and longer by minExcess and by more than answers scatter here. What stays late becomes usual,
// slowly.
func (o *outlierDetector) recordLatency(target *backend, took time.Duration, lateFactor float64, minExcess time.Duration) {
	l := &target.latency
	if l.baseline == 0 {
		l.baseline = max(took, 1)
	}
	excess := max(0, took-l.baseline)
	l.samples++
	if o.isLate(l, took, excess, lateFactor, minExcess) {
		l.consecutiveLate++
	} else {
		l.consecutiveLate = 0
	}
	// The first answer is what others are compared with, and late ones are due to their backend.
	if l.samples > 1 && (l.consecutiveLate <= 1 || l.consecutiveLate > lateAnswersToConfirm) {
		o.scatterSamples = min(o.scatterSamples+1, maxScatterSamples)
		o.latencyScatter += (min(excess, 4*max(o.latencyScatter, minExcess)) - o.latencyScatter) / time.Duration(o.scatterSamples)
	}
	if took < l.baseline {
		l.baseline += (took - l.baseline) / 4
	} else {
		l.baseline += (min(took, 2*l.baseline) - l.baseline) / 64
	}
}

// isLate reports whether an answer that exceeds the baseline by so much is late.
func (o *outlierDetector) isLate(
	l *latencyBaseline, took, excess time.Duration, lateFactor float64, minExcess time.Duration,
) bool {
	if !l.isEstablished() {
		return false
	}
	if float64(took) < lateFactor*float64(l.baseline) {
		return false
	}
	return excess >= max(minExcess, scatterAllowance*o.latencyScatter)
}

// recordReset records a reset and reports whether it is isolated: none came shortly before. A backend in
// trouble resets one connection after the other.
func (e *ejection) recordReset(now time.Duration) bool {
	isolated := e.lastReset == 0 || now-e.lastReset > isolatedResetWindow
	e.lastReset = now
	return isolated
}

// isIsolatedReset reports whether the end of an attempt is a reset that may be the network's. Taken for
// trouble, each would move half of what a healthy backend holds.
func (b *Balancer) isIsolatedReset(now time.Duration, target *backend, status Status) bool {
	return status == StatusReset && !b.settings.ReportsMessageDelay && target.ejection.recordReset(now)
}

// indictsBackend reports whether the end of an attempt may show that its backend is failing. The end of an
// established connection does so only by a reset, and where no report of message delay shows trouble
// earlier.
func (b *Balancer) indictsBackend(req *request, status Status) bool {
	return !req.established || status == StatusReset && !b.settings.ReportsMessageDelay
}

// ejectOnFailure ejects a backend whose attempt has failed. Its quick failures would lower its load and
// attract requests, and one failure may be all that each of many relays sees.
func (b *Balancer) ejectOnFailure(now time.Duration, target *backend, status Status) {
	switch status {
	case StatusOK:
		target.ejection.recordSuccess()
	case StatusOverloaded, StatusCancelled, StatusAbandoned:
	default:
		b.outliers.eject(now, target, len(b.endpoints.ready))
	}
}

// bypass reports whether a request passes a backend by that could accept it. A reconnecting client does so
// the likelier, the more often backends of that kind were late: each relay in turn, with no connection
// there, would send it back to the backend it left.
func (b *Balancer) bypass(now time.Duration, target *backend, req *request) bool {
	chance, limit := bypassFactor*b.outliers.kind(target).share(), maxBypasses
	if !b.settings.HealthChecks {
		chance, limit = 2*chance, maxBypassesUnchecked
	}
	if req.MidStream || req.bypassCount >= limit {
		return false
	}
	if !b.avoidsErrors(now, target, req) && !b.avoidsKind(target, req, chance) {
		return false
	}
	req.bypassed[req.bypassCount] = target
	req.bypassCount++
	return true
}

func (r *request) hasBypassed(target *backend) bool { return slices.Contains(r.bypassed[:], target) }

// avoidsKind draws whether a reconnecting client avoids a backend that this relay has no connection on.
func (b *Balancer) avoidsKind(target *backend, req *request, chance float64) bool {
	return req.Reconnecting && target.connections == 0 && b.rng.Float64() < chance
}

// avoidsErrors reports whether a request that must not execute twice avoids a backend that reports errors
// on more than a few of the attempts made there. Each of many relays would otherwise lose such a request
// to find out.
func (b *Balancer) avoidsErrors(now time.Duration, target *backend, req *request) bool {
	if b.settings.Classes[req.Class].Idempotency == Idempotent {
		return false
	}
	interval := max(b.pacer.usualInterval, b.settings.Tick)
	attemptsPerSecond := float64(b.settings.RelayCount) / interval.Seconds() / float64(len(b.endpoints.ready))
	return target.health.hasFreshUtilization(now) && target.health.errorsPerSecond > attemptsPerSecond/attemptsPerError
}
