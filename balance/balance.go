// The interface of this module (settings, events, actions) is in api.go.
//
// One relay's decisions: a connection goes to its key's rendezvous home unless
// this relay's own load T there exceeds that of a flagged random backup by Δ.

package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	deltaConns = 4.0              // Δ in connections' worth
	clearEvery = 10 * time.Second // B and F are forgotten this often
	beat       = time.Second      // the rhythm of upkeep
	headroom   = 0.75             // the share of what a server can do that it is filled to
	holds      = 1e12             // added to a rendezvous score, it outranks any without
	spread     = 3                // a group goes to no more than the first so many of its order
	maxDivert  = 1 << 14          // diverted connections remembered
	forget     = 10 * time.Minute // diversions and servers that are gone are kept this long
	tickToken  = 1 << 63          // timers: upkeep; any other token is a request's deadline
)

// New starts a relay's decisions.
func New(now time.Duration, seed uint64, s Settings, do Actions) *Balancer {
	b := &Balancer{set: s, do: do, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[BackendID]*server{}, calls: map[uint64]*call{}, divert: map[uint64]diversion{},
		usual: make([]float64, len(s.Classes)), seen: make([]float64, len(s.Classes)),
		taken: make([]int, max(1, len(s.Tenants))),
		began: now, cleared: now, budget: 1,
		share: slices.Index(s.Report, FieldLoadShare)}
	if !s.Probes {
		b.share = -1
	}
	for _, class := range s.Classes {
		aim := float64(class.MessageAim) / float64(3*time.Millisecond)
		if b.quickest == 0 || aim < b.quickest {
			b.quickest = aim
		}
	}
	if s.ListOnRequest {
		b.ask(now)
	}
	do.After(tickToken, beat)
	return b
}

// --- placing -----------------------------------------------------------------

// place chooses the backend of a connection, as the design page reads.
func (b *Balancer) place(now time.Duration, c *call) *server {
	home := b.home(now, c)
	if home == nil {
		return nil
	}
	// Stateful: what belongs to something already placed follows it, to the recorded
	// server or, without a record, home. Mid-flow packets would be reset elsewhere;
	// a group split over two servers is paid for by both.
	if c.MidFlow && c.tries == 0 || c.grouped {
		if d, ok := b.divert[c.flow]; ok && b.usable(now, d.to, c, true) {
			return d.to
		}
		if c.MidFlow || home.groups[c.key] > 0 {
			return home
		}
	}
	backup := home.backup
	if backup == nil {
		backup = b.ready[b.rng.IntN(len(b.ready))]
		if backup.flagged || backup == home {
			return home
		}
	}
	if b.load(home)-b.load(backup) < b.delta() || !b.usable(now, backup, c, true) {
		return home
	}
	home.backup, backup.flagged = backup, true
	b.remember(now, c, backup)
	return backup
}

// home is the first server in the key's rendezvous order that takes it. Servers
// that are suspended, overloaded or cold pass their keys on, first to one that
// holds some of the group already. When that leaves none, suspensions are void,
// since a doubtful server beats none.
func (b *Balancer) home(now time.Duration, c *call) *server {
	var first, best, doubtful *server
	var firstScore, bestScore, doubtfulScore float64
	for _, s := range b.ready {
		score := rendezvous(c.key, s)
		if score > firstScore {
			first, firstScore = s, score
		}
		if c.grouped && s.groups[c.key] > 0 {
			score += holds
		}
		if score > bestScore && b.usable(now, s, c, true) {
			best, bestScore = s, score
		} else if best == nil && score > doubtfulScore && b.room(s, c) && b.usable(now, s, c, false) {
			doubtful, doubtfulScore = s, score
		}
	}
	switch {
	case first != nil && b.usable(now, first, c, true):
		return first
	case best == nil:
		return doubtful
	case c.grouped && best.groups[c.key] == 0 && b.rank(now, c, best) >= spread:
		return nil // in overload, groups scattered one by one cost more than they bring
	}
	return best
}

