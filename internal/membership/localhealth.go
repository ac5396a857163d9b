package membership

import "time"

const (
	// maxHealthScore bounds the local health score. Lifeguard's paper uses 8: probe timeouts grow threefold at most,
	// suspicion timeouts fivefold.
	maxHealthScore = 8

	// stallPenalty is added to the score after a stall, because the process is likely to be stopped again.
	stallPenalty = maxHealthScore / 2
)

// localHealth is Lifeguard's local health multiplier. The score rises with evidence that this relay itself is slow or
// cut off, and falls with each probe that is answered in time; 0 is healthy. A higher score means longer timeouts, so
// that a relay that is slow or cut off does not suspect healthy members.
type localHealth struct {
	score int
}

// adjust adds delta to the score and clamps it to its bounds.
func (h *localHealth) adjust(delta int) { h.score = min(maxHealthScore, max(0, h.score+delta)) }

// scaleProbeTimeout lengthens a timeout by a quarter for each point of the score.
func (h *localHealth) scaleProbeTimeout(d time.Duration) time.Duration {
	return d * time.Duration(4+h.score) / 4
}

// scaleSuspicionTimeout lengthens a timeout by a half for each point of the score.
func (h *localHealth) scaleSuspicionTimeout(d time.Duration) time.Duration {
	return d * time.Duration(2+h.score) / 2
}

// Health returns the local health score: 0 is healthy, 8 the worst. Higher scores make this relay wait longer before
// it suspects others or marks them dead.
func (m *Memberlist) Health() int { return m.health.score }
