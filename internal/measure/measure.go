// Package measure computes how evenly a fleet's connections are spread over its backends, second by second, and
// compares that with what weighted rendezvous hashing alone, and a placement that sees every load at every moment,
// would have made of the same connections.
//
// Loads are in cores, and figures in shares of a backend's capacity or of the mean, as the fields say. Backends that
// are down are not counted. Times are offsets from the start of the run.
package measure

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Every is the time between two samples of the loads.
	Every = 250 * time.Millisecond
	// Window is the span in which new connections count as one herd.
	Window = 500 * time.Millisecond
	// LeastPart is the part of a window's arrivals, in connections, under which chance alone makes herds.
	LeastPart = 8.0

	salts   = 8 // hashing is averaged over so many ways to hash
	forever = 1 << 62
	idleAt  = 0.5 // under this part of the mean a backend counts as idle
)

// Conn is one connection as its backend held it.
type Conn struct {
	Key     uint64        // that hashing goes by
	Relay   int           // index
	Backend int           // index
	Load    float64       // cores that it takes
	From    time.Duration // of the run
	To      time.Duration // likewise; Log sets it
}

type machine struct {
	backend  int
	capacity float64 // cores
	from, to time.Duration
}

// Log is what a run's backends held. It is not safe for concurrent use.
type Log struct {
	conns    []Conn
	open     map[uint64]int
	machines []machine
}

// Up says that a backend has come up with so many cores, of which connections may take all.
func (l *Log) Up(at time.Duration, backend int, capacity float64) {
	l.machines = append(l.machines, machine{backend, capacity, at, forever})
}

// Down says that a backend is down, or is to have no connections any more.
func (l *Log) Down(at time.Duration, backend int) {
	for i := range l.machines {
		if m := &l.machines[i]; m.backend == backend && m.to == forever {
			m.to = at
		}
	}
	for id, i := range l.open {
		if l.conns[i].Backend == backend {
			l.conns[i].To = at
			delete(l.open, id)
		}
	}
}

// Begin says that a backend holds a connection from now on; id is the log's name for it.
func (l *Log) Begin(id uint64, c Conn) {
	if l.open == nil {
		l.open = map[uint64]int{}
	}
	c.To = forever
	l.open[id] = len(l.conns)
	l.conns = append(l.conns, c)
}

// End says that the connection has ended.
func (l *Log) End(at time.Duration, id uint64) {
	if i, ok := l.open[id]; ok {
		l.conns[i].To = at
		delete(l.open, id)
	}
}

// Conns returns all connections in the order in which they began.
func (l *Log) Conns() []Conn { return l.conns }

// Spread is how evenly a load over capacity lies on the backends at one time.
type Spread struct {
	Deviation float64 `json:"deviation"` // standard, over the mean
	Least     float64 `json:"least"`     // over the mean
	Most      float64 `json:"most"`      // over the mean
	Jain      float64 `json:"jain"`      // fairness index, 1 at best
}

// Second is what a second came to: means of its samples.
type Second struct {
	Spread
	Mean     float64   `json:"mean"`         // load over capacity
	Hashing  float64   `json:"hashing"`      // the deviation that hashing alone gives
	Even     float64   `json:"even"`         // and an even hand that sees everything
	Idle     float64   `json:"idle_s"`       // backend-seconds under half of the mean
	Herd     float64   `json:"herd"`         // the most new ones at one backend in a window over its part; 0: no part was large enough
	HerdPart float64   `json:"herd_part"`    // that part, in connections
	Loads    []float64 `json:"loads"`        // by backend; below 0: down
	HerdHash float64   `json:"herd_hashing"` // what hashing alone makes of the same arrivals
	Arrivals int       `json:"arrivals"`     // connections that began
}

// Summary is the run from a time on: medians of the samples, the worst of what must not happen.
type Summary struct {
	Spread
	Mean     float64 `json:"mean"`         // load over capacity
	Hashing  float64 `json:"hashing"`      // as of a Second
	Even     float64 `json:"even"`         // as of a Second
	Ratio    float64 `json:"ratio"`        // the deviation over hashing's, median of the samples
	Worst    float64 `json:"worst"`        // the largest deviation of a second
	Lowest   float64 `json:"lowest"`       // the least load of a backend in any second, over the mean
	Idle     float64 `json:"idle_s"`       // backend-seconds under half of the mean, in all
	Herd     float64 `json:"herd"`         // the worst
	HerdHash float64 `json:"herd_hashing"` // what hashing makes of that second
}

