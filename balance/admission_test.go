package balance

import (
	"testing"
)

// Near the fleet's limits, what a tenant asks beyond its quota would take the room of others.
func TestAdmission_OverQuotaRejectedOnlyNearLimits(t *testing.T) {
	s := defaultSettings()
	s.OverQuotaPriority = 0.1
	s.Tenants = []Tenant{{Share: 0.5, ConnectionQuota: 20}, {Share: 0.5, ConnectionQuota: 20}}
	b, r := newTestBalancer(t, s, 4)
	for id := uint64(1); id <= 15; id++ { // ten are its share on one of two relays
		mustSend(t, b, r, sec, Request{ID: id, Key: id})
		b.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	for _, o := range b.endpoints.ready {
		o.concurrency.limit, o.concurrency.lastOverload = 1.25*b.loads.sum(&o.loadSums), sec
	}
	r.clear()
	b.RequestArrived(sec, Request{ID: 50, Key: 50, TimeLeft: sec})
	if len(r.take(actionReject)) != 1 {
		t.Errorf("over its share with little room: %v", r.actions)
	}
	mustSend(t, b, r, sec, Request{ID: 51, Key: 50, Tenant: 1})
}
