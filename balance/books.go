// Bookkeeping behind balance.go: what a relay remembers, and the sums over it.
// Nothing here decides anything.

package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

// server is what this relay knows of a backend.
type server struct {
	Backend
	hash    uint64
	size    float64
	news    time.Duration  // when this relay learned of its present state
	told    float64        // T: loads that notes or hints told
	untold  []int          // T: connections by class whose load nobody told
	groups  map[uint64]int // its connections by key
	open    []*call        // the pending and open connections, in no meaningful order
	fresh   bool           // joined while this relay lived; counts as mean T until its own T gets there
	backup  *server
	flagged bool
	fails   float64       // recent share of attempts that failed here
	until   time.Duration // suspended until then
	bench   time.Duration // how long the next suspension lasts
	limit   float64       // overload: the T that this server is seen to bear; 0: none seen
	full    float64       // its last report's load over capacity; 0: none
	doubted time.Duration // when messages were last late though the report claimed room
	probing bool          // a probe is out
	hot     time.Duration // when it last showed overload
	budget  float64       // cold: connections' worth this relay may send now
	filled  time.Duration // when budget was last topped up
}

// call is a request from its arrival until its last attempt has ended.
type call struct {
	Request
	key       uint64 // what its home is hashed from
	flow      uint64 // what its diversion is remembered under
	deadline  time.Duration
	tries     int
	tried     [4]*server
	at        *server // where the pending attempt or the open connection is
	sent      time.Duration
	load      float64 // told load, 0 when unknown
	slot      int     // its index in at.open
	moved     bool
	grouped   bool
	began     bool
	done      bool // the final answer is out, or the client is gone
	mayRan    bool // an earlier attempt may have acted
	ranAt     time.Duration
	ranServer *server
}

type diversion struct {
	to *server
	at time.Duration
}

// Balancer is one relay's decisions.
type Balancer struct {
	late     float64 // recent share of attempts that timed out
	wanting  bool    // a request found no room since the last beat
	taken    []int   // connections by tenant
	share    int     // where a load report tells load over capacity; below 0: nowhere
	budget   float64 // attempts beyond the first that requests may still make
	set      Settings
	do       Actions
	rng      *rand.Rand
	servers  map[BackendID]*server
	ready    []*server // sorted by id
	calls    map[uint64]*call
	held     []*call
	divert   map[uint64]diversion
	order    []uint64 // keys of divert, oldest first
	usual    []float64
	seen     []float64 // per class: how many told loads usual rests on
	began    time.Duration
	cleared  time.Duration
	list     listState
	quickest float64 // a third of the shortest message aim, in milliseconds
}

type listState struct {
	again time.Duration // when to ask again; 0: no need
	wait  time.Duration // present back-off
}

func (b *Balancer) newCall(now time.Duration, r Request) *call {
	if r.Class < 0 || r.Class >= len(b.set.Classes) {
		r.Class = 0
	}
	if r.Tenant < 0 || r.Tenant >= len(b.taken) {
		r.Tenant = 0
	}
	c := &call{Request: r, deadline: now + r.Left, key: mix(r.Key), load: sane(r.Load)}
	switch {
	case b.set.Groups && r.Group != 0: // every server that holds any of a group pays for all of it
		c.key, c.grouped = mix(r.Group), true
	case r.Key == 0:
		c.key = mix(r.ID)
	}
	c.flow = c.key
	if !c.grouped {
		c.flow = mix(c.key ^ uint64(r.Class))
	}
	b.calls[r.ID] = c
	return c
}

