// This is one relay's decisions (api.go is its interface): a connection goes to its key's rendezvous home
// unless the load T there exceeds that of a flagged random backup by Δ.

package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	deltaConns = 4.0              // Δ in connections' worth of this relay's own,
	deltaTold  = 1.25             // and in those of any relay's where reports tell what a server holds
	askedFrom  = 0.9              // a backup is asked for a home over this part of the usual load
	probeConns = 4.0              // so many on a server that may be over are worth a probe a second
	idleConns  = 8.0              // on each server, as which all relays without connections count
	clearEvery = 10 * time.Second // B and F are forgotten this often
	beat       = time.Second      // the rhythm of upkeep
	drainTime  = 8 * time.Second  // a draining server's connections have moved by then
	headroom   = 0.75             // the share of what a server can do that it is filled to
	blindRoom  = 0.6              // the same where no note tells of late messages: reports are old
	lagging    = 1.3              // answers to probes that take so many times the usual lag
	sizeSpan   = 8                // no server counts as more, or less by more, than so many usual ones
	spread     = 3                // a group goes to no more than the first so many of its order,
	portion    = 16               // or such a part of the fleet while it has room
	askers     = 8                // one relay in so many asks a given server while a report is old
	shunning   = 4                // how much likelier than it was late a kind is passed by
	fewOf      = 20               // errors on one attempt in so many are few
	shunned    = 2                // so many servers are passed by where they can be asked first
	speakers   = 10               // one server in so many may speak for the fleet
	lateSpan   = 4 * beat         // a server counts as late for so long
	nearBorne  = 0.8              // this part of what a server bore its limit is soon back at,
	feelSpan   = 8 * beat         // and feels its way from there for so long
	longestGap = 16 * beat        // attempts are spaced out no further, so that what ends is noticed
	step       = beat / 10        // the rhythm of moves off a relay that stops or is drained
	tickToken  = 1 << 63          // timers: upkeep,
	leaveToken = tickToken + 1    // and those moves; any other token is a request's deadline
)

// --- placing -----------------------------------------------------------------

// place chooses the backend of a connection, as the design page reads.
func (b *Balancer) place(now time.Duration, c *call) *server {
	home := b.home(now, c)
	if home == nil {
		return nil
	}
	// Stateful: it follows what it belongs to. Packets would be reset elsewhere, a split group paid twice.
	if c.MidStream && c.tries == 0 || c.grouped {
		if d, ok := b.divert[c.flow]; ok && // where it is known to stand it is borne already, cold or not
			(c.MidStream && c.tries == 0 && d.to.State == StateReady || b.usable(now, d.to, c)) {
			return d.to
		}
		if c.MidStream || home.groups[c.key] > 0 {
			return home
		}
	}
	spare := b.spare(now, c)
	backup := cmp.Or(spare, home.backup)
	if backup == nil {
		backup = cmp.Or(c.drawn, b.ready[b.rng.IntN(len(b.ready))])
		if backup.flagged || backup == home {
			return home
		}
	}
	if !b.leads(now, home, backup, c) || backup != spare && !b.usable(now, backup, c) {
		return home
	}
	if c.drawn = backup; b.unheard(now, backup) { // it is asked before its T is gone by
		return backup
	}
	if backup != spare {
		home.backup, backup.flagged = backup, true
	}
	b.remember(now, c, backup)
	return backup
}

// spare is a cold server that this relay may send one more now. Few relays may at a time, and few keys are at
// home there: left to those, cold servers stay empty while the others are full.
func (b *Balancer) spare(now time.Duration, c *call) *server {
	return b.first(c.key, func(s *server) bool {
		return b.warmth(now, s) < 1 && b.sound(now, s, c) && b.refill(now, s)
	})
}

