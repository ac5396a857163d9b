// This file owns watching before a switch: the same module under the settings of another shape hears what the one
// that decides hears, and what it would have done otherwise is counted by kind. It must never send, ask, probe, tell
// or move anything, let a fault of its own reach a request, or let one difference grow into others: after each
// decision its books take what was really done.

package machine

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
)

// Shape is what may differ between deployments in what the module has to go by.
type Shape struct {
	Probes, Peers, Groups, RetryAfter bool
	Report                            []balance.ReportField // of load reports, in order; empty: none come
	Weights                           balance.WeightMode
}

// ShapeOf is the shape that settings have.
func ShapeOf(b *balance.Settings) *Shape {
	return &Shape{Probes: b.HealthChecks, Peers: b.Gossip, Groups: b.Groups, RetryAfter: b.RetryAfter, Report: b.ReportFields, Weights: b.Weights}
}

// over is settings with another shape.
func (s *Shape) over(b balance.Settings) balance.Settings {
	b.HealthChecks, b.Gossip, b.Groups, b.RetryAfter = s.Probes, s.Peers, s.Groups, s.RetryAfter
	b.ReportFields, b.Weights = s.Report, s.Weights
	return b
}

// equal says whether two shapes are the same; nil is none.
func (s *Shape) equal(o *Shape) bool {
	return s == o || s != nil && o != nil && slices.Equal(s.Report, o.Report) && s.Probes == o.Probes && s.Peers == o.Peers &&
		s.Groups == o.Groups && s.RetryAfter == o.RetryAfter && s.Weights == o.Weights
}

// WatchKind is a way in which the other settings would have decided otherwise.
type WatchKind uint8

// The kinds.
const (
	WatchAnother WatchKind = iota // sent to another server
	WatchSent                     // sent rather than refused
	WatchRefused                  // refused rather than sent
	WatchAgain                    // tried once more rather than answered
	WatchEnded                    // answered rather than tried once more
	WatchHeld                     // held while this one was decided: it waits for a list, a pause or a probe
	WatchMoved                    // a client asked to move that was left
	WatchLeft                     // a client left that was asked to move
	WatchAvoided                  // a server avoided that is not
	WatchBack                     // a server taken back that is avoided
	watchKinds
)

var watchNames = [watchKinds]string{"another", "sent", "refused", "again", "ended", "held", "moved", "left", "avoided", "back"}

func (k WatchKind) String() string { return watchNames[k] }

// WatchFigures are how often each kind came up, how many decisions were compared, and whether watching has ended
// by a fault of its own.
type WatchFigures struct {
	Counts   [watchKinds]int64
	Compared int64
	Ended    bool
}

// Each calls f with all figures in a fixed order.
func (w *WatchFigures) Each(f func(name string, v int64)) {
	for k, n := range w.Counts {
		f(WatchKind(k).String(), n)
	}
	f("compared", w.Compared)
	ended := int64(0)
	if w.Ended {
		ended = 1
	}
	f("fault", ended)
}

// watchBook holds them. It may be read from any goroutine.
type watchBook struct {
	counts   [watchKinds]atomic.Int64
	compared atomic.Int64
	ended    atomic.Bool
}

func (b *watchBook) read() *WatchFigures {
	f := &WatchFigures{Compared: b.compared.Load(), Ended: b.ended.Load()}
	for i := range b.counts {
		f.Counts[i] = b.counts[i].Load()
	}
	return f
}

const watchLogEvery = 10 * time.Second

// verdict is what was done with a request last.
type verdict struct {
	done, sent bool // sent to a server, else answered
	to         balance.BackendID
}

// watchedFlow is what watching knows of a flow.
type watchedFlow struct {
	request     balance.Request
	came        time.Duration
	sends       int // attempts really made
	began       bool
	real, other verdict
	moved       [2]bool // asked to move: really, by the other settings
	compared    bool    // the moves were
}

// availabilityReporter is a Decider that tells which backends it sends nothing new to.
type availabilityReporter interface {
	Unavailable(now time.Duration, id balance.BackendID) bool
}

