package balance

import (
	"fmt"
	"testing"
	"time"
)

// benchRelay is a relay with a few hundred connections on a fleet of n backends.
func newBenchBalancer(n int) (*Balancer, *recorder) {
	r := &recorder{}
	b := New(sec, 1, manyRelaySettings(), r)
	list := readyBackends(n)
	for i := range list {
		list[i].Weight = float64(1 + i%3)
	}
	b.EndpointsUpdated(sec, UpdateFull, list)
	for _, o := range b.endpoints.ready {
		o.health.lastResult = time.Hour
	}
	for id := uint64(1); id <= 300; id++ {
		b.RequestArrived(sec, Request{ID: id, Key: id, Group: 1 + id%40, TimeLeft: 2 * sec})
		b.AttemptSucceeded(sec, AttemptResult{ID: id})
	}
	return b, r
}

func BenchmarkPlace(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			b, _ := newBenchBalancer(n)
			c := b.newRequest(sec, Request{ID: 1 << 40, Key: 5, TimeLeft: 2 * sec})
			bench.ReportAllocs()
			for i := 0; bench.Loop(); i++ {
				c.hashKey = mixBits(uint64(i % 1000))
				b.choosePlacement(2*sec, c)
			}
		})
	}
}

func BenchmarkRequest(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			b, r := newBenchBalancer(n)
			bench.ReportAllocs()
			for id := uint64(1 << 30); bench.Loop(); id++ {
				r.clear()
				b.RequestArrived(2*sec, Request{ID: id, Key: id % 1000, Group: id % 40, TimeLeft: 2 * sec})
				b.AttemptSucceeded(2*sec, AttemptResult{ID: id})
				b.AttemptEnded(2*sec, AttemptResult{ID: id, Status: StatusOK, Closed: true})
			}
		})
	}
}

func BenchmarkUpkeep(bench *testing.B) {
	for _, n := range []int{12, 120, 480} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			b, r := newBenchBalancer(n)
			for i, o := range b.endpoints.ready {
				o.health.checkPending = true
				if i%10 == 0 {
					o.concurrency.limit = 1e9
				}
			}
			bench.ReportAllocs()
			for now := 3 * sec; bench.Loop(); now += sec {
				r.clear()
				b.TimerFired(now, maintenanceTimer)
				b.endpoints.ready[0].concurrency.limit = 1e9
			}
		})
	}
}