// Seconds works the figures out for a run of a length.
func (l *Log) Seconds(length time.Duration) []Second {
	ours := l.sweep(length, l.places())
	even := l.sweep(length, l.evenly())
	var hashes [salts][]int
	var hashed [salts][][]float64
	for s := range hashed {
		hashes[s] = l.hashed(uint64(s + 1))
		hashed[s] = l.sweep(length, hashes[s])
	}
	perSecond := int(time.Second / Every)
	out := make([]Second, 0, len(ours)/perSecond)
	for from := 0; from+perSecond <= len(ours); from += perSecond {
		var sec Second
		sec.Loads = make([]float64, l.backends())
		for i := from; i < from+perSecond; i++ {
			part := 1 / float64(perSecond)
			sp, mean := spreadOf(ours[i])
			sec.Deviation += sp.Deviation * part
			sec.Least += sp.Least * part
			sec.Most += sp.Most * part
			sec.Jain += sp.Jain * part
			sec.Mean += mean * part
			e, _ := spreadOf(even[i])
			sec.Even += e.Deviation * part
			for s := range hashed {
				h, _ := spreadOf(hashed[s][i])
				sec.Hashing += h.Deviation * part / salts
			}
			for b, v := range ours[i] {
				if v >= 0 && v < idleAt*mean {
					sec.Idle += Every.Seconds()
				}
				sec.Loads[b] += v * part
			}
		}
		out = append(out, sec)
	}
	for i := range l.conns {
		if s := int(l.conns[i].From / time.Second); s < len(out) {
			out[s].Arrivals++
		}
	}
	l.herds(len(out), l.places(), func(s int, ratio, part float64) {
		if ratio > out[s].Herd {
			out[s].Herd, out[s].HerdPart = ratio, part
		}
	})
	for _, at := range hashes {
		worst := make([]float64, len(out))
		l.herds(len(out), at, func(s int, ratio, _ float64) { worst[s] = max(worst[s], ratio) })
		for s := range out {
			out[s].HerdHash += worst[s] / salts
		}
	}
	return out
}

func (l *Log) backends() (n int) {
	for _, m := range l.machines {
		n = max(n, m.backend+1)
	}
	return n
}

// places are where the connections were.
func (l *Log) places() []int {
	at := make([]int, len(l.conns))
	for i := range l.conns {
		at[i] = l.conns[i].Backend
	}
	return at
}

// hashed are where rendezvous hashing by capacity would have put them.
func (l *Log) hashed(salt uint64) []int {
	at := make([]int, len(l.conns))
	for i := range l.conns {
		best := math.Inf(-1)
		at[i] = l.conns[i].Backend
		for _, m := range l.machines {
			if m.from > l.conns[i].From || m.to <= l.conns[i].From {
				continue
			}
			u := (float64(mix(l.conns[i].Key^mix(salt<<32|uint64(m.backend)))>>11) + 0.5) / (1 << 53)
			if score := -m.capacity / math.Log(u); score > best {
				best, at[i] = score, m.backend
			}
		}
	}
	return at
}

// evenly are where somebody would have put them who sees every load at every moment.
func (l *Log) evenly() []int {
	at := make([]int, len(l.conns))
	type end struct {
		at   time.Duration
		conn int
	}
	order := make([]int, len(l.conns))
	ends := make([]end, len(l.conns))
	for i := range order {
		order[i], ends[i] = i, end{l.conns[i].To, i}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(l.conns[a].From, l.conns[b].From) })
	slices.SortStableFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	loads := make([]float64, l.backends())
	placed := make([]bool, len(l.conns))
	next := 0
	for _, i := range order {
		c := &l.conns[i]
		for next < len(ends) && ends[next].at <= c.From {
			if j := ends[next].conn; placed[j] {
				loads[at[j]] -= l.conns[j].Load
			}
			next++
		}
		at[i] = c.Backend
		best := math.Inf(1)
		for _, m := range l.machines {
			if m.from <= c.From && m.to > c.From && (loads[m.backend]+c.Load)/m.capacity < best {
				best, at[i] = (loads[m.backend]+c.Load)/m.capacity, m.backend
			}
		}
		loads[at[i]] += c.Load
		placed[i] = true
	}
	return at
}