var _ availabilityReporter = (*balance.Balancer)(nil)

// watch is a Decider that has one decide and another decide in vain.
type watch struct {
	Decider // what decides
	other   *balance.Balancer
	node    *Node
	flows   map[uint64]*watchedFlow
	changed []uint64 // flows with a verdict that is not compared yet
	moves   []uint64 // flows asked to move by either since the last sweep
	differs map[balance.BackendID]WatchKind
	logged  time.Duration
	total   int64 // differences when they were logged last
}

// begin starts what decides in vain beside what decides. The configuration has a shape to watch.
func (w *watch) begin(now time.Duration, real Decider) {
	n := w.node
	w.Decider, w.flows, w.differs, w.logged = real, map[uint64]*watchedFlow{}, map[balance.BackendID]WatchKind{}, now
	n.book.watch.Store(&watchBook{})
	w.safely(func() { w.other = balance.New(now, n.cfg.Seed, n.cfg.Watch.over(n.believed()), shadow{w}) })
	n.log.Info("watching: the settings of another shape decide in vain", zap.Any("shape", n.cfg.Watch))
}

// safely does something of the watching half. A fault there ends the watching and nothing else.
func (w *watch) safely(f func()) {
	if w.ended() {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			w.node.book.watch.Load().ended.Store(true)
			w.flows, w.changed, w.moves = nil, nil, nil
			w.node.log.Error("watching has ended by a fault of its own", zap.Any("panic", p))
		}
	}()
	f()
}

func (w *watch) ended() bool { return w.node.book.watch.Load().ended.Load() }

func (w *watch) count(k WatchKind) { w.node.book.watch.Load().counts[k].Add(1) }

// both has both decide, first what decides, and compares.
func (w *watch) both(now time.Duration, decide func(Decider)) {
	decide(w.Decider)
	w.safely(func() {
		decide(w.other)
		w.settle(now)
	})
}

// settle compares what is decided on both sides.
func (w *watch) settle(now time.Duration) {
	for _, id := range w.changed {
		if f := w.flows[id]; f != nil && f.real.done && f.other.done {
			w.compare(now, id, f)
		}
	}
	w.changed = w.changed[:0]
}

// force compares a flow that something happens to now, decided on both sides or not.
func (w *watch) force(now time.Duration, id uint64) {
	if f := w.flows[id]; f != nil && f.real.done {
		w.compare(now, id, f)
	}
}

// compare counts a difference once and has the other's books take what was really done.
func (w *watch) compare(now time.Duration, id uint64, f *watchedFlow) {
	w.node.book.watch.Load().compared.Add(1)
	real, other, first := f.real, f.other, f.sends <= 1
	f.real, f.other = verdict{}, verdict{}
	if !real.sent {
		first = f.sends == 0
	}
	if real == other {
		if !real.sent {
			w.drop(id)
		}
		return
	}
	switch {
	case !other.done:
		w.count(WatchHeld)
	case real.sent && other.sent:
		w.count(WatchAnother)
	case real.sent && first:
		w.count(WatchRefused)
	case real.sent:
		w.count(WatchEnded)
	case first:
		w.count(WatchSent)
	default:
		w.count(WatchAgain)
	}
	r := f.request
	r.TimeLeft -= now - f.came
	w.other.ReplayDecision(now, r, f.sends-1, real.to, real.sent)
	if !real.sent {
		w.drop(id)
	}
}

// drop forgets a flow that has ended.
func (w *watch) drop(id uint64) {
	if f := w.flows[id]; f != nil {
		w.compareMoves(f)
		delete(w.flows, id)
	}
}

func (w *watch) compareMoves(f *watchedFlow) {
	if f.compared || f.moved[0] == f.moved[1] {
		return
	}
	f.compared = true
	if f.moved[0] {
		w.count(WatchLeft)
	} else {
		w.count(WatchMoved)
	}
}

