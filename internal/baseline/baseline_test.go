package baseline

import (
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
)

// recorder records the actions of a policy.
type recorder struct {
	balance.Actions
	sent     []balance.BackendID
	rejected int
	failed   int
	migrated []uint64
}

func (r *recorder) Send(_ uint64, to balance.BackendID, _ time.Duration) { r.sent = append(r.sent, to) }
func (r *recorder) Reject(uint64, time.Duration)                         { r.rejected++ }
func (r *recorder) Fail(uint64)                                          { r.failed++ }
func (r *recorder) Migrate(id uint64)                                    { r.migrated = append(r.migrated, id) }

func newPolicy(name string, loadOf func(balance.BackendID) float64) (decision.Decider, *recorder) {
	rec := &recorder{}
	settings := balance.Settings{MaxAttempts: 3, Tick: time.Millisecond, Classes: []balance.Class{{Idempotency: balance.Idempotent}, {Idempotency: balance.NonIdempotent}}}
	p := Lookup(name, loadOf)(0, 1, settings, rec)
	p.EndpointsUpdated(0, balance.UpdateFull, []balance.Backend{{ID: 1, State: balance.StateReady}, {ID: 2, State: balance.StateReady},
		{ID: 3, State: balance.StateReady}, {ID: 4, State: balance.StateDraining}})
	return p, rec
}

func TestPolicies_ChooseByTheirRank(t *testing.T) {
	loads := map[balance.BackendID]float64{1: 0.9, 2: 0.1, 3: 0.5, 4: 0}
	for _, name := range Names() {
		p, rec := newPolicy(name, func(id balance.BackendID) float64 { return loads[id] })
		sent := map[balance.BackendID]int{}
		for id := uint64(1); id <= 30; id++ {
			p.RequestArrived(0, balance.Request{ID: id, Key: 7, TimeLeft: time.Second})
			p.AttemptSucceeded(0, balance.AttemptResult{ID: id})
			sent[rec.sent[id-1]]++
		}
		ok := sent[4] == 0
		switch name {
		case "hash":
			ok = ok && len(sent) == 1
		case "oracle":
			ok = ok && sent[2] == 30
		case "least":
			ok = ok && sent[1] == 10 && sent[2] == 10 && sent[3] == 10
		case "random":
			ok = ok && len(sent) == 3
		}
		if all, byBackend := p.Connections(); !ok || all != 30 || byBackend != 30 {
			t.Errorf("%s: sent %v, %d connections, %d by backend", name, sent, all, byBackend)
		}
		p.EndpointsUpdated(0, balance.UpdateDelta, []balance.Backend{{ID: rec.sent[0], State: balance.StateDraining}})
		if len(rec.migrated) != sent[rec.sent[0]] {
			t.Errorf("%s: %d migrated off a draining backend with %d connections", name, len(rec.migrated), sent[rec.sent[0]])
		}
	}
}

func TestPolicies_LimitAttemptsAndRepeats(t *testing.T) {
	for _, name := range Names() {
		for class, want := range map[int][3]int{0: {3, 1, 0}, 1: {1, 0, 1}} { // sent, rejected, failed
			p, rec := newPolicy(name, func(balance.BackendID) float64 { return 0 })
			p.RequestArrived(0, balance.Request{ID: 1, Class: class, TimeLeft: time.Second})
			for n := 0; n < len(rec.sent); n++ {
				p.AttemptEnded(0, balance.AttemptResult{ID: 1, Attempt: n, Status: balance.StatusError})
			}
			if got := [3]int{len(rec.sent), rec.rejected, rec.failed}; got != want {
				t.Errorf("%s, class %d: %v sent, rejected and failed, want %v", name, class, got, want)
			}
			if all, byBackend := p.Connections(); all != 0 || byBackend != 0 {
				t.Errorf("%s: %d connections are left, %d by backend", name, all, byBackend)
			}
		}
	}
}
