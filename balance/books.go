// Bookkeeping behind balance.go: what a relay remembers, and the sums over it.
// Nothing here weighs, ranks or limits.

package balance

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	maxDivert = 1 << 14          // diverted connections remembered
	sureLoad  = 100              // so many told loads make a usual one
	surePace  = 4                // so many answers make a pace
	sureCrowd = 16               // so many load reports tell how full the fleet is
	forget    = 10 * time.Minute // diversions and servers that are gone are kept this long
)

// server is what this relay knows of a backend.
type server struct {
	Backend
	sums
	slot
	news    time.Duration  // when this relay learned of its present state
	groups  map[uint64]int // its connections by key
	open    []*call        // the pending and open connections, in no meaningful order
	backup  *server
	flagged bool
	until   time.Duration // suspended until then
	bench   time.Duration // how long the next suspension lasts
	limit   float64       // overload: the T that this server is seen to bear; 0: none seen
	bears   float64       // overload: the T that it had when that began
	full    float64       // its last report's load over capacity; 0: none
	told    bool          // by that report
	errs    float64       // errors a second, by that report
	since   int           // connections that it got from here since
	heard   time.Duration // when it last answered a probe, or was given up on
	busy    bool          // stands in the list of that name
	probing bool          // a probe is out
	pace    time.Duration // what its quicker answers to probes take; 0: none yet
	paces   int           // how many answers the pace rests on
	lags    int           // how many in a row took much longer
	word    time.Duration // when another relay last said that it lags
	hot     time.Duration // when it last showed overload
	reset   time.Duration // when it last reset a connection
	budget  float64       // cold: so many more may go there from here
	filled  time.Duration // until then, when the next span begins
}

// call is a request from its arrival until its last attempt has ended.
type call struct {
	Request
	key       uint64 // what its home is hashed from
	flow      uint64 // what its diversion is remembered under
	deadline  time.Duration
	most      int // attempts, by the settings that it was taken under
	tries     int
	tried     [4]*server
	at        *server       // where the pending attempt or the open connection is
	sent      time.Duration // when the last attempt or probe for it went out
	load      float64       // told load, 0 when unknown
	slot      int           // its index in at.open
	moved     bool
	grouped   bool
	asks      int
	again     time.Duration   // backing off until then; 0: not
	cut       bool            // cancelled to make way for a second copy
	shunned   [spread]*server // passed by, though nothing speaks against them but their kind
	shuns     int
	rush      float64       // requests that came here in the beat before it
	drawn     *server       // its random backup, from the first look on
	asked     *server       // held until this one has answered a probe
	askedBy   time.Duration // or until then
	began     bool
	done      bool // the final answer is out, or the client is gone
	mayRan    bool // an earlier attempt may have acted
	ranAt     time.Duration
	ranServer *server
}

// sums is what T is weighed from.
type sums struct {
	also   float64 // of another process of this relay, while there are two
	told   float64 // loads that notes or hints told
	untold []int   // connections by class whose load nobody told
	n      int     // all connections
}

func (t *sums) add(c *call, n int) {
	if t.n += n; c.load > 0 {
		t.told += float64(n) * c.load
	} else {
		t.untold[c.Class] += n
	}
	if t.n == 0 { // what rounding leaves
		t.told = 0
	}
}

// untimed is the timing of requests that have none.
var untimed RetryPolicy

// kind is what this relay saw of servers of one kind while it had connections there.
type kind struct{ late, seconds float64 }

// lateness is the share of seconds with late messages; the first few say little.
func (k *kind) lateness() float64 { return k.late / (5 + k.seconds) }

