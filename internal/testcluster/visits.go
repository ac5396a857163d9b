package testcluster

import (
	"math/rand/v2"
	"time"

	"aspenbarrow/internal/simulation"
)

// visit is the period during which one client needs a connection.
type visit struct {
	key   uint64
	class int
	start time.Duration
	end   time.Duration
	seed  uint64
}

// planVisits draws all visits of a run: the initial clients, which connect within Fleet.ArrivalWindow, and later arrivals
// that keep the number of clients constant on average.
func planVisits(f *simulation.Installation, seed uint64, length time.Duration) []visit {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	stay := func() time.Duration {
		shortest, longest := f.SessionDurationRange[0], f.SessionDurationRange[1]
		return shortest + time.Duration(rng.Float64()*float64(longest-shortest))
	}
	hotKey := rng.Uint64()
	draw := func(arrival time.Duration, duration time.Duration) visit {
		v := visit{key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)], start: arrival, end: arrival + duration, seed: rng.Uint64()}
		if rng.Float64() < f.HotKeyShare {
			v.key = hotKey
		}
		return v
	}
	var visits []visit
	for range f.Clients { // draws the remaining time of a visit in progress, which is more likely a long visit
		s := stay()
		for rng.Float64() > float64(s)/float64(f.SessionDurationRange[1]) {
			s = stay()
		}
		visits = append(visits, draw(time.Duration(rng.Float64()*float64(f.ArrivalWindow)), time.Duration(rng.Float64()*float64(s))))
	}
	mean := (f.SessionDurationRange[0] + f.SessionDurationRange[1]).Seconds() / 2
	for t := f.ArrivalWindow.Seconds(); ; {
		t += rng.ExpFloat64() * mean / float64(f.Clients)
		if t >= length.Seconds() {
			return visits
		}
		visits = append(visits, draw(time.Duration(t*float64(time.Second)), stay()))
	}
}
