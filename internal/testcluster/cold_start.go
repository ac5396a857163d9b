package testcluster

import (
	"fmt"
	"math"
	"time"
)

// ColdStart is what one backend took between its cold start and the end of its warm-up.
type ColdStart struct {
	Backend   int           `json:"backend"`
	StartedAt time.Duration `json:"started_ns"`         // since the run began
	Requests  int           `json:"requests"`           // OPEN lines of all relays, ordinary and mid-stream
	MidStream int           `json:"mid_stream"`         // of these, requests for open connections
	UsedShare float64       `json:"used_capacity"`      // Requests over what the backend can serve during its whole warm-up
	Worst     ColdWindow    `json:"worst_window"`       // the window with the most requests, relative to its Limit
	Exceeded  int           `json:"windows_over_limit"` // windows with more requests than their Limit
}

// ColdWindow is a period of the overload window's length that begins with a request to a cold backend.
type ColdWindow struct {
	Age       time.Duration `json:"age_ns"` // of the backend when the window begins
	Requests  int           `json:"requests"`
	MidStream int           `json:"mid_stream"`
	Budget    float64       `json:"budget"` // N: requests that the backend can take in a window that begins at this age
	Limit     float64       `json:"limit"`  // N + 2*sqrt(N) + 2: what more requests than that exceed N by is not put down to chance
}

// String describes the cold start in one line.
func (s *ColdStart) String() string {
	worst := &s.Worst
	return fmt.Sprintf("cold backend %d took %d requests, %d mid-stream, %.2f of what it can serve; worst window at age %.1f s: %d requests, %d mid-stream, budget %.1f, limit %.1f; %d windows over the limit",
		s.Backend, s.Requests, s.MidStream, s.UsedShare, worst.Age.Seconds(), worst.Requests, worst.MidStream, worst.Budget, worst.Limit, s.Exceeded)
}

// coldRequest is a request that a cold backend took.
type coldRequest struct {
	age       time.Duration // of the backend
	midStream bool
}

// coldStartRecorder records the requests that one backend takes while it is cold, whatever its model makes of them.
type coldStartRecorder struct {
	backend   int
	startedAt time.Duration // on the cluster's clock
	warmRate  float64       // requests per second that the backend can serve when it is warm
	requests  []coldRequest
}

// add records a request, unless the backend is warm by then.
func (r *coldStartRecorder) add(now time.Duration, midStream bool) {
	if age := now - r.startedAt; age < warmUpTime {
		r.requests = append(r.requests, coldRequest{age, midStream})
	}
}

// coldBudget returns how many requests a backend can take in the overload window that begins at an age. The capacity at
// the beginning counts, as it does for the balancer's limit.
func coldBudget(warmRate float64, age time.Duration) float64 {
	share := coldCapacity + (1-coldCapacity)*age.Seconds()/warmUpTime.Seconds()
	return overloadFactor * share * warmRate * overloadWindow.Seconds()
}

// chanceLimit returns the number of requests in one window up to which an excess over the budget may be chance.
func chanceLimit(budget float64) float64 { return budget + 2*math.Sqrt(budget) + 2 }

// summarize returns what the backend took, with its worst window. Only a window that begins with a request can be the
// worst one.
func (r *coldStartRecorder) summarize(runStart time.Duration) ColdStart {
	summary := ColdStart{Backend: r.backend, StartedAt: r.startedAt - runStart, Requests: len(r.requests)}
	served := r.warmRate * warmUpTime.Seconds() * (1 + coldCapacity) / 2
	summary.UsedShare = float64(len(r.requests)) / served
	for i := range r.requests {
		if r.requests[i].midStream {
			summary.MidStream++
		}
		window := r.window(i)
		if float64(window.Requests) > window.Limit {
			summary.Exceeded++
		}
		if i == 0 || float64(window.Requests)/window.Limit > float64(summary.Worst.Requests)/summary.Worst.Limit {
			summary.Worst = window
		}
	}
	return summary
}

// window counts the requests of the window that begins with a request.
func (r *coldStartRecorder) window(first int) ColdWindow {
	age := r.requests[first].age
	budget := coldBudget(r.warmRate, age)
	window := ColdWindow{Age: age, Budget: budget, Limit: chanceLimit(budget)}
	for _, request := range r.requests[first:] {
		if request.age-age > overloadWindow {
			break
		}
		window.Requests++
		if request.midStream {
			window.MidStream++
		}
	}
	return window
}

// summarizeColdStarts returns all cold starts of the run, by backend and time.
func (c *cluster) summarizeColdStarts() (starts []ColdStart) {
	for _, b := range c.currentBackends() {
		b.mu.Lock()
		for i := range b.coldStarts {
			starts = append(starts, b.coldStarts[i].summarize(time.Duration(c.runStart.Load())))
		}
		b.mu.Unlock()
	}
	return starts
}

// recordColdStart begins the record of a cold start. It is called with the lock held.
func (b *backend) recordColdStart(now time.Duration) {
	if rate := b.cluster.options.Fleet.Server.WarmRequestRate * b.size; rate > 0 {
		b.coldStarts = append(b.coldStarts, coldStartRecorder{backend: b.index, startedAt: now, warmRate: rate})
	}
}

// recordRequest records a request that has reached the backend. It is called with the lock held.
func (b *backend) recordRequest(midStream bool) {
	if n := len(b.coldStarts); n > 0 {
		b.coldStarts[n-1].add(b.cluster.now(), midStream)
	}
}