// paced takes in how long an answer took and counts how many in a row took over so many times the usual,
// and longer by so much and by more than answers scatter here. What stays becomes usual, slowly upwards. One
// answer or two tell nothing of what is usual: on a long way they differ by a third by chance alone.
func (b *Balancer) paced(s *server, took time.Duration, times float64, least time.Duration) {
	if s.pace == 0 {
		s.pace = max(took, 1)
	}
	over := max(0, took-s.pace)
	s.paces++
	if s.lags++; s.paces <= surePace || float64(took) < times*float64(s.pace) || over < max(least, 3*b.scatter) {
		s.lags = 0
	}
	if s.paces > 1 && (s.lags <= 1 || s.lags > 3) { // the first is what others are compared with, late ones tell of their server
		b.paces = min(b.paces+1, 64)
		b.scatter += (min(over, 4*max(b.scatter, least)) - b.scatter) / b.paces
	}
	if took < s.pace {
		s.pace += (took - s.pace) / 4
	} else {
		s.pace += (min(took, 2*s.pace) - s.pace) / 64
	}
}

// replied takes in that a probe has ended and, if it was answered, what the way to its server's zone takes: a quick
// answer tells, a late one may tell of the server.
func (b *Balancer) replied(s *server, r HealthCheckResult) {
	s.probing = false
	if r.Status != StatusOK {
		return
	}
	usual := b.ways[s.Zone]
	switch took := max(r.Latency, 1); {
	case usual == 0:
		usual = took
	case took < usual:
		usual += (took - usual) / 4
	default:
		usual += min(took-usual, usual) / 32
	}
	b.ways[s.Zone] = usual
}

// way is what an answer from a server takes when it is quick, 0 where none has come from its zone; never longer than a
// connection may take to come up.
func (b *Balancer) way(s *server) time.Duration { return min(b.ways[s.Zone], b.set.DialTimeout) }

// errors is how many a second a report tells of, 0 where it tells of none.
func (b *Balancer) errors(r HealthCheckResult) float64 {
	if r.Status != StatusOK || b.errs < 0 || b.errs >= len(r.Load) {
		return 0
	}
	return sane(float64(r.Load[b.errs]))
}

// stray takes in a reset and says whether it stands alone: none came within a beat before it. A server
// in trouble resets one connection after the other, one that has died all at once.
func (s *server) stray(now time.Duration) bool {
	alone := s.reset == 0 || now-s.reset > beat
	s.reset = now
	return alone
}

// slot is what a rendezvous score needs of a server.
type slot struct {
	hash uint64
	size float64 // its weight in units of the fleet's median, what is absurd left out
}

type diversion struct {
	to *server
	at time.Duration
}

// Balancer is one relay's decisions.
type Balancer struct {
	taken    []int   // connections by tenant
	here     int     // relays that are there; 0: nobody says
	errs     int     // where a load report tells errors a second; below 0: nowhere
	share    int     // where a load report tells load over capacity; below 0: nowhere
	budget   float64 // attempts beyond the first that requests may still make
	set      Settings
	do       Actions
	rng      *rand.Rand
	servers  map[BackendID]*server
	ready    []*server // sorted by id
	ring     []slot    // of ready, in its order: one look-up a request goes through them all
	busy     []*server // with connections here, or that had a limit lately
	out      []*server // suspended
	calls    map[uint64]*call
	held     []*call // waiting for a list or for a probe's answer
	all      sums    // of all servers
	divert   map[uint64]diversion
	order    []uint64           // keys of divert, oldest first
	demand   map[uint64]float64 // new requests by group, older ones counting less
	demanded float64            // the sum of demand
	usual    []float64          // by class what a connection usually loads; last: by all classes
	seen     []float64          // how many told loads usual rests on
	cleared  time.Duration
	leaves   time.Duration // by when no connection is to be here; 0: they may stay
	stepping bool          // the timer of moves off this relay is set
	list     listState
	sick     *server       // where the last set-up failed or was slow; nil: it was quick
	sickOf   uint64        // and of which request
	scatter  time.Duration // by how much answers to probes usually take longer than the quick ones of their server
	paces    time.Duration // how many answers that rests on, 64 at most
	pace     time.Duration // what usually lies between two attempts
	spacedAt time.Duration // when the last one went out
	gap      time.Duration // what has to lie between two; 0: nothing
	due      time.Duration // when the next one may go out
	cut      time.Duration // when gap grew last
	lost     time.Duration // when a ready server last ceased to be; 0: never
	kinds    map[int]*kind
	ways     map[int]time.Duration // what quick answers to probes take, by the server's zone
	rush     float64               // requests of the last beat, older ones counting less
	cameAt   time.Duration         // when the last one came
	crowd    float64               // how full servers said to be of late; 1 where none says
	tells    int                   // load reports heard
	meanSize float64               // of the ready servers
	quickest float64               // a third of the shortest message aim, in milliseconds
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
	if r.RetryPolicy == nil {
		r.RetryPolicy = &untimed
	}
	c := &call{Request: r, most: b.set.MaxAttempts, deadline: now + r.TimeLeft, key: mix(r.Key), load: sane(r.ExpectedLoad)}
	if t := r.RetryPolicy.RequestTimeout; t > 0 {
		c.deadline = min(c.deadline, now+t)
	}
	if n := r.RetryPolicy.MaxAttempts; n > 0 {
		c.most = min(c.most, n)
	}
	switch {
	case b.set.Groups && r.Group != 0: // every server that holds any of a group pays for all of it
		c.key, c.grouped = mix(r.Group), true
		b.demands(c)
	case r.Key == 0:
		c.key = mix(r.ID)
	}
	c.flow = c.key
	if !c.grouped {
		name := b.set.Classes[r.Class].NameHash // a number may be another after a reload, and in a next process
		if name == 0 {
			name = uint64(r.Class)
		}
		c.flow = mix(c.key ^ name)
	}
	b.rush *= math.Exp(-(now - b.cameAt).Seconds() / beat.Seconds())
	c.rush, b.cameAt = b.rush, now
	b.rush++
	b.calls[r.ID] = c
	return c
}