// usable says whether the connection may go to the server at all.
func (b *Balancer) usable(now time.Duration, s *server, c *call, healthy bool) bool {
	if s.State != StateReady || healthy && s.until > now {
		return false
	}
	if !b.allowed(now, s, c) || !b.takesCold(now, s, c) {
		return false
	}
	return !healthy || b.room(s, c) && !slices.Contains(c.tried[:min(c.tries, len(c.tried))], s)
}

// delta is Δ: connections' worth, relative to a server of mean size.
func (b *Balancer) delta() float64 { return deltaConns * b.meanLoad() / b.meanSize() }

// load is T relative to the server's size. A new server counts as the mean until
// its own T gets there: an empty one would draw every diversion at once.
func (b *Balancer) load(s *server) float64 {
	l := b.own(s) / s.size
	if s.fresh {
		sum, size := 0.0, 0.0
		for _, o := range b.ready {
			sum, size = sum+b.own(o), size+o.size
		}
		if mean := sum / size; l < mean {
			return mean
		}
		s.fresh = false
	}
	return l
}

// --- the life of a request -----------------------------------------------------

// Request takes a new connection.
func (b *Balancer) Request(now time.Duration, r Request) {
	if b.calls[r.ID] != nil {
		return
	}
	c := b.newCall(now, r)
	b.budget = min(b.budget+0.2, float64(len(b.ready)))
	b.try(now, c)
	if !c.done {
		b.do.After(r.ID, max(0, r.Left-b.set.Tick))
	}
}

// Open takes over a connection that flows through this relay already.
func (b *Balancer) Open(now time.Duration, r Request, id BackendID) {
	if b.calls[r.ID] != nil {
		return
	}
	s := b.servers[id]
	if s == nil {
		s = b.learn(now, Backend{ID: id, State: StateGone, Weight: 1})
	}
	c := b.newCall(now, r)
	c.began, c.tries = true, 1
	b.attach(c, s)
}

// try sends the next attempt, or holds the request until a list names a ready server.
func (b *Balancer) try(now time.Duration, c *call) {
	if len(b.ready) == 0 {
		b.held = append(b.held, c)
		return
	}
	s := b.place(now, c)
	b.wanting = b.wanting || s == nil
	if s == nil || b.overShare(c) { // past what all bear: more would sink those they hold
		b.answer(now, c)
		return
	}
	if c.tries < len(c.tried) {
		c.tried[c.tries] = s
	}
	c.tries++
	c.sent = now
	b.attach(c, s)
	if b.warmth(now, s) < 1 {
		s.budget--
	}
	b.do.Send(c.ID, s.ID, b.patience(now, c))
}

// overShare says whether the request's tenant holds its share of connections here
// already while half the servers are near their limits: what it gets beyond its
// share is worth little and takes the room of what is worth more.
func (b *Balancer) overShare(c *call) bool {
	if c.Tenant >= len(b.set.Tenants) || b.set.OverShareWorth >= 1 || c.MidFlow {
		return false
	}
	quota := b.set.Tenants[c.Tenant].Connections / float64(b.set.Relays)
	if quota <= 0 || float64(b.taken[c.Tenant]) < quota {
		return false
	}
	near := 0
	for _, s := range b.ready {
		if s.limit > 0 && b.own(s) >= 0.8*s.limit {
			near++
		}
	}
	return 2*near >= len(b.ready)
}

// patience is an attempt's time-out: the class's aim or half of what is left while
// another attempt can follow, else all the time there is. So it is too while many
// time out: with set-ups slow everywhere, each one cut short feeds what slows them.
func (b *Balancer) patience(now time.Duration, c *call) time.Duration {
	left := c.deadline - now
	if c.tries >= b.set.TryLimit || b.late > 0.25 || b.set.Classes[c.Class].Effect == Unsafe {
		return left
	}
	return min(left, max(b.set.Classes[c.Class].OnTime, left/2))
}

// allowed keeps rule 2: no effect happens twice.
func (b *Balancer) allowed(now time.Duration, s *server, c *call) bool {
	if !c.mayRan {
		return true
	}
	class := &b.set.Classes[c.Class]
	switch class.Effect {
	case Safe:
		return true
	case Keyed:
		if now-c.ranAt >= class.Window-b.set.Tick {
			return false
		}
		return class.Scope == ScopeAll || class.Scope == ScopeZone && s.Zone == c.ranServer.Zone ||
			class.Scope == ScopeCell && s.Cell == c.ranServer.Cell
	}
	return false
}