// leads says whether T of the home exceeds that of the backup by Δ. Where reports tell it, T is what all
// relays hold there: among many, a relay's own connections say nothing of a server. It splits no group.
func (b *Balancer) leads(now time.Duration, home, backup *server, c *call) bool {
	ask := b.unheard(now, backup)
	if c.grouped || b.tells < sureCrowd || !b.reported(now, home) || !ask && !b.reported(now, backup) {
		return b.load(home)-b.load(backup) >= b.delta()
	}
	part := float64(b.set.RelayCount) / float64(len(b.ready))  // of what this relay does, from all
	conn := b.crowd / (max(1, float64(b.all.n)-c.rush) * part) // what one adds to a report
	lead := home.full + float64(home.since)*conn
	if ask {
		return lead > askedFrom*b.crowd
	}
	lead -= backup.full + float64(backup.since)*conn // all read the same: each takes its part, by chance
	return lead > deltaTold*conn && b.rng.Float64()*(1+c.rush*part) < lead/conn
}

// home is the first server in the key's rendezvous order, which all relays share.
func (b *Balancer) home(now time.Duration, c *call) *server {
	home := b.first(c.key, func(*server) bool { return true })
	if home == nil || b.usable(now, home, c) {
		return home
	}
	return b.overflow(now, c)
}

// overflow is the next in order where the home can't take it: first one that holds some of the group already.
func (b *Balancer) overflow(now time.Duration, c *call) *server {
	holds := func(s *server) bool { return c.grouped && s.groups[c.key] > 0 && b.usable(now, s, c) }
	if holder := b.first(c.key, holds); holder != nil {
		return holder
	}
	if cold := b.spare(now, c); cold != nil {
		return cold
	}
	next := b.first(c.key, func(s *server) bool { return b.usable(now, s, c) })
	if next == nil || !c.grouped {
		return next
	}
	ahead := 0 // in overload, groups scattered one by one cost more than they bring; idle servers bring none
	best, _ := next.beats(c.key, 0)
	for i, r := range b.ring {
		if _, ok := r.beats(c.key, best); ok && b.warmth(now, b.ready[i]) >= 1 {
			ahead++
		}
	}
	most := spread
	if b.share < 0 { // no report tells of idle ones: large groups go to half their part of the servers
		if ahead > 0 && b.lateFleet(now) {
			return nil
		}
		most = max(most, int(b.part(c.key)*float64(len(b.ready))/2))
	}
	if ahead >= most && (b.set.ReportsMessageDelay && ahead >= len(b.ready)/portion || b.crowd > headroom) {
		return nil
	}
	return next
}

// lateFleet says whether half of the servers that this relay has connections on were late of late, and so
// many that they may speak for the fleet. One alone may be at fault itself.
func (b *Balancer) lateFleet(now time.Duration) bool {
	late := 0
	for _, s := range b.busy {
		if s.limit > 0 && now-s.hot < lateSpan {
			late++
		}
	}
	return late > 1 && 2*late >= len(b.busy) && speakers*late >= len(b.ready)
}

// first is the ready server with the highest rendezvous score of those that pass.
func (b *Balancer) first(key uint64, pass func(*server) bool) *server {
	var first *server
	best := 0.0
	for i, r := range b.ring {
		if score, ok := r.beats(key, best); ok && pass(b.ready[i]) {
			first, best = b.ready[i], score
		}
	}
	return first
}

// beats scores a server for a key and says whether that is over a mark. A larger server wins more keys.
func (r slot) beats(key uint64, mark float64) (float64, bool) {
	u := (float64(mix(key^r.hash)>>11) + 0.5) / (1 << 53)
	if r.size <= mark*(1-u) { // the score is at most size/(1-u): spare the logarithm
		return 0, false
	}
	score := -r.size / math.Log(u)
	return score, score > mark
}

// usable says whether the connection may go to the server at all.
func (b *Balancer) usable(now time.Duration, s *server, c *call) bool {
	return b.sound(now, s, c) && b.takesCold(now, s, c) // mid-flow too: all of a dead relay's come at once
}

// sound is the same but for the ramp of a cold server. One that it holds already is borne already.
func (b *Balancer) sound(now time.Duration, s *server, c *call) bool {
	return s.State == StateReady && b.allowed(now, s, c) && !slices.Contains(c.tried[:], s) &&
		(c.MidStream && c.tries == 0 || s.until <= now && b.room(s, c) && !slices.Contains(c.shunned[:], s))
}

// delta is Δ: connections' worth, relative to a server of mean size.
func (b *Balancer) delta() float64 { return deltaConns * b.meanLoad() / b.meanSize }

