package baseline

import (
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
)

type hand struct {
	balance.Actions
	sent    []balance.BackendID
	refused int
	failed  int
	moved   []uint64
}

func (h *hand) Send(_ uint64, to balance.BackendID, _ time.Duration) { h.sent = append(h.sent, to) }
func (h *hand) Reject(uint64, time.Duration)                         { h.refused++ }
func (h *hand) Fail(uint64)                                          { h.failed++ }
func (h *hand) Migrate(id uint64)                                    { h.moved = append(h.moved, id) }

func start(name string, load func(balance.BackendID) float64) (decision.Decider, *hand) {
	h := &hand{}
	s := balance.Settings{MaxAttempts: 3, Tick: time.Millisecond, Classes: []balance.Class{{Idempotency: balance.Idempotent}, {Idempotency: balance.NonIdempotent}}}
	p := Named(name, load)(0, 1, s, h)
	p.EndpointsUpdated(0, balance.UpdateFull, []balance.Backend{{ID: 1, State: balance.StateReady}, {ID: 2, State: balance.StateReady},
		{ID: 3, State: balance.StateReady}, {ID: 4, State: balance.StateDraining}})
	return p, h
}

func TestEachPolicyChoosesAsItsNameSays(t *testing.T) {
	loads := map[balance.BackendID]float64{1: 0.9, 2: 0.1, 3: 0.5, 4: 0}
	for _, name := range Names() {
		p, h := start(name, func(id balance.BackendID) float64 { return loads[id] })
		count := map[balance.BackendID]int{}
		for id := uint64(1); id <= 30; id++ {
			p.RequestArrived(0, balance.Request{ID: id, Key: 7, TimeLeft: time.Second})
			p.AttemptSucceeded(0, balance.AttemptResult{ID: id})
			count[h.sent[id-1]]++
		}
		ok := count[4] == 0
		switch name {
		case "hash":
			ok = ok && len(count) == 1
		case "oracle":
			ok = ok && count[2] == 30
		case "least":
			ok = ok && count[1] == 10 && count[2] == 10 && count[3] == 10
		case "random":
			ok = ok && len(count) == 3
		}
		if all, by := p.Connections(); !ok || all != 30 || by != 30 {
			t.Errorf("%s: %v, %d connections, %d by server", name, count, all, by)
		}
		p.EndpointsUpdated(0, balance.UpdateDelta, []balance.Backend{{ID: h.sent[0], State: balance.StateDraining}})
		if len(h.moved) != count[h.sent[0]] {
			t.Errorf("%s: %d moved off a draining server with %d", name, len(h.moved), count[h.sent[0]])
		}
	}
}

func TestEveryPolicyKeepsAttemptsAndEffects(t *testing.T) {
	for _, name := range Names() {
		for class, want := range map[int][3]int{0: {3, 1, 0}, 1: {1, 0, 1}} { // sent, refused, failed
			p, h := start(name, func(balance.BackendID) float64 { return 0 })
			p.RequestArrived(0, balance.Request{ID: 1, Class: class, TimeLeft: time.Second})
			for n := 0; n < len(h.sent); n++ {
				p.AttemptEnded(0, balance.AttemptResult{ID: 1, Attempt: n, Status: balance.StatusError})
			}
			if got := [3]int{len(h.sent), h.refused, h.failed}; got != want {
				t.Errorf("%s, class %d: %v, want %v", name, class, got, want)
			}
			if all, by := p.Connections(); all != 0 || by != 0 {
				t.Errorf("%s: %d and %d connections are left", name, all, by)
			}
		}
	}
}
