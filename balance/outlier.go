package balance

import (
	"slices"
	"time"
)

const (
	// minEjection and maxEjection bound the length of an ejection, which doubles with each consecutive failure.
	minEjection = time.Second
	maxEjection = 16 * time.Second

	// ejectedFleetDivisor limits ejection to one third of the ready backends. If more of them fail, they share
	// a cause, and ejecting them all would leave no backend.
	ejectedFleetDivisor = 3

	// isolatedResetWindow is the time that must have passed since a backend's previous reset for the next one
	// to count as a network fault.
	isolatedResetWindow = time.Second

	// minLatencySamples is the number of answers that a latency baseline needs before an answer can count as late.
	// Over a long distance, two answers differ by a third by chance alone.
	minLatencySamples = 4

	// lateExcessFactor is the multiple of the mean excess by which a late answer exceeds the baseline.
	lateExcessFactor = 3

	// maxExcessSamples is the weight of past answers in the mean excess, in samples.
	maxExcessSamples = 64

	// lateAnswersToConfirm is the number of consecutive late answers that show a backend to be slow. One or two
	// occur by chance.
	lateAnswersToConfirm = 3

	// bypassFactor times the late-message rate of a backend's kind is the probability that a reconnecting client
	// bypasses the backend; without health checks it is twice that.
	bypassFactor = 4

	// maxBypasses bounds the backends that a request bypasses if backends are health checked before they get
	// a request, maxBypassesUnchecked if they are not.
	maxBypasses          = 2
	maxBypassesUnchecked = 3

	// attemptsPerError is the number of attempts per reported error below which a backend is bypassed.
	attemptsPerError = 20

	// latenessPriorSeconds is added to the seconds by which the late-message reports of a kind are divided, since a rate
	// over the first few seconds is unreliable.
	latenessPriorSeconds = 5
)

// ejection is the outlier ejection of one backend.
type ejection struct {
	until     time.Duration // no new request is sent before this time
	duration  time.Duration // of the last ejection; 0: none, or an attempt has succeeded since
	lastReset time.Duration // when it last reset a connection; 0: never
}

// isActive reports whether the backend gets no new request now.
func (e *ejection) isActive(now time.Duration) bool { return e.until > now }

// suspend keeps new requests off the backend until a time. It does not count as an ejection.
func (e *ejection) suspend(until time.Duration) { e.until = until }

// recordSuccess resets the length of the next ejection to the minimum.
func (e *ejection) recordSuccess() { e.duration = 0 }

// remove ends the ejection and resets the length of the next one.
func (e *ejection) remove() { e.until, e.duration = 0, 0 }

// latencyBaseline is the usual latency of the health checks of one backend.
type latencyBaseline struct {
	baseline        time.Duration // follows the quick answers; 0: none yet
	samples         int
	consecutiveLate int
	gossipedAt      time.Duration // when another relay last reported the backend as slow
}

// isEstablished reports whether enough answers were seen to recognize late ones.
func (l *latencyBaseline) isEstablished() bool { return l.samples > minLatencySamples }

// discard discards the baseline.
func (l *latencyBaseline) discard() { l.baseline, l.samples = 0, 0 }

// kindLateness counts reports of late messages from backends of one kind (machine type).
type kindLateness struct {
	reports float64 // reports of late messages
	seconds float64 // seconds in which this relay had connections, summed over the backends of the kind
}

// rate is the number of late-message reports per second in which this relay had connections on a backend of the kind.
func (k *kindLateness) rate() float64 { return k.reports / (latenessPriorSeconds + k.seconds) }

// outlierDetector finds backends that perform worse than the others.
type outlierDetector struct {
	ejected       []*backend
	kinds         map[int]*kindLateness // by Backend.Kind
	meanExcess    time.Duration         // mean of how far answers exceed the baseline of their backend
	excessSamples int                   // number of answers in that mean, up to maxExcessSamples
}

func newOutlierDetector() outlierDetector { return outlierDetector{kinds: map[int]*kindLateness{}} }

// latenessFor returns the lateness of a backend's kind.
func (o *outlierDetector) latenessFor(target *backend) *kindLateness {
	lateness := o.kinds[target.Kind]
	if lateness == nil {
		lateness = &kindLateness{}
		o.kinds[target.Kind] = lateness
	}
	return lateness
}

// eject ejects a backend for twice as long as the last time, unless too many backends are ejected already.
func (o *outlierDetector) eject(now time.Duration, target *backend, ready int) {
	o.ejected = slices.DeleteFunc(o.ejected, func(e *backend) bool { return !e.ejection.isActive(now) })
	if target.ejection.isActive(now) || ejectedFleetDivisor*(len(o.ejected)+1) > ready {
		return
	}
	target.ejection.duration = min(max(minEjection, 2*target.ejection.duration), maxEjection)
	target.ejection.until = now + target.ejection.duration
	o.ejected = append(o.ejected, target)
}

