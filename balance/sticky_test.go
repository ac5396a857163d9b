package balance

import (
	"slices"
	"testing"
)

// Packets of a flow with a sticky override reach its backend after the index of their class has changed, by a
// reload or in the successor.
func TestSticky_OverrideSurvivesClassRenumbering(t *testing.T) {
	settings := defaultSettings()
	settings.PassThrough, settings.Classes[0].NameHash = true, 0xc0ffee
	balancer, rec := newTestBalancer(t, settings, 6)
	primary := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 5})
	other := balancer.endpoints.byID[primary%6+1]
	balancer.sticky.store(sec, balancer.requests[1].flowKey, other)
	changed := settings
	changed.Classes = append(slices.Clone(settings.Classes), Class{LatencyObjective: 400 * ms, ClientTimeout: sec, Idempotency: NonIdempotent, NameHash: 0xc0ffee})
	balancer.UpdateSettings(changed)
	if to := mustSend(t, balancer, rec, sec, Request{ID: 2, Key: 5, Class: 5, MidStream: true}); to != other.ID {
		t.Errorf("after a reload the packets go to backend %d, want %d", to, other.ID)
	}
	changed.Classes = []Class{settings.Classes[1], settings.Classes[0]}
	successor, successorRec := restart(t, changed, 6, sec, balancer.Snapshot())
	if to := mustSend(t, successor, successorRec, sec, Request{ID: 3, Key: 5, Class: 1, MidStream: true}); to != other.ID {
		t.Errorf("in the next process the packets go to backend %d, want %d", to, other.ID)
	}
}

// Packets of a connection that is open on a full or ejected backend go there: any other backend would reset it.
func TestSticky_MidStreamFollowsConnectionToFullBackend(t *testing.T) {
	settings := defaultSettings()
	settings.PassThrough = true
	balancer, rec := newTestBalancer(t, settings, 6)
	primary := mustSend(t, balancer, rec, sec, Request{ID: 1, Key: 5})
	balancer.endpoints.byID[primary].concurrency.limit, balancer.endpoints.byID[primary].concurrency.lastOverload = 0.5, sec
	balancer.endpoints.byID[primary].ejection.until = 10 * sec
	if to := mustSend(t, balancer, rec, sec, Request{ID: 2, Key: 5, MidStream: true}); to != primary {
		t.Errorf("the packets go to backend %d, want %d that has the connection", to, primary)
	}
	if to := mustSend(t, balancer, rec, sec, Request{ID: 3, Key: 5}); to == primary {
		t.Error("a new connection goes to an ejected backend")
	}
}
