package balance

import (
	"slices"
	"testing"
)

// Packets of a flow with a sticky override find its backend after the index of their class has changed, by
// a reload or in the next process.
func TestSticky_OverrideSurvivesClassRenumbering(t *testing.T) {
	s := defaultSettings()
	s.PassThrough, s.Classes[0].NameHash = true, 0xc0ffee
	b, r := newTestBalancer(t, s, 6)
	primary := mustSend(t, b, r, sec, Request{ID: 1, Key: 5})
	other := b.endpoints.byID[primary%6+1]
	b.sticky.remember(sec, b.requests[1].flowKey, other)
	changed := s
	changed.Classes = append(slices.Clone(s.Classes), Class{LatencyObjective: 400 * ms, ClientTimeout: sec, Idempotency: NonIdempotent, NameHash: 0xc0ffee})
	b.UpdateSettings(changed)
	if to := mustSend(t, b, r, sec, Request{ID: 2, Key: 5, Class: 5, MidStream: true}); to != other.ID {
		t.Errorf("after a reload they go to %d, not to %d", to, other.ID)
	}
	changed.Classes = []Class{s.Classes[1], s.Classes[0]}
	n, nr := restart(t, changed, 6, sec, b.Snapshot())
	if to := mustSend(t, n, nr, sec, Request{ID: 3, Key: 5, Class: 1, MidStream: true}); to != other.ID {
		t.Errorf("in a next process they go to %d, not to %d", to, other.ID)
	}
}

// Packets of a connection that a full or ejected backend holds go there: any other would reset them.
func TestSticky_MidStreamFollowsConnectionToFullBackend(t *testing.T) {
	s := defaultSettings()
	s.PassThrough = true
	b, r := newTestBalancer(t, s, 6)
	primary := mustSend(t, b, r, sec, Request{ID: 1, Key: 5})
	b.endpoints.byID[primary].concurrency.limit, b.endpoints.byID[primary].concurrency.lastOverload = 0.5, sec
	b.endpoints.byID[primary].ejection.until = 10 * sec
	if to := mustSend(t, b, r, sec, Request{ID: 2, Key: 5, MidStream: true}); to != primary {
		t.Errorf("they go to %d, not to %d that holds it", to, primary)
	}
	if to := mustSend(t, b, r, sec, Request{ID: 3, Key: 5}); to == primary {
		t.Error("a new connection goes to an ejected backend")
	}
}