// load is T relative to the server's size.
func (b *Balancer) load(s *server) float64 { return b.own(&s.sums) / s.size }

// --- the life of a request -----------------------------------------------------

// RequestArrived takes a new connection.
func (b *Balancer) RequestArrived(now time.Duration, r Request) {
	if b.calls[r.ID] != nil {
		return
	}
	c := b.newCall(now, r)
	b.budget = min(b.budget+b.earns(c), float64(len(b.ready)))
	b.try(now, c)
	if !c.done {
		b.do.SetTimer(r.ID, max(0, c.deadline-now-b.set.Tick))
	}
}

// try sends the next attempt, or holds the request until a list names a ready server.
func (b *Balancer) try(now time.Duration, c *call) {
	if len(b.ready) == 0 {
		b.held = append(b.held, c)
		return
	}
	s := b.place(now, c)
	for s != nil && b.shun(now, s, c) {
		s = b.place(now, c)
	}
	if s == nil || b.overShare(c) || now < b.due && !c.MidStream { // past what all bear
		b.answer(now, c)
		return
	}
	if b.ask(now, s, c) {
		return
	}
	c.tried[min(c.tries, len(c.tried)-1)] = s
	c.tries, c.sent = c.tries+1, now
	b.spaced(now)
	b.attach(c, s)
	s.since++
	if b.warmth(now, s) < 1 {
		s.budget--
	}
	// All the time there is, unless a file says less: with set-ups slow everywhere cut ones make a storm.
	left := c.deadline - now
	if t := c.RetryPolicy.AttemptTimeout; t > 0 {
		left = min(left, t)
	}
	if second := c.RetryPolicy.HedgeDelay; second > 0 && c.tries == 1 {
		b.do.SetTimer(c.ID, second)
	}
	b.do.Send(c.ID, s.ID, left)
}

// earns is what a request adds to the budget of attempts. Where a file sets it, a retry earns nothing.
func (b *Balancer) earns(c *call) float64 {
	if c.ClientRetry && c.RetryPolicy.RetryBudget > 0 {
		return 0
	}
	return cmp.Or(max(0, c.RetryPolicy.RetryBudget), 0.2)
}

// again makes a further attempt, after a pause where the timing says so that does not outlast the request.
func (b *Balancer) again(now time.Duration, c *call) {
	wait := c.RetryPolicy.BaseBackoff
	if wait == 0 || c.cut {
		c.cut = false
		b.try(now, c)
		return
	}
	for range c.tries - 1 {
		wait *= 2
		if most := c.RetryPolicy.MaxBackoff; most > 0 {
			wait = min(wait, most)
		}
	}
	wait = time.Duration((0.5 + b.rng.Float64()/2) * float64(wait))
	if now+wait+b.set.Tick >= c.deadline {
		b.answer(now, c)
		return
	}
	c.again = now + wait
	b.do.SetTimer(c.ID, wait)
}

// second cancels a first attempt that has been silent, if another server may take the request then.
// The copy goes out when the first is known to have ended: two are never out at once.
func (b *Balancer) second(now time.Duration, c *call) {
	t := c.RetryPolicy.HedgeDelay
	if t <= 0 || !b.set.Cancellation || c.cut || c.tries != 1 || now-c.sent < t || c.most < 2 || b.budget < 1 {
		return
	}
	after := *c
	after.mayRan, after.ranAt, after.ranServer = true, c.sent, c.at
	if b.first(c.key, func(s *server) bool { return b.usable(now, s, &after) }) != nil {
		c.cut = true
		b.do.Cancel(c.ID, 0)
	}
}

// shun says whether a returning client passes by a server that this relay hears nothing of: the likelier, the
// more often its kind was late, twice that where none can be asked. Each relay would send it home in turn.
func (b *Balancer) shun(now time.Duration, s *server, c *call) bool {
	chance, most := shunning*b.kindOf(s).lateness(), shunned
	if !b.set.HealthChecks {
		chance, most = 2*chance, len(c.shunned)
	}
	if c.MidStream || c.shuns >= most ||
		!b.failing(now, s, c) && (!c.Reconnecting || s.n > 0 || b.rng.Float64() >= chance) {
		return false
	}
	c.shunned[c.shuns], c.shuns = s, c.shuns+1
	return true
}