// aim is the time within which a request's set-up is wanted.
func (b *Balancer) aim(c *call) time.Duration { return b.set.Classes[c.Class].LatencyObjective }

// demands counts a request of a group. Who comes again counts once, or a group that is refused would seem to grow.
func (b *Balancer) demands(c *call) {
	if !c.ClientRetry && !c.Reconnecting && (len(b.demand) < maxDivert || b.demand[c.key] > 0) {
		b.demand[c.key]++
		b.demanded++
	}
}

// part is a group's part of the requests that this relay was asked for of late.
func (b *Balancer) part(key uint64) float64 { return b.demand[key] / max(1, b.demanded) }

// grow makes room for so many classes. What all classes bring stays last.
func (b *Balancer) grow(classes int) {
	last := len(b.usual) - 1
	if more := classes - last; more > 0 {
		b.usual = slices.Insert(b.usual, last, make([]float64, more)...)
		b.seen = slices.Insert(b.seen, last, make([]float64, more)...)
		b.all.untold = append(b.all.untold, make([]int, more)...)
		for _, s := range b.servers {
			s.untold = append(s.untold, make([]int, more)...)
		}
	}
}

// kindOf returns the books on a server's kind.
func (b *Balancer) kindOf(s *server) *kind {
	k := b.kinds[s.Kind]
	if k == nil {
		k = &kind{}
		b.kinds[s.Kind] = k
	}
	return k
}

