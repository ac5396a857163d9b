package balance

import (
	"math"
	"slices"
	"testing"
)

// The removal of one backend moves the keys of that backend only.
func TestRendezvous_RemovingBackendMovesOnlyItsKeys(t *testing.T) {
	primaries := func(list []Backend) map[uint64]BackendID {
		got := map[uint64]BackendID{}
		for key := uint64(1); key <= 500; key++ {
			rec := &recorder{}
			balancer := New(sec, key, defaultSettings(), rec)
			balancer.EndpointsUpdated(sec, UpdateCached, list)
			got[key] = mustSend(t, balancer, rec, sec, Request{ID: 1, Key: key})
		}
		return got
	}
	list := readyBackends(10)
	before, after := primaries(list), primaries(slices.Delete(slices.Clone(list), 3, 4))
	for key, was := range before {
		if was != list[3].ID && after[key] != was {
			t.Errorf("key %d moved from %d to %d though neither backend changed", key, was, after[key])
		}
		if after[key] == list[3].ID {
			t.Errorf("key %d still goes to the removed backend", key)
		}
	}
}

// Absurd weights and load reports cause no panic and do not attract all traffic to one backend.
func TestRendezvous_AbsurdWeightsDoNotAttractAllTraffic(t *testing.T) {
	weights := map[string]float64{"huge": 1e30, "infinite": math.Inf(1), "zero": 0, "negative": -5, "not a number": math.NaN()}
	for name, w := range weights {
		list := readyBackends(300)
		list[7].Weight = w
		list = append(list, list[8], Backend{ID: 9999, State: StateRemoved, Weight: w}) // a duplicate, and a removed backend never listed before
		settings := defaultSettings()
		settings.RelayCount, settings.HealthChecks, settings.ReportFields = 0, true, []ReportField{FieldLoadShare}
		settings.Tenants = []Tenant{{Share: 1, ConnectionQuota: 5}}
		rec := &recorder{}
		balancer := New(sec, 1, settings, rec)
		balancer.EndpointsUpdated(sec, UpdateFull, list)
		got := map[BackendID]int{}
		for id := uint64(1); id <= 600; id++ {
			balancer.RequestArrived(sec, Request{ID: id, Key: id, TimeLeft: 2 * sec})
			for _, load := range []float32{-3, 1e30, float32(math.NaN()), float32(math.Inf(1))} {
				balancer.HealthCheckDone(sec, HealthCheckResult{Backend: BackendID(1 + id%300), Load: []float32{load}})
			}
			balancer.HealthCheckDone(sec, HealthCheckResult{Backend: 424242, Load: nil})
		}
		for _, a := range rec.take(actionSend) {
			got[a.to]++
		}
		if len(got) < 100 || got[8] > 60 {
			t.Errorf("%s weight: %d backends got a connection, the one with that weight %d of 600", name, len(got), got[8])
		}
	}
}