// failing says whether a server reports errors on more than a few of the attempts made there. What may not be
// repeated passes it by: each of many relays would find that out by one of those, which is lost then.
func (b *Balancer) failing(now time.Duration, s *server, c *call) bool {
	made := float64(b.set.RelayCount) / max(b.pace, b.set.Tick).Seconds() / float64(len(b.ready)) // a second
	return b.set.Classes[c.Class].Idempotency != Idempotent && b.reported(now, s) && s.errs > made/fewOf
}

// ask holds a connection until its server has answered a probe, where this relay has no word of it of late.
// Among many relays each has connections on few servers: the others may be full unseen.
func (b *Balancer) ask(now time.Duration, s *server, c *call) bool {
	if !b.unheard(now, s) || c.MidStream || c.asks == 2*spread || c.deadline-now <= 2*b.answerTime(c, s) {
		return false
	}
	b.probe(s)
	c.asked, c.sent, c.asks, c.askedBy = s, now, c.asks+1, now+b.answerTime(c, s)
	b.held = append(b.held, c)
	b.do.SetTimer(c.ID, c.askedBy-now)
	return true
}

// unheard says whether a server is to be asked: notes tell only that it is late, a report how much it holds.
func (b *Balancer) unheard(now time.Duration, s *server) bool {
	return b.set.HealthChecks && (s.n == 0 || b.share >= 0) && now-s.heard >= 2*beat
}

// reported says whether a report of late tells how full a server is.
func (b *Balancer) reported(now time.Duration, s *server) bool { return s.told && now-s.heard < 2*beat }

// answerTime is how long a probe is waited for: what is left then is for set-ups. A far one takes its time.
func (b *Balancer) answerTime(c *call, s *server) time.Duration { return max(b.aim(c)/4, 2*b.way(s)) }

// overShare says whether the tenant holds its share here while half the servers are full.
func (b *Balancer) overShare(c *call) bool {
	if c.Tenant >= len(b.set.Tenants) || b.set.OverQuotaPriority >= 1 || c.MidStream {
		return false
	}
	quota := b.set.Tenants[c.Tenant].ConnectionQuota / float64(b.set.RelayCount)
	if quota <= 0 || float64(b.taken[c.Tenant]) < quota {
		return false
	}
	near := 0
	for _, s := range b.busy {
		if s.limit > 0 && b.own(&s.sums) >= 0.8*s.limit {
			near++
		}
	}
	return 2*near >= len(b.ready)
}

// allowed keeps rule 2: no effect happens twice. A repeat arrives only once its connection is up.
func (b *Balancer) allowed(now time.Duration, s *server, c *call) bool {
	if !c.mayRan {
		return true
	}
	class := &b.set.Classes[c.Class]
	switch class.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey:
		if up := max(b.set.DialTimeout, c.RetryPolicy.ConnectTimeout); now+up-c.ranAt >= class.DedupWindow-b.set.Tick {
			return false
		}
		return class.DedupScope == ScopeAll || class.DedupScope == ScopeZone && s.Zone == c.ranServer.Zone ||
			class.DedupScope == ScopeCell && s.Cell == c.ranServer.Cell
	}
	return false
}

// answer gives the final answer: refused where a retry is known to do no harm, else failed.
func (b *Balancer) answer(now time.Duration, c *call) {
	class := &b.set.Classes[c.Class]
	if !c.mayRan || class.Idempotency == Idempotent || class.Idempotency == IdempotentWithKey && class.DedupScope == ScopeAll {
		b.do.Reject(c.ID, min(b.set.MaxRetryAfter, beat))
	} else {
		b.do.Fail(c.ID)
	}
	b.finish(c)
}

// AttemptSucceeded hears that a connection stands.
func (b *Balancer) AttemptSucceeded(now time.Duration, o AttemptResult) {
	if c := b.calls[o.ID]; c != nil && c.at != nil && o.Attempt == c.tries-1 {
		c.began = true
		b.judge(now, c.at, StatusOK)
		b.shared(now, c, o.Latency > b.slow(c))
	}
}