// sweep compares moves and which servers are avoided, and logs what has come up.
func (w *watch) sweep(now time.Duration) {
	w.safely(func() {
		for _, id := range w.moves {
			if f := w.flows[id]; f != nil {
				w.compareMoves(f)
			}
		}
		w.moves = w.moves[:0]
		if real, ok := w.Decider.(availabilityReporter); ok {
			for _, b := range w.node.named {
				is, would := real.Unavailable(now, b.ID), w.other.Unavailable(now, b.ID)
				if is == would {
					delete(w.differs, b.ID)
					continue
				}
				kind := WatchBack
				if would {
					kind = WatchAvoided
				}
				if was, ok := w.differs[b.ID]; !ok || was != kind {
					w.differs[b.ID] = kind
					w.count(kind)
				}
			}
		}
		if now-w.logged < watchLogEvery {
			return
		}
		w.logged = now
		f, total := w.node.book.watch.Load().read(), int64(0)
		fields := []zap.Field{}
		f.Each(func(name string, v int64) { fields = append(fields, zap.Int64(name, v)) })
		for _, n := range f.Counts {
			total += n
		}
		if total != w.total {
			w.total = total
			w.node.log.Info("watching: would have decided otherwise", fields...)
		}
	})
}

// timer is a timer that the other half has asked for.
func (w *watch) timer(now time.Duration, token uint64) {
	w.safely(func() {
		w.other.TimerFired(now, token)
		w.settle(now)
	})
}

// --- what both hear ----------------------------------------------------------------

func (w *watch) RequestArrived(now time.Duration, r balance.Request) {
	if !w.ended() {
		w.flows[r.ID] = &watchedFlow{request: r, came: now}
	}
	w.both(now, func(d Decider) { d.RequestArrived(now, r) })
}

func (w *watch) SessionAdopted(now time.Duration, r balance.Request, id balance.BackendID) {
	if !w.ended() {
		w.flows[r.ID] = &watchedFlow{request: r, came: now, sends: 1, began: true}
	}
	w.both(now, func(d Decider) { d.SessionAdopted(now, r, id) })
}

func (w *watch) AttemptSucceeded(now time.Duration, o balance.AttemptResult) {
	w.safely(func() {
		w.force(now, o.ID)
		if f := w.flows[o.ID]; f != nil {
			f.began = true
		}
	})
	w.both(now, func(d Decider) { d.AttemptSucceeded(now, o) })
}

func (w *watch) AttemptEnded(now time.Duration, o balance.AttemptResult) {
	over := false
	w.safely(func() {
		w.force(now, o.ID)
		f := w.flows[o.ID]
		over = f != nil && (f.began || o.Closed)
	})
	w.both(now, func(d Decider) { d.AttemptEnded(now, o) })
	if over {
		w.safely(func() { w.drop(o.ID) })
	}
}

func (w *watch) ClientClosed(now time.Duration, id uint64) {
	w.safely(func() {
		w.force(now, id)
		// A client that leaves while what decides holds it leaves nothing behind where it was sent in vain.
		if f := w.flows[id]; f != nil && f.other.sent {
			w.other.ReplayDecision(now, f.request, 0, 0, false)
		}
	})
	w.both(now, func(d Decider) { d.ClientClosed(now, id) })
	w.safely(func() { w.drop(id) })
}

func (w *watch) LoadReported(now time.Duration, id uint64, kind balance.LoadSignal, v float64) {
	w.both(now, func(d Decider) { d.LoadReported(now, id, kind, v) })
}

// Timer is what decides alone: the other half has timers of its own.
func (w *watch) TimerFired(now time.Duration, token uint64) {
	w.Decider.TimerFired(now, token)
	w.safely(func() { w.settle(now) })
}

func (w *watch) DrainBy(now, at time.Duration) { w.both(now, func(d Decider) { d.DrainBy(now, at) }) }

func (w *watch) HealthCheckDone(now time.Duration, r balance.HealthCheckResult) {
	w.Decider.HealthCheckDone(now, r)
	w.safely(func() {
		if w.node.cfg.Watch.Probes { // under settings without probes no answer would have come
			w.other.HealthCheckDone(now, r)
		}
		w.settle(now)
	})
}

