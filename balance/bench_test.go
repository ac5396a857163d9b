package balance

import (
	"fmt"
	"testing"
	"time"
)

// newBenchBalancer returns the Balancer of a relay with a few hundred connections on a fleet of n backends.
func newBenchBalancer(n int) (*Balancer, *recorder) {
	rec := &recorder{}
	balancer := New(sec, 1, manyRelaySettings(), rec)
	list := readyBackends(n)
	for i := range list {
		list[i].Weight = float64(1 + i%3)
	}
	balancer.EndpointsUpdated(sec, UpdateFull, list)
	for _, target := range balancer.endpoints.ready {
		target.health.lastResultAt = time.Hour
	}
	for id := uint64(1); id <= 300; id++ {
		balancer.RequestArrived(sec, Request{ID: id, Key: id, Group: 1 + id%40, TimeLeft: 2 * sec})
		balancer.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	return balancer, rec
}

func BenchmarkPlace(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			balancer, _ := newBenchBalancer(n)
			req := balancer.newRequest(sec, Request{ID: 1 << 40, Key: 5, TimeLeft: 2 * sec})
			bench.ReportAllocs()
			for i := 0; bench.Loop(); i++ {
				req.hashKey = mixBits(uint64(i % 1000))
				balancer.choosePlacement(2*sec, req)
			}
		})
	}
}

func BenchmarkRequest(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			balancer, rec := newBenchBalancer(n)
			bench.ReportAllocs()
			for id := uint64(1 << 30); bench.Loop(); id++ {
				rec.clear()
				balancer.RequestArrived(2*sec, Request{ID: id, Key: id % 1000, Group: id % 40, TimeLeft: 2 * sec})
				balancer.AttemptSucceeded(2*sec, AttemptResult{ID: id})
				balancer.AttemptEnded(2*sec, AttemptResult{ID: id, Status: StatusOK, Closed: true})
			}
		})
	}
}

func BenchmarkUpkeep(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			balancer, rec := newBenchBalancer(n)
			for i, target := range balancer.endpoints.ready {
				target.health.checkPending = true
				if i%10 == 0 {
					target.concurrency.limit = 1e9
				}
			}
			bench.ReportAllocs()
			for now := 3 * sec; bench.Loop(); now += sec {
				rec.clear()
				balancer.TimerFired(now, maintenanceTimer)
				balancer.endpoints.ready[0].concurrency.limit = 1e9
			}
		})
	}
}