// AttemptEnded hears the end of an attempt or of an open connection.
func (b *Balancer) AttemptEnded(now time.Duration, o AttemptResult) {
	c := b.calls[o.ID]
	if c == nil || c.at == nil || o.Attempt != c.tries-1 {
		return
	}
	s := c.at
	// One reset may be the network's. Taken for trouble, each would move half of what a sound server holds.
	stray := o.Status == StatusReset && !b.set.ReportsMessageDelay && s.stray(now)
	if o.Status == StatusReset && c.began && s.State == StateReady && !stray || o.Status == StatusOverloaded {
		keep := 0.85
		if o.Status == StatusReset && !b.set.ReportsMessageDelay { // notes would have cut it before: what it holds is late
			keep = 0.5
		}
		b.overload(now, s, keep)
	}
	if !c.began && (o.Status == StatusError || o.Status == StatusTimeout && now-c.sent > b.slow(c)) {
		b.shared(now, c, true)
	}
	b.detach(c)
	if !stray && (!c.began || o.Status == StatusReset && !b.set.ReportsMessageDelay) { // without notes drops tell first
		b.judge(now, s, o.Status)
	}
	if o.Status.MayHaveExecuted() && !c.mayRan {
		c.mayRan, c.ranAt, c.ranServer = true, c.sent, s
	}
	switch {
	case c.done || o.Closed || c.began:
		b.finish(c)
	case c.tries >= c.most || now+b.set.Tick >= c.deadline || b.budget < 1 || now < b.due:
		b.answer(now, c)
	default:
		b.budget--
		b.again(now, c)
	}
}

// LoadReported hears of a pending attempt.
func (b *Balancer) LoadReported(now time.Duration, id uint64, kind LoadSignal, v float64) {
	c := b.calls[id]
	if c == nil || c.at == nil {
		return
	}
	if kind == SignalMessageDelay && v > b.quickest {
		b.kindOf(c.at).late++
		// Where reports tell the load they set the limit: notes would cut it to its floor while everything is
		// slow, and one that claims room is stale or wrong. But what is piled up keeps all late until it is
		// worked off, which a server that is nearly full never does: what stays leaves room for it in a beat.
		keep := max(0.5, 1-0.05*v/b.quickest) // the later, the less it bears
		pile := v / float64(beat/time.Millisecond)
		if b.share < 0 { // all relays hear of the pile and each cuts: the more there are, the less is left
			b.overload(now, c.at, max(0.5, min(keep, 1-pile)))
		} else if c.at.limit == 0 || c.at.full < headroom || 1-pile < keep {
			b.overload(now, c.at, max(0.1, min(keep, 1-pile)))
		}
	}
	if kind == SignalConnectionLoad && sane(v) > 0 {
		b.heard(c, v)
	}
}

// TimerFired hears a timer that this module asked for.
func (b *Balancer) TimerFired(now time.Duration, token uint64) {
	switch token {
	case tickToken:
		b.upkeep(now)
		b.do.SetTimer(tickToken, beat)
		return
	case leaveToken:
		b.leave(now)
		return
	}
	c := b.calls[token] // an attempt's own time-out reports no later than the deadline
	switch {
	case c == nil || c.done || c.began:
	case c.at != nil:
		b.second(now, c)
	case now+2*b.set.Tick >= c.deadline:
		b.answer(now, c)
	case c.again > 0 && now >= c.again:
		c.again = 0
		b.try(now, c)
	case c.asked != nil && now >= c.askedBy: // silent: held to be full
		b.answered(now, c.asked, 1)
	}
}

// --- health -------------------------------------------------------------------

// judge suspends a server that fails an attempt, longer each time in a row: quick failures shed T and draw
// traffic, and one is all that each of many relays may see. Capped: trouble of all ejects nobody.
func (b *Balancer) judge(now time.Duration, s *server, st Status) {
	switch st {
	case StatusOK:
		s.bench = 0
		return
	case StatusOverloaded, StatusCancelled, StatusAbandoned:
		return
	}
	b.out = slices.DeleteFunc(b.out, func(o *server) bool { return o.until <= now })
	if s.until <= now && 3*len(b.out)+3 <= len(b.ready) {
		s.bench = min(max(beat, 2*s.bench), 16*beat)
		s.until = now + s.bench
		b.out = append(b.out, s)
	}
}