func (w *watch) GossipReceived(now time.Duration, from int, data []byte) {
	w.Decider.GossipReceived(now, from, data)
	w.safely(func() {
		if w.node.cfg.Watch.Peers {
			w.other.GossipReceived(now, from, data)
		}
		w.settle(now)
	})
}

func (w *watch) EndpointsUpdated(now time.Duration, kind balance.EndpointUpdateKind, lines []balance.Backend) {
	w.both(now, func(d Decider) { d.EndpointsUpdated(now, kind, slices.Clone(lines)) })
}

// Here goes to what decides alone: the other shape's figures are its own.
func (w *watch) SetActiveRelays(relays int) {
	w.both(w.node.now, func(d Decider) { d.SetActiveRelays(relays) })
}

func (w *watch) UpdateSettings(s balance.Settings) {
	w.Decider.UpdateSettings(s)
	w.safely(func() { w.other.UpdateSettings(w.node.cfg.Watch.over(s)) })
}

// Memory, Recall and Beside are of what decides: watching begins anew with each process.
func (w *watch) Snapshot() (m balance.Snapshot) {
	if r, ok := w.Decider.(remembers); ok {
		m = r.Snapshot()
	}
	return m
}

func (w *watch) Restore(now time.Duration, m balance.Snapshot) {
	if r, ok := w.Decider.(remembers); ok {
		r.Restore(now, m)
	}
	w.safely(func() { w.other.Restore(now, m) })
}

func (w *watch) UpdateOtherProcess(now time.Duration, m balance.Snapshot) {
	if r, ok := w.Decider.(remembers); ok {
		r.UpdateOtherProcess(now, m)
	}
	w.safely(func() { w.other.UpdateOtherProcess(now, m) })
}

// --- what both do ------------------------------------------------------------------

// decided notes a verdict of one side.
func (w *watch) decided(id uint64, v verdict, really bool) {
	f := w.flows[id]
	if f == nil {
		return
	}
	if really {
		if f.real = v; v.sent {
			f.sends++
		}
	} else {
		f.other = v
	}
	w.changed = append(w.changed, id)
}

func (w *watch) asked(id uint64, really bool) {
	if f := w.flows[id]; f != nil {
		side := 1
		if really {
			side = 0
		}
		f.moved[side] = true
		w.moves = append(w.moves, id)
	}
}

// seen passes on what is really done, and notes it.
type seen struct {
	actions
	*watch
}

func (s seen) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	s.decided(id, verdict{done: true, sent: true, to: to}, true)
	s.actions.Send(id, to, timeout)
}

func (s seen) Reject(id uint64, after time.Duration) {
	s.decided(id, verdict{done: true}, true)
	s.actions.Reject(id, after)
}

func (s seen) Fail(id uint64) {
	s.decided(id, verdict{done: true}, true)
	s.actions.Fail(id)
}

func (s seen) Migrate(id uint64) {
	s.asked(id, true)
	s.actions.Migrate(id)
}

// shadow is where the actions of the other half end.
type shadow struct{ *watch }

func (s shadow) Send(id uint64, to balance.BackendID, _ time.Duration) {
	s.decided(id, verdict{done: true, sent: true, to: to}, false)
}
func (s shadow) Reject(id uint64, _ time.Duration)      { s.decided(id, verdict{done: true}, false) }
func (s shadow) Fail(id uint64)                         { s.decided(id, verdict{done: true}, false) }
func (s shadow) Migrate(id uint64)                      { s.asked(id, false) }
func (s shadow) SetTimer(token uint64, d time.Duration) { s.node.after(watchTimer, token, d) }
func (shadow) Cancel(uint64, int)                       {}
func (shadow) CheckHealth(balance.BackendID)            {}
func (shadow) ReleaseHealthCheck(balance.BackendID)     {}
func (shadow) SendGossip(int, []byte)                   {}
func (shadow) WatchEndpoints(bool)                      {}
func (shadow) FetchEndpoints()                          {}
func (shadow) Log(string)                               {}