// answer gives the final answer: refused where a retry is known to do no harm,
// else failed.
func (b *Balancer) answer(now time.Duration, c *call) {
	class := &b.set.Classes[c.Class]
	if !c.mayRan || class.Effect == Safe || class.Effect == Keyed && class.Scope == ScopeAll {
		stay := min(b.set.MaxRetryAfter, beat)
		if !b.set.RetryAfter {
			stay = 0
		}
		b.do.Refuse(c.ID, stay)
	} else {
		b.do.Fail(c.ID)
	}
	b.finish(c)
}

// finish ends the request for the client; a pending attempt still reports.
func (b *Balancer) finish(c *call) {
	c.done = true
	if i := slices.Index(b.held, c); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	if c.at == nil {
		delete(b.calls, c.ID)
	}
}

// Began hears that a connection stands.
func (b *Balancer) Began(now time.Duration, o Outcome) {
	if c := b.calls[o.ID]; c != nil && c.at != nil && o.Attempt == c.tries-1 {
		c.began = true
		b.judge(now, c.at, OK)
	}
}

// Outcome hears the end of an attempt or of an open connection.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	c := b.calls[o.ID]
	if c == nil || c.at == nil || o.Attempt != c.tries-1 {
		return
	}
	s := c.at
	dropped := o.Status == Reset && c.began
	if dropped && s.State == StateReady || o.Status == Full {
		b.overload(now, s, 0.85)
	}
	b.detach(c)
	if dropped && s.limit > 0 { // what it dropped it does not bear
		s.limit = min(s.limit, max(b.own(s), b.meanLoad()))
	}
	if !c.began {
		b.judge(now, s, o.Status)
	}
	if o.Status.Ran() && !c.mayRan {
		c.mayRan, c.ranAt, c.ranServer = true, c.sent, s
	}
	switch {
	case c.done || o.Closed || c.began:
		b.finish(c)
	case c.tries >= b.set.TryLimit || now+b.set.Tick >= c.deadline,
		!b.mayRepeat(now, c) || b.budget < 1:
		b.answer(now, c)
	default:
		b.budget--
		b.try(now, c)
	}
}

// mayRepeat says whether any server may get another attempt.
func (b *Balancer) mayRepeat(now time.Duration, c *call) bool {
	return slices.ContainsFunc(b.ready, func(s *server) bool { return b.allowed(now, s, c) })
}

// Gone hears that the client left.
func (b *Balancer) Gone(now time.Duration, id uint64) {
	if c := b.calls[id]; c != nil && !c.done {
		b.finish(c)
	}
}

// Note hears of a pending attempt.
func (b *Balancer) Note(now time.Duration, id uint64, kind NoteKind, v float64) {
	c := b.calls[id]
	if c == nil || c.at == nil {
		return
	}
	// Where reports tell the load they set the limit: notes would cut it to its floor
	// while everything is slow. But a report that claims room while messages are late
	// is stale or wrong, and is not believed upwards until they are not.
	if kind == NoteDelay && v > b.quickest && (c.at.limit == 0 || c.at.full < headroom) {
		c.at.doubted = now
		b.overload(now, c.at, max(0.5, 1-0.05*v/b.quickest)) // the later, the less it bears
	}
	if kind == NoteLoad && sane(v) > 0 {
		b.heard(c, v)
	}
}

// Timer hears a timer that this module asked for.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token == tickToken {
		b.upkeep(now)
		b.do.After(tickToken, beat)
		return
	}
	// Only a request held without an attempt is answered here; an attempt's own
	// time-out reports no later than the deadline.
	if c := b.calls[token]; c != nil && !c.done && !c.began && c.at == nil {
		b.answer(now, c)
	}
}

func (b *Balancer) upkeep(now time.Duration) {
	if now-b.cleared >= clearEvery {
		b.clear(now)
	}
	for len(b.order) > 0 && now-b.divert[b.order[0]].at > forget {
		b.forgetOldest()
	}
	b.recover(now)
	b.watch(now)
}