// sane drops loads that are not a positive number.
func sane(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

// attach counts the connection in T.
func (b *Balancer) attach(c *call, s *server) {
	c.at, c.slot = s, len(s.open)
	s.open = append(s.open, c)
	s.groups[c.key]++
	b.taken[c.Tenant]++
	if c.load > 0 {
		s.told += c.load
	} else {
		s.untold[c.Class]++
	}
}

func (b *Balancer) detach(c *call) {
	s := c.at
	last := s.open[len(s.open)-1]
	s.open[c.slot], last.slot = last, c.slot
	s.open[len(s.open)-1] = nil
	s.open = s.open[:len(s.open)-1]
	c.at = nil
	b.taken[c.Tenant]--
	if s.groups[c.key]--; s.groups[c.key] == 0 {
		delete(s.groups, c.key)
	}
	if c.load > 0 {
		s.told = max(0, s.told-c.load)
	} else {
		s.untold[c.Class]--
	}
	if len(s.open) == 0 {
		s.told = 0
	}
}

// meanLoad is the load of a mean connection here, 1 while nothing is known.
func (b *Balancer) meanLoad() float64 {
	sum, n := 0.0, 0
	for _, s := range b.ready {
		sum += b.own(s)
		n += len(s.open)
	}
	if n == 0 {
		return b.classLoad(0)
	}
	return sum / float64(n)
}

func (b *Balancer) meanSize() float64 {
	sum := 0.0
	for _, s := range b.ready {
		sum += s.size
	}
	return sum / float64(max(1, len(b.ready)))
}

// own is T: the load of this relay's connections on the server.
func (b *Balancer) own(s *server) float64 {
	t := s.told
	for class, n := range s.untold {
		t += float64(n) * b.classLoad(class)
	}
	return t
}

// classLoad is the usual load of a class: learned, else that of all, else 1.
func (b *Balancer) classLoad(class int) float64 {
	if b.seen[class] > 0 {
		return b.usual[class]
	}
	sum, n := 0.0, 0.0
	for i := range b.usual {
		sum, n = sum+b.usual[i]*b.seen[i], n+b.seen[i]
	}
	if n == 0 {
		return 1
	}
	return sum / n
}

// remember keeps a diversion for mid-flow arrivals; the oldest go first.
func (b *Balancer) remember(now time.Duration, c *call, to *server) {
	if _, ok := b.divert[c.flow]; !ok {
		b.order = append(b.order, c.flow)
	}
	b.divert[c.flow] = diversion{to, now}
	for len(b.order) > maxDivert {
		b.forgetOldest()
	}
}

func (b *Balancer) forgetOldest() {
	delete(b.divert, b.order[0])
	b.order = b.order[1:]
}

// heard takes in a connection's present load, and with it what its class usually brings.
func (b *Balancer) heard(c *call, load float64) {
	s := c.at
	b.detach(c)
	c.load = load
	b.attach(c, s)
	n := min(b.seen[c.Class]+1, 100)
	b.seen[c.Class] = n
	b.usual[c.Class] += (load - b.usual[c.Class]) / n
}

func (b *Balancer) loadOf(c *call) float64 {
	if c.load > 0 {
		return c.load
	}
	return b.classLoad(c.Class)
}

// rank counts the sound servers before s in the connection's rendezvous order.
func (b *Balancer) rank(now time.Duration, c *call, s *server) int {
	n, score := 0, rendezvous(c.key, s)
	for _, o := range b.ready {
		if o.until <= now && b.warmth(now, o) >= 1 && rendezvous(c.key, o) > score {
			n++
		}
	}
	return n
}

// warmth is the share of its capacity a server surely has.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	age := now - s.ReadyAt
	if s.ReadyAt == 0 || b.set.WarmUp <= 0 || age >= b.set.WarmUp {
		return 1
	}
	return b.set.ColdFrom + (1-b.set.ColdFrom)*max(0, float64(age)/float64(b.set.WarmUp))
}

// rendezvous scores a server for a key; a larger server wins more keys, and a
// change of one server moves only its own.
func rendezvous(key uint64, s *server) float64 {
	u := (float64(mix(key^s.hash)>>11) + 0.5) / (1 << 53)
	return -s.size / math.Log(u)
}

// mix spreads the bits of a number; equal numbers mix alike on every relay.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
