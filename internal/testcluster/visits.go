package testcluster

import (
	"math/rand/v2"
	"time"

	"aspenbarrow/internal/simulation"
)

// visit is the time during which one client wants a connection.
type visit struct {
	key   uint64
	class int
	start time.Duration
	end   time.Duration
	seed  uint64
}

// planVisits draws all visits of a run: the initial clients, who connect within Fleet.ArrivalWindow, and later arrivals that
// keep their number constant on average.
func planVisits(f *simulation.Installation, seed uint64, length time.Duration) []visit {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	stay := func() time.Duration {
		least, most := f.SessionDurationRange[0], f.SessionDurationRange[1]
		return least + time.Duration(rng.Float64()*float64(most-least))
	}
	hot := rng.Uint64()
	draw := func(from time.Duration, stays time.Duration) visit {
		v := visit{key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)], start: from, end: from + stays, seed: rng.Uint64()}
		if rng.Float64() < f.HotKeyShare {
			v.key = hot
		}
		return v
	}
	var out []visit
	for range f.Clients { // the remaining time of a visit in progress, where long visits are more likely
		s := stay()
		for rng.Float64() > float64(s)/float64(f.SessionDurationRange[1]) {
			s = stay()
		}
		out = append(out, draw(time.Duration(rng.Float64()*float64(f.ArrivalWindow)), time.Duration(rng.Float64()*float64(s))))
	}
	mean := (f.SessionDurationRange[0] + f.SessionDurationRange[1]).Seconds() / 2
	for t := f.ArrivalWindow.Seconds(); ; {
		t += rng.ExpFloat64() * mean / float64(f.Clients)
		if t >= length.Seconds() {
			return out
		}
		out = append(out, draw(time.Duration(t*float64(time.Second)), stay()))
	}
}