// clear forgets backups and flags.
func (b *Balancer) clear(now time.Duration) {
	b.cleared = now
	for _, s := range b.servers {
		s.backup, s.flagged = nil, false
	}
}

// --- health -------------------------------------------------------------------

// judge learns from the end of an attempt. A server that fails most of its
// attempts is suspended: quick failures shed T and would draw traffic. The
// suspended share is capped, so that trouble shared by all ejects nobody.
func (b *Balancer) judge(now time.Duration, s *server, st Status) {
	bad := 0.0
	switch st {
	case OK:
	case Error, Timeout, ConnectFailed, Reset:
		bad = 1
	default:
		return
	}
	s.fails += (bad - s.fails) / 4
	b.late -= b.late / 16
	if st == Timeout {
		b.late += 1.0 / 16
	}
	if bad == 0 {
		if s.fails < 0.1 {
			s.bench = 0
		}
		return
	}
	if s.fails < 0.5 || s.until > now {
		return
	}
	out := 1
	for _, o := range b.ready {
		if o.until > now {
			out++
		}
	}
	if 3*out > len(b.ready) {
		return
	}
	s.bench = min(max(beat, 2*s.bench), 16*beat)
	s.until = now + s.bench
}

// room says whether a server that has shown overload can bear the connection.
func (b *Balancer) room(s *server, c *call) bool {
	return s.limit == 0 || len(s.open) == 0 || b.own(s)+b.loadOf(c) <= s.limit
}

// overload lowers what a server is held to bear to a part of its T. An overloaded
// server drops connections or serves none in time; T falls as it drops them, and
// without a limit they come straight back to it.
func (b *Balancer) overload(now time.Duration, s *server, keep float64) {
	if now-s.hot < beat && s.limit > 0 {
		return
	}
	s.hot = now
	s.limit = max(b.own(s), b.meanLoad()) * keep
	b.relieve(s)
}

// relieve moves connections off a server until what stays is within its limit:
// left there, none would be served in time, and with no room elsewhere some
// served still beat none. Heavy ones go first, and those with few of their group
// here: a group that is split costs both servers, one that leaves whole neither.
// The last one goes by chance, in proportion: among many relays with a connection
// or two each, none would ever be over by a whole one.
func (b *Balancer) relieve(s *server) {
	for excess := b.own(s) - s.limit; excess > 0; {
		var pick *call
		best := 0.0
		for _, c := range s.open {
			if c.began && !c.moved {
				if v := b.loadOf(c) / float64(s.groups[c.key]); v > best {
					pick, best = c, v
				}
			}
		}
		if pick == nil || b.rng.Float64()*b.loadOf(pick) > excess {
			return
		}
		pick.moved = true
		excess -= b.loadOf(pick)
		b.do.Move(pick.ID)
	}
}

// recover raises limits while a server shows no trouble, faster while requests are
// refused for want of room: after a shrink or a shared slowness all limits are low.
func (b *Balancer) recover(now time.Duration) {
	growth := 1.05
	if b.wanting {
		growth = 1.15
	}
	b.wanting = false
	for _, s := range b.ready {
		if s.limit == 0 {
			continue
		}
		if now-s.hot >= 2*beat {
			s.limit *= growth
		}
		if b.share >= 0 && !s.probing { // the answer sets the limit
			s.probing = true
			b.do.Probe(s.ID)
		}
	}
}

// Probed hears a probe's answer. A limited server that tells how full it is gets
// the limit that fills it: guessing upwards takes long after every trouble.
func (b *Balancer) Probed(now time.Duration, r Report) {
	s := b.servers[r.Backend]
	if s == nil {
		return
	}
	s.probing = false
	if r.Status != OK || b.share < 0 || b.share >= len(r.Load) || s.limit == 0 {
		return
	}
	if full := sane(float64(r.Load[b.share])); full > 0 && b.own(s) > 0 {
		s.full = full
		if l := b.own(s) * headroom / full; l < s.limit || now-s.doubted >= 2*beat {
			s.limit = l
		}
		if full > 0.9 {
			s.hot = now
			b.relieve(s)
		}
	}
}