// slow is what a set-up takes at least that speaks of trouble: half its aim, and longer than a way may take.
func (b *Balancer) slow(c *call) time.Duration { return max(b.aim(c)/2, b.set.DialTimeout) }

// shared takes in how a set-up went and spaces attempts out, as TCP spaces segments, while those of one
// request after another fail or are slow at different servers: what they wait for is shared. A slow one
// halves the pace, once a round; each quick one raises it. One request's own failures do not count.
func (b *Balancer) shared(now time.Duration, c *call, slow bool) {
	last, of := b.sick, b.sickOf
	if b.sick, b.sickOf = c.at, c.ID; !slow {
		b.sick = nil
		if c.sent >= b.cut {
			b.gap = b.gap * 2 / 3
		}
		if 2*b.gap < b.pace { // it holds nobody up any more
			b.gap, b.due = 0, 0
		}
		return
	}
	if last == nil || last == c.at || of == c.ID || c.sent < b.cut {
		return
	}
	b.gap, b.cut = min(2*max(b.gap, b.pace), longestGap), now
	b.due = now + time.Duration((0.5+b.rng.Float64())*float64(b.gap))
}

// spaced takes in that an attempt goes out.
func (b *Balancer) spaced(now time.Duration) {
	b.pace += (min(now-b.spacedAt, longestGap) - b.pace) / 8
	if b.spacedAt = now; b.gap > 0 {
		b.due = now + time.Duration((0.5+b.rng.Float64())*float64(b.gap))
	}
}

// room says whether a server that has shown overload can bear the connection. One that this relay has nothing
// on always can where it may be asked first.
func (b *Balancer) room(s *server, c *call) bool {
	return s.limit == 0 || b.set.HealthChecks && s.n == 0 && s.also == 0 || b.own(&s.sums)+b.loadOf(c) <= s.limit
}

// overload lowers what a server is held to bear to a part of its T: else what it drops comes straight back.
func (b *Balancer) overload(now time.Duration, s *server, keep float64) {
	if s.n == 0 || now-s.hot < beat && s.limit > 0 {
		return
	}
	t := b.own(&s.sums)
	if s.limit == 0 || now-s.hot > 2*beat {
		s.bears = t
	}
	s.hot = now
	if s.limit > 0 {
		t = min(t, s.limit)
	}
	s.limit = max(t, b.meanLoad()) * keep
	b.relieve(s, s.limit)
}

// relieve moves connections off a server until the rest is within a limit. Heavy ones go first, and those
// with few of their group: a split group costs twice. The last one goes by chance, in proportion: many relays
// with a connection or two each would never be over by a whole one.
func (b *Balancer) relieve(s *server, limit float64) {
	for excess := b.own(&s.sums) - limit; excess > 0; {
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
		b.do.Migrate(pick.ID)
	}
}

// recover raises limits while a server shows no trouble, and forgets them where nothing is left to limit.
func (b *Balancer) recover(now time.Duration) {
	b.busy = slices.DeleteFunc(b.busy, func(s *server) bool {
		if s.busy = s.n > 0 || now-s.hot < clearEvery; !s.busy {
			s.limit = 0
		}
		return !s.busy
	})
	for _, s := range b.busy {
		if s.n > 0 {
			b.kindOf(s).seconds++
		}
		if s.State == StateDraining {
			b.depart(now, s, s.news+drainTime, beat)
		} else if s.State == StateRemoved {
			b.depart(now, s, now, beat)
		}
		// Where notes tell of late messages only a limit is looked after, else every server.
		if s.State != StateReady || s.limit == 0 && b.set.ReportsMessageDelay {
			continue
		}
		if now-s.hot >= 2*beat {
			if s.limit < nearBorne*s.bears || now-s.hot > feelSpan || b.share >= 0 {
				s.limit *= 1.1
			} else {
				s.limit *= 1.02
			}
		}
		// The answer sets the limit. From each of many relays a probe a second would cost too much.
		if b.set.HealthChecks && b.share >= 0 && b.rng.Float64()*probeConns < float64(s.n) {
			b.probe(s)
		}
	}
}

