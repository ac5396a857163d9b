package balance

import (
	"testing"
)

// Near the limits of the fleet, a tenant's requests beyond its quota are rejected, as they would take the room
// of other tenants.
func TestAdmission_OverQuotaRejectedOnlyNearLimits(t *testing.T) {
	settings := defaultSettings()
	settings.OverQuotaPriority = 0.1
	settings.Tenants = []Tenant{{Share: 0.5, ConnectionQuota: 20}, {Share: 0.5, ConnectionQuota: 20}}
	balancer, rec := newTestBalancer(t, settings, 4)
	for id := uint64(1); id <= 15; id++ { // the tenant's quota of 20 is ten on each of two relays
		mustSend(t, balancer, rec, sec, Request{ID: id, Key: id})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	for _, target := range balancer.endpoints.ready {
		target.concurrency.limit, target.concurrency.lastOverload = 1.25*balancer.loads.trackedLoad(&target.loadSums), sec
	}
	rec.clear()
	balancer.RequestArrived(sec, Request{ID: 50, Key: 50, TimeLeft: sec})
	if len(rec.take(actionReject)) != 1 {
		t.Errorf("actions for a request over quota with little room %v, want one rejection", rec.actions)
	}
	mustSend(t, balancer, rec, sec, Request{ID: 51, Key: 50, Tenant: 1})
}