// Peer hears another relay.
func (b *Balancer) Peer(now time.Duration, from int, data []byte) {}

// --- cold servers ----------------------------------------------------------------

// takesCold says whether a starting server takes this key now: a rising share of
// its keys, within this relay's part of what it can bear.
func (b *Balancer) takesCold(now time.Duration, s *server, c *call) bool {
	w := b.warmth(now, s)
	if w >= 1 {
		return true
	}
	if float64(mix(c.key+s.hash)>>11)/(1<<53) > w {
		return false
	}
	b.refill(now, s, w)
	return s.budget >= 1
}

// refill adds to a cold server's budget. What it can do is guessed from what this
// relay has on others of its size, and filled no faster than over the warm-up.
func (b *Balancer) refill(now time.Duration, s *server, warmth float64) {
	if s.filled == 0 {
		// The first one comes after a random part of the gap: relays learn of a start
		// together, and one connection from each at once would push the server over.
		s.filled, s.budget = now, b.rng.Float64()
	}
	conns, size := 0.0, 0.0
	for _, o := range b.ready {
		if b.warmth(now, o) >= 1 {
			conns, size = conns+float64(len(o.open)), size+o.size
		}
	}
	if size > 0 {
		rate := conns / size * s.size * warmth / b.set.WarmUp.Seconds()
		s.budget = min(max(1, rate*b.set.FallSpan.Seconds()), s.budget+rate*(now-s.filled).Seconds())
	}
	s.filled = now
}

// --- the list -----------------------------------------------------------------------

// List hears news of the backends.
func (b *Balancer) List(now time.Duration, kind ListKind, lines []Backend) {
	if kind == ListFailed {
		// Back off with jitter: the list service is shared and falls behind when all ask at once.
		b.list.wait = min(max(beat, 2*b.list.wait), max(beat, b.set.AskEvery/2))
		b.list.again = now + time.Duration(float64(b.list.wait)*(0.5+b.rng.Float64()))
		return
	}
	if kind != ListCached && b.set.ListOnRequest {
		b.list = listState{}
	}
	if kind != ListDelta {
		named := make(map[BackendID]bool, len(lines))
		for i := range lines {
			named[lines[i].ID] = true
		}
		for _, s := range b.servers {
			if !named[s.ID] && s.State != StateGone {
				s.State, s.news = StateGone, now
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
		} else if s.State == StateGone && len(s.open) == 0 && now-s.news > forget {
			delete(b.servers, id)
		}
	}
	slices.SortFunc(b.ready, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	b.clear(now)
	held := b.held
	b.held = nil
	for _, c := range held {
		b.try(now, c)
	}
}

// learn takes in one line of a list.
func (b *Balancer) learn(now time.Duration, l Backend) *server {
	s := b.servers[l.ID]
	if s == nil {
		s = &server{hash: mix(uint64(l.ID) * 0x9e3779b97f4a7c15),
			untold: make([]int, len(b.set.Classes)),
			groups: map[uint64]int{},
			fresh:  now > b.began && l.State == StateReady, news: now}
		b.servers[l.ID] = s
	}
	if l.State == StateReady && l.ReadyAt != s.ReadyAt { // a new process: old sins are void
		s.fails, s.until, s.bench, s.filled, s.limit = 0, 0, 0, 0, 0
	}
	if l.State != s.State {
		s.news = now
	}
	s.Backend = l
	if b.set.Weights == WeightsNominal || b.set.Weights == WeightsRough {
		s.size = sane(l.Weight)
	}
	if s.size == 0 {
		s.size = 1
	}
	return s
}

func (b *Balancer) ask(now time.Duration) {
	b.do.Subscribe(true)
	b.list.again = now + max(beat, b.set.AskEvery) // a call that is never answered is asked again
}

// watch asks for the list again when due.
func (b *Balancer) watch(now time.Duration) {
	if b.set.ListOnRequest && b.list.again > 0 && now >= b.list.again {
		b.ask(now)
	}
}