// depart moves a server's connections on in equal parts, one a step, before it or this relay stops.
func (b *Balancer) depart(now time.Duration, s *server, by, step time.Duration) {
	b.relieve(s, b.own(&s.sums)*(1-float64(step)/float64(max(step, by-now))))
}

// DrainBy hears that no connection is to be here by a time, since this relay stops or is drained; 0: it is
// to stay after all. Where packets pass through, another takes over. Until then it serves who still comes.
func (b *Balancer) DrainBy(now, at time.Duration) {
	if b.set.PassThrough {
		return
	}
	if at > 0 && b.leaves > 0 {
		at = min(at, b.leaves) // a drained relay that is to stop as well puts nothing off
	}
	b.leaves = at
	if at > 0 && !b.stepping {
		b.stepping = true
		b.do.SetTimer(leaveToken, 0)
	}
}

func (b *Balancer) leave(now time.Duration) {
	if b.stepping = b.leaves > 0; !b.stepping {
		return
	}
	for _, s := range b.busy {
		b.depart(now, s, b.leaves, step)
	}
	b.do.SetTimer(leaveToken, step)
}

// probe asks a server how it does, unless a probe is out already.
func (b *Balancer) probe(s *server) {
	if !s.probing {
		s.probing = true
		b.do.CheckHealth(s.ID)
	}
}

// HealthCheckDone hears a probe's answer. It sets the limit that fills a server; with no report, late means full.
func (b *Balancer) HealthCheckDone(now time.Duration, r HealthCheckResult) {
	s := b.servers[r.Backend]
	if s == nil {
		return
	}
	b.replied(s, r)
	told, full := r.Status == StatusOK && b.share >= 0 && b.share < len(r.Load), 0.0
	switch {
	case told:
		full = sane(float64(r.Load[b.share]))
		b.tells++
		b.crowd += (min(full, 2) - b.crowd) / float64(min(b.tells, 8))
	case r.Status != StatusOK && r.Status != StatusAbandoned || r.Latency.Seconds()*1000 > b.quickest: // moot: not asked
		full = 1
	}
	mark, fill := 0.9, headroom
	if told && !b.set.ReportsMessageDelay { // reports are all that tells of late messages, and they are old
		// Where all are known to be fuller there is nowhere to move to: it would only turn away.
		if b.crowd <= blindRoom || b.tells < sureCrowd {
			mark, fill = headroom, blindRoom
		}
		b.paced(s, r.Latency, lagging, time.Duration(b.quickest*float64(time.Millisecond))/64)
		if s.lags > 2 || s.lags > 0 && now-s.word < 2*beat { // three in a row, or one and a peer's word
			full = max(full, 1) // it works slower, late however small the load that its old report tells
			b.overload(now, s, 0.5)
			if b.set.Gossip && s.lags == 3 {
				b.do.SendGossip(-1, notice(s))
			}
		} else if s.lags > 0 { // one alone is chance
			b.probe(s)
		}
	}
	if told && full > 0 && s.n > 0 && (s.limit > 0 || full > mark && !b.set.ReportsMessageDelay) {
		if l := b.own(&s.sums) * max(0.5, fill/full); s.limit == 0 || l < s.limit || now-s.hot >= 2*beat {
			s.limit = l
		}
		if full > mark && now-s.hot >= 2*beat { // reports are old: the last relief may not show yet
			s.hot = now
			b.relieve(s, s.limit)
		}
	}
	s.told, s.errs = told, b.errors(r)
	b.answered(now, s, full)
}

// GossipReceived hears that a server lags at another relay. It is asked at once, and one late answer is enough then:
// taken at its word, one relay's mistake would halve what all relays hold there.
func (b *Balancer) GossipReceived(now time.Duration, from int, data []byte) {
	if s := b.noticed(data); s != nil && !b.set.ReportsMessageDelay && s.paces > surePace {
		s.word = now
		b.probe(s)
	}
}

// answered takes in how full a server said to be: where no notes tell more, keys pass by a full one.
func (b *Balancer) answered(now time.Duration, s *server, full float64) {
	s.heard, s.full, s.since = now, full, 0
	if s.n == 0 && (full >= headroom || b.rushed(now, s, full)) {
		s.until = now + 2*beat
	}
	b.resume(now, s)
}