// record takes in a list's lines and sorts out who is ready.
func (b *Balancer) record(now time.Duration, kind EndpointUpdateKind, lines []Backend) {
	if kind != UpdateDelta { // who is not named in a whole list is gone
		named := make(map[BackendID]bool, len(lines))
		for i := range lines {
			named[lines[i].ID] = true
		}
		for _, s := range b.servers {
			if !named[s.ID] && s.State != StateRemoved {
				b.loses(now, s)
				s.State, s.news = StateRemoved, now
			}
		}
	}
	for i := range lines {
		b.learn(now, lines[i])
	}
	b.ready = b.ready[:0]
	for id, s := range b.servers {
		if s.State == StateReady {
			b.ready = append(b.ready, s)
		} else if s.State == StateRemoved && s.n == 0 && now-s.news > forget {
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
}

// learn takes in one line of a list. A process that started anew owes nothing to the
// marks of the one before.
func (b *Balancer) learn(now time.Duration, l Backend) *server {
	s := b.servers[l.ID]
	if s == nil {
		s = &server{slot: slot{hash: mix(uint64(l.ID) * 0x9e3779b97f4a7c15), size: 1},
			sums: sums{untold: make([]int, len(b.set.Classes))}, groups: map[uint64]int{},
			news: now, heard: now - 2*beat}
		b.servers[l.ID] = s
	}
	if l.State == StateReady && (l.ReadyAt != s.ReadyAt || s.State == StateDraining) {
		s.until, s.bench, s.limit, s.heard, s.pace, s.paces = 0, 0, 0, now-2*beat, 0, 0
		s.filled, s.budget = now+time.Duration(b.rng.Float64()*float64(b.set.OverloadWindow)), 0 // not all relays' spans begin together
	}
	if l.State != s.State {
		s.news = now
		b.loses(now, s)
	}
	s.Backend = l
	return s
}

// loses takes in that a server is about to change its state.
func (b *Balancer) loses(now time.Duration, s *server) {
	if s.State == StateReady {
		b.lost = now
	}
}

// sane drops loads that are not a positive number.
func sane(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}

// finish ends the request for the client; a pending attempt still reports.
func (b *Balancer) finish(c *call) {
	c.done = true
	if c.at == nil {
		delete(b.calls, c.ID)
	}
}

// attach counts the connection in T.
func (b *Balancer) attach(c *call, s *server) {
	c.at, c.slot = s, len(s.open)
	s.open = append(s.open, c)
	b.watch(s)
	s.groups[c.key]++
	b.taken[c.Tenant]++
	s.add(c, 1)
	b.all.add(c, 1)
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
	s.add(c, -1)
	b.all.add(c, -1)
}

// clear forgets backups and flags, and half of the demand.
func (b *Balancer) clear(now time.Duration) {
	b.cleared = now
	for _, s := range b.ready {
		s.backup, s.flagged = nil, false
	}
	b.demanded = 0 // of halves of whole numbers: the sum is the same in any order
	for key, n := range b.demand {
		if n /= 2; n < 0.25 {
			delete(b.demand, key)
			continue
		}
		b.demand[key] = n
		b.demanded += n
	}
}

// medianWeight is the median of the ready servers' weights, 0 without any.
func (b *Balancer) medianWeight() float64 {
	weights := make([]float64, len(b.ready), len(b.ready)+1)
	for i, s := range b.ready {
		weights[i] = sane(s.Weight)
	}
	slices.Sort(weights)
	return append(weights, 0)[len(weights)/2]
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

// age forgets old diversions.
func (b *Balancer) age(now time.Duration) {
	for len(b.order) > 0 && now-b.divert[b.order[0]].at > forget {
		b.forgetOldest()
	}
}

func (b *Balancer) forgetOldest() {
	delete(b.divert, b.order[0])
	b.order = b.order[1:]
}

// own is T: the load of this relay's connections on a server.
func (b *Balancer) own(t *sums) float64 {
	load := t.told + t.also
	for class, n := range t.untold {
		if n > 0 {
			load += float64(n) * b.classLoad(class)
		}
	}
	return load
}

// loadOf is what one connection adds to T.
func (b *Balancer) loadOf(c *call) float64 {
	if c.load > 0 {
		return c.load
	}
	return b.classLoad(c.Class)
}

// meanLoad is the load of a mean connection here, 1 while nothing is known.
func (b *Balancer) meanLoad() float64 {
	if b.all.n == 0 {
		return b.classLoad(0)
	}
	return b.own(&b.all) / float64(b.all.n)
}

// classLoad is the usual load of a class: learned, else that of all, else 1.
func (b *Balancer) classLoad(class int) float64 {
	if b.seen[class] == 0 {
		class = len(b.usual) - 1
	}
	return b.usual[class]
}

// heard takes in a connection's present load, and with it what its class usually brings.
func (b *Balancer) heard(c *call, load float64) {
	if c.load > 0 { // a change of its own, and so of T
		b.reweigh(c, load)
	}
	b.rescale(func() {
		if c.load != load {
			b.reweigh(c, load)
		}
		for _, i := range [2]int{c.Class, len(b.usual) - 1} {
			b.seen[i] = min(b.seen[i]+1, sureLoad)
			b.usual[i] += (load - b.usual[i]) / b.seen[i]
		}
	}, b.seen[c.Class] < sureLoad)
}

// reweigh sets a connection's load.
func (b *Balancer) reweigh(c *call, load float64) {
	s := c.at
	b.detach(c)
	c.load = load
	b.attach(c, s)
}

// rescale does what changes the measure of T, though nothing has come or gone: the first loads told
// change it by orders of magnitude. Limits are in that measure. Left as they are, they would have
// all servers relieved at once. Where the measure has settled they are left alone.
func (b *Balancer) rescale(change func(), unsettled bool) {
	if !unsettled {
		change()
		return
	}
	were := make([]float64, len(b.busy))
	for i, s := range b.busy {
		were[i] = b.own(&s.sums)
	}
	change()
	for i, t := range were {
		if s := b.busy[i]; t > 0 {
			s.limit *= b.own(&s.sums) / t
			s.bears *= b.own(&s.sums) / t
		}
	}
}

// notice is what one relay tells the others of a server, its id; noticed reads it. What is no
// notice names no server.
func notice(s *server) []byte { return binary.BigEndian.AppendUint64(nil, uint64(s.ID)) }

func (b *Balancer) noticed(data []byte) *server {
	if len(data) != 8 {
		return nil
	}
	return b.servers[BackendID(binary.BigEndian.Uint64(data))]
}

// mix spreads the bits of a number; equal numbers mix alike on every relay.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Connections is how many pending and open connections T counts, here and, which must come to
// the same, server by server: for checks from outside.
func (b *Balancer) Connections() (all, byServer int) {
	for _, s := range b.servers {
		byServer += s.n
	}
	return b.all.n, byServer
}

// CheckInvariants says what does not come out even in what this relay counts: connections in all, by server, by tenant and by
// group. For checks from outside, at any time between two events.
func (b *Balancer) CheckInvariants() error {
	byServer, open, byGroup, byTenant := 0, 0, 0, 0
	for _, s := range b.servers {
		byServer, open = byServer+s.n, open+len(s.open)
		for _, n := range s.groups {
			byGroup += n
		}
	}
	for _, n := range b.taken {
		byTenant += n
	}
	if all := b.all.n; all != byServer || all != open || all != byGroup || all != byTenant {
		return fmt.Errorf("%d connections in all, %d by server, %d in lists, %d by group, %d by tenant", all, byServer, open, byGroup, byTenant)
	}
	return nil
}

// CountUnavailable is how many servers the list holds, and how many of them get nothing new now: draining,
// suspended or held to be full.
func (b *Balancer) CountUnavailable(now time.Duration) (listed, avoided int) {
	for id, s := range b.servers {
		if s.State == StateRemoved {
			continue
		}
		listed++
		if b.Unavailable(now, id) {
			avoided++
		}
	}
	return listed, avoided
}

// Unavailable says whether a server gets nothing new now.
func (b *Balancer) Unavailable(now time.Duration, id BackendID) bool {
	s := b.servers[id]
	return s != nil && s.State != StateRemoved &&
		(s.State == StateDraining || s.until > now || s.limit > 0 && s.n > 0 && b.own(&s.sums) >= s.limit)
}

// ReplayDecision takes over what another than this module decided for a request: attempt number so much went to a server,
// or, with sent false, it got its final answer. Nothing is sent.
func (b *Balancer) ReplayDecision(now time.Duration, r Request, attempt int, to BackendID, sent bool) {
	c, s := b.calls[r.ID], b.servers[to]
	if c != nil {
		if c.at != nil {
			b.detach(c)
		}
		b.held = slices.DeleteFunc(b.held, func(h *call) bool { return h == c })
	}
	if !sent || s == nil {
		if c != nil {
			b.finish(c)
		}
		return
	}
	if c == nil {
		r.ClientRetry = true // it was counted when it came
		c = b.newCall(now, r)
	}
	c.asked, c.again, c.sent, c.tries, c.done = nil, 0, now, attempt+1, false
	c.tried[min(attempt, len(c.tried)-1)] = s
	b.attach(c, s)
}