// sweep samples the load over capacity of every backend, below 0 for one that is down.
func (l *Log) sweep(length time.Duration, at []int) [][]float64 {
	type change struct {
		at      time.Duration
		backend int
		load    float64
	}
	changes := make([]change, 0, 2*len(l.conns))
	for i := range l.conns {
		changes = append(changes, change{l.conns[i].From, at[i], l.conns[i].Load}, change{l.conns[i].To, at[i], -l.conns[i].Load})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	loads := make([]float64, l.backends())
	var samples [][]float64
	next := 0
	for t := Every; t <= length; t += Every {
		for next < len(changes) && changes[next].at <= t {
			loads[changes[next].backend] += changes[next].load
			next++
		}
		sample := make([]float64, len(loads))
		for i := range sample {
			sample[i] = -1
		}
		for _, m := range l.machines {
			if m.from <= t && m.to > t {
				sample[m.backend] = max(0, loads[m.backend]) / m.capacity
			}
		}
		samples = append(samples, sample)
	}
	return samples
}

func spreadOf(loads []float64) (Spread, float64) {
	n, sum, squares, least, most := 0.0, 0.0, 0.0, math.Inf(1), 0.0
	for _, v := range loads {
		if v >= 0 {
			n, sum, squares = n+1, sum+v, squares+v*v
			least, most = min(least, v), max(most, v)
		}
	}
	if n == 0 || sum == 0 {
		return Spread{Jain: 1}, 0
	}
	mean := sum / n
	return Spread{Deviation: math.Sqrt(max(0, squares/n-mean*mean)) / mean, Least: least / mean, Most: most / mean,
		Jain: sum * sum / (n * squares)}, mean
}

// herds finds, for the windows that begin in each second, what each backend gets of new connections over its part.
func (l *Log) herds(seconds int, at []int, found func(second int, ratio, part float64)) {
	const pace = 50 * time.Millisecond
	type begin struct {
		at      time.Duration
		backend int
	}
	begun := make([]begin, len(l.conns))
	for i := range l.conns {
		begun[i] = begin{l.conns[i].From, at[i]}
	}
	slices.SortStableFunc(begun, func(a, b begin) int { return cmp.Compare(a.at, b.at) })
	first := 0
	counts := make([]int, l.backends())
	for t := time.Duration(0); t < time.Duration(seconds)*time.Second; t += pace {
		for first < len(begun) && begun[first].at < t {
			first++
		}
		clear(counts)
		n := 0
		for _, c := range begun[first:] {
			if c.at >= t+Window {
				break
			}
			counts[c.backend]++
			n++
		}
		whole := 0.0
		for _, m := range l.machines {
			if m.from <= t && m.to > t {
				whole += m.capacity
			}
		}
		for _, m := range l.machines {
			if m.from > t || m.to <= t {
				continue
			}
			if part := float64(n) * m.capacity / whole; part >= LeastPart {
				found(int(t/time.Second), float64(counts[m.backend])/part, part)
			}
		}
	}
}

// Summarise sums up the seconds from one on.
func Summarise(seconds []Second, from int) Summary {
	var s Summary
	if from >= len(seconds) {
		return s
	}
	seconds = seconds[from:]
	median := func(of func(*Second) float64) float64 {
		v := make([]float64, len(seconds))
		for i := range seconds {
			v[i] = of(&seconds[i])
		}
		slices.Sort(v)
		return v[len(v)/2]
	}
	s.Deviation = median(func(x *Second) float64 { return x.Deviation })
	s.Least = median(func(x *Second) float64 { return x.Least })
	s.Most = median(func(x *Second) float64 { return x.Most })
	s.Jain = median(func(x *Second) float64 { return x.Jain })
	s.Mean = median(func(x *Second) float64 { return x.Mean })
	s.Hashing = median(func(x *Second) float64 { return x.Hashing })
	s.Even = median(func(x *Second) float64 { return x.Even })
	s.Ratio = median(func(x *Second) float64 { return x.Deviation / max(x.Hashing, 1e-9) })
	s.Lowest = math.Inf(1)
	for i := range seconds {
		x := &seconds[i]
		s.Worst, s.Lowest = max(s.Worst, x.Deviation), min(s.Lowest, x.Least)
		s.Idle += x.Idle
		if x.Herd > s.Herd {
			s.Herd, s.HerdHash = x.Herd, x.HerdHash
		}
	}
	return s
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