// rushed says whether a server with room is passed by all the same, for clients that come back. While servers
// go, all relays' clients come back together and read of the same room in an old report: each relay fills its
// part, by chance below a connection. Its own connections on a usual server say how many fill one.
func (b *Balancer) rushed(now time.Duration, s *server, full float64) bool {
	if b.lost == 0 || now-b.lost >= clearEvery ||
		!slices.ContainsFunc(b.held, func(c *call) bool { return c.asked == s && c.Reconnecting && !c.done }) {
		return false
	}
	fills := max(1, float64(b.all.n)) / float64(max(1, len(b.ready))) / max(b.crowd, 0.1)
	return b.rng.Float64() > askers*(headroom-full)*fills
}

// --- cold servers ----------------------------------------------------------------

// takesCold says whether a starting server takes this key now: a rising share of them, within our part.
func (b *Balancer) takesCold(now time.Duration, s *server, c *call) bool {
	w := b.warmth(now, s)
	return w >= 1 || float64(mix(c.key+s.hash)>>11)/(1<<53) <= w && b.refill(now, s)
}

// warmth is the share of its capacity a server surely has.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	age := now - s.ReadyAt
	if s.ReadyAt == 0 || b.set.SlowStartWindow <= 0 || age >= b.set.SlowStartWindow {
		return 1
	}
	return b.set.SlowStartFloor + (1-b.set.SlowStartFloor)*max(0, float64(age)/float64(b.set.SlowStartWindow))
}

// refill says whether a cold server may get one more from here in this span: what this relay has on warm ones
// is borne over a warm-up. What is unused lapses, or a rush would spend what all relays have saved.
func (b *Balancer) refill(now time.Duration, s *server) bool {
	if span := max(1, b.set.OverloadWindow); now >= s.filled {
		conns, size := 0.0, 0.0
		for _, o := range b.ready {
			if b.warmth(now, o) >= 1 {
				conns, size = conns+float64(o.n), size+o.size
			}
		}
		// Half of what would push it over. Relays without connections count as so many a server all together:
		// as one each they would send the more, the more of them there are.
		conns = max(conns, min(1, idleConns/float64(b.set.RelayCount)*float64(len(b.ready))))
		fills := conns / max(b.crowd, blindRoom) / cmp.Or(size, float64(len(b.ready))) * s.size
		rate := b.set.OverloadMultiple / 2 * fills * b.warmth(now, s) / b.set.SlowStartWindow.Seconds()
		s.budget = math.Floor(rate*span.Seconds() + b.rng.Float64())
		s.filled = now + span - (now-s.filled)%span
	}
	return s.budget >= 1
}

// --- the list -----------------------------------------------------------------------

// EndpointsUpdated hears news of the backends.
func (b *Balancer) EndpointsUpdated(now time.Duration, kind EndpointUpdateKind, lines []Backend) {
	if kind == UpdateFailed {
		b.list.wait = min(max(beat, 2*b.list.wait), max(beat, b.set.PollInterval/2))
		b.list.again = now + time.Duration(float64(b.list.wait)*(0.5+b.rng.Float64()))
		return
	}
	if kind != UpdateCached {
		b.list = listState{}
	}
	b.record(now, kind, lines)
	b.resize()
	b.clear(now)
	b.resume(now, nil)
}

// resize sets sizes relative to the median weight. An absurd one would draw all keys, or leave a server idle.
func (b *Balancer) resize() {
	sum, median := 0.0, max(b.medianWeight(), math.SmallestNonzeroFloat32)
	b.ring = b.ring[:0]
	for _, s := range b.ready {
		if b.set.Weights == WeightsNominal || b.set.Weights == WeightsRough {
			s.size = min(max(sane(s.Weight)/median, 1.0/sizeSpan), sizeSpan)
		}
		sum += s.size
		b.ring = append(b.ring, s.slot)
	}
	b.meanSize = sum / float64(max(1, len(b.ready)))
}

func (b *Balancer) askList(now time.Duration) {
	b.do.WatchEndpoints(true)
	b.list.again = now + max(beat, b.set.PollInterval) // a call that is never answered is asked again
}