// recordLatency counts the consecutive late answers of a backend and updates its baseline. An answer is late
// if it takes at least lateFactor times the baseline and exceeds it by minExcess and by a multiple of the mean
// excess. The baseline rises slowly, so latency that stays high becomes usual in the end.
func (o *outlierDetector) recordLatency(target *backend, latency time.Duration, lateFactor float64, minExcess time.Duration) {
	l := &target.latency
	if l.baseline == 0 {
		l.baseline = max(latency, 1)
	}
	excess := max(0, latency-l.baseline)
	l.samples++
	if o.isLate(l, latency, excess, lateFactor, minExcess) {
		l.consecutiveLate++
	} else {
		l.consecutiveLate = 0
	}
	// The first answer sets the baseline and has no excess. The second and third late answers in a row are left
	// out as well, since they point to a slow backend rather than to usual variation.
	if l.samples > 1 && (l.consecutiveLate <= 1 || l.consecutiveLate > lateAnswersToConfirm) {
		o.excessSamples = min(o.excessSamples+1, maxExcessSamples)
		o.meanExcess += (min(excess, 4*max(o.meanExcess, minExcess)) - o.meanExcess) / time.Duration(o.excessSamples)
	}
	if latency < l.baseline {
		l.baseline += (latency - l.baseline) / 4
	} else {
		l.baseline += (min(latency, 2*l.baseline) - l.baseline) / 64
	}
}

// isLate reports whether an answer is late against the baseline and the mean excess.
func (o *outlierDetector) isLate(
	l *latencyBaseline, latency, excess time.Duration, lateFactor float64, minExcess time.Duration,
) bool {
	if !l.isEstablished() {
		return false
	}
	if float64(latency) < lateFactor*float64(l.baseline) {
		return false
	}
	return excess >= max(minExcess, lateExcessFactor*o.meanExcess)
}

// recordReset records a reset and reports whether it is isolated: the backend reset no other connection shortly
// before. An overloaded or failing backend resets one connection after the other.
func (e *ejection) recordReset(now time.Duration) bool {
	isolated := e.lastReset == 0 || now-e.lastReset > isolatedResetWindow
	e.lastReset = now
	return isolated
}

// isIsolatedReset reports whether an attempt was ended by a reset that may be a network fault. If a single reset
// counted as overload, it would migrate half of the connections of a healthy backend.
func (b *Balancer) isIsolatedReset(now time.Duration, target *backend, status Status) bool {
	return status == StatusReset && !b.settings.ReportsMessageDelay && target.ejection.recordReset(now)
}

// isBackendFailure reports whether the end of an attempt may be a failure of its backend. For an established
// connection only a reset counts, and only if there are no reports of message delay: those show a failing backend
// earlier.
func (b *Balancer) isBackendFailure(req *request, status Status) bool {
	return !req.established || status == StatusReset && !b.settings.ReportsMessageDelay
}

// ejectOnFailure ejects a backend after a failed attempt, and resets the length of its next ejection after a successful
// one. A single failure is enough: quick failures lower the load of a backend and so attract requests, and each of many
// relays may meet only one of them.
func (b *Balancer) ejectOnFailure(now time.Duration, target *backend, status Status) {
	switch status {
	case StatusOK:
		target.ejection.recordSuccess()
	case StatusOverloaded, StatusCancelled, StatusAbandoned:
	default:
		b.outliers.eject(now, target, len(b.endpoints.ready))
	}
}

// bypass reports whether a request bypasses a backend that could accept it, and records that. For a reconnecting
// client, the probability rises with the late-message rate of the backend's kind: a relay without connections on the
// backend that the client has left counts it as empty and would send the client back.
func (b *Balancer) bypass(now time.Duration, target *backend, req *request) bool {
	chance, limit := bypassFactor*b.outliers.latenessFor(target).rate(), maxBypasses
	if !b.settings.HealthChecks {
		chance, limit = 2*chance, maxBypassesUnchecked
	}
	if req.MidStream || req.bypassCount >= limit {
		return false
	}
	if !b.avoidsErrors(now, target, req) && !b.avoidsLateKind(target, req, chance) {
		return false
	}
	req.bypassed[req.bypassCount] = target
	req.bypassCount++
	return true
}

func (r *request) hasBypassed(target *backend) bool { return slices.Contains(r.bypassed[:], target) }

// avoidsLateKind draws whether a reconnecting client avoids a backend on which this relay has no connection.
func (b *Balancer) avoidsLateKind(target *backend, req *request, chance float64) bool {
	return req.Reconnecting && target.connections == 0 && b.rng.Float64() < chance
}

// avoidsErrors reports whether a request that is not idempotent avoids a backend because its load report shows
// errors on more than one in attemptsPerError of the attempts there. Otherwise each of many relays would lose such
// a request before it ejects the backend.
func (b *Balancer) avoidsErrors(now time.Duration, target *backend, req *request) bool {
	if b.settings.Classes[req.Class].Idempotency == Idempotent {
		return false
	}
	interval := max(b.pacer.meanInterval, b.settings.Tick)
	attemptsPerSecond := float64(b.settings.RelayCount) / interval.Seconds() / float64(len(b.endpoints.ready))
	return target.health.hasFreshUtilization(now) && target.health.errorsPerSecond > attemptsPerSecond/attemptsPerError
}
