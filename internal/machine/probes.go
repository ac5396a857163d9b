// This file owns probes: which connection a question goes out on, how its answer
// is read, and which connections are kept. It must never probe unasked or hold
// more connections than its share of descriptors.

package machine

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// Probes are a relay's probes. Its methods, and those of its probes, are called
// one at a time.
type Probes struct {
	set  atomic.Pointer[settings.Settings]
	room int
	used int
	idle []*Kept // the oldest first
}

// Kept is a connection to a backend that waits for the next question.
type Kept struct {
	Conn  any // the driver's
	id    balance.BackendID
	addr  string
	since time.Duration
}

// Probe is one question on its way.
type Probe struct {
	To       *Backend
	Addr     string
	Asked    time.Duration
	Deadline time.Duration
	Report   balance.HealthCheckResult // once it is done
	of       *Probes
	conn     any
	reused   bool
}

// ProbeStep is what the driver does next, in this order.
type ProbeStep struct {
	Close []any // these connections
	Dial  bool  // to Addr, for no longer than the settings' time
	Ask   any   // write the question on this connection and read a line
	Keep  *Kept
	Done  bool
}

// NewProbes is for so many connections at once.
func NewProbes(set *settings.Settings, room int) *Probes {
	p := &Probes{room: room}
	p.set.Store(set)
	return p
}

// Under has probes come under other settings.
func (p *Probes) Under(set *settings.Settings) { p.set.Store(set) }

// Question is the line that asks; where reports are given, it asks for one.
func (p *Probes) Question() string {
	if len(p.set.Load().ReportFieldNames) > 0 {
		return "STATS\r\n"
	}
	return "PING\r\n"
}

// KeepFor is how long a connection is kept; 0: not at all.
func (p *Probes) KeepFor() time.Duration { return p.set.Load().IdleTimeout * 3 / 4 }

// Connections is how many there are, kept ones included.
func (p *Probes) Connections() int { return p.used }

// Begin starts a probe. It never waits for a connection: the module would take a
// probe that waits here for a backend that is silent.
func (p *Probes) Begin(now time.Duration, b *Backend) (*Probe, ProbeStep) {
	pr := &Probe{To: b, Addr: b.Addr(), Asked: now, Deadline: now + 2*p.set.Load().DialTimeout, of: p,
		Report: balance.HealthCheckResult{Backend: b.ID}}
	if i := slices.IndexFunc(p.idle, func(k *Kept) bool { return k.id == b.ID }); i >= 0 {
		k := p.take(i)
		if k.addr == pr.Addr && now-k.since < p.KeepFor() { // by the settings in force: a reload may have made it shorter
			pr.conn, pr.reused = k.Conn, true
			return pr, ProbeStep{Ask: k.Conn}
		}
		p.used--
		step := pr.dial(now)
		step.Close = append(step.Close, k.Conn)
		return pr, step
	}
	return pr, pr.dial(now)
}

// take removes a kept connection from those that are idle.
func (p *Probes) take(i int) *Kept {
	k := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return k
}

// dial asks for a connection, at the cost of a kept one if need be.
func (pr *Probe) dial(now time.Duration) (step ProbeStep) {
	p := pr.of
	pr.reused, pr.conn = false, nil
	if p.used >= p.room && len(p.idle) > 0 {
		step.Close = append(step.Close, p.take(0).Conn)
		p.used--
	}
	if p.used >= p.room { // not asked: says nothing of the backend
		step.Done = true
		pr.Report.Status, pr.Report.Latency = balance.StatusAbandoned, now-pr.Asked
		return step
	}
	p.used++
	step.Dial = true
	return step
}

// NoConn hears that no connection came up.
func (pr *Probe) NoConn(now time.Duration) ProbeStep {
	pr.of.used--
	return pr.done(now, balance.StatusConnectFailed)
}

// Dialled hears that a connection is up. The answer's time counts, not the dial's:
// it tells how fast the backend works.
func (pr *Probe) Dialled(now time.Duration, conn any) ProbeStep {
	pr.conn, pr.Asked = conn, now
	return ProbeStep{Ask: conn}
}

func (pr *Probe) done(now time.Duration, s balance.Status) ProbeStep {
	pr.Report.Status, pr.Report.Latency = s, now-pr.Asked
	return ProbeStep{Done: true}
}

// Answered takes in the answer, without its line end.
func (pr *Probe) Answered(now time.Duration, line string) ProbeStep {
	p := pr.of
	word, report, _ := strings.Cut(line, " ")
	status := balance.StatusOK
	if word != "PONG" {
		status = balance.StatusError
	}
	step := pr.done(now, status)
	pr.Report.Load = parseReport([]byte(report), p.set.Load().ReportFieldNames)
	if p.KeepFor() <= 0 || slices.ContainsFunc(p.idle, func(k *Kept) bool { return k.id == pr.To.ID }) {
		p.used--
		step.Close = append(step.Close, pr.conn)
		return step
	}
	step.Keep = &Kept{Conn: pr.conn, id: pr.To.ID, addr: pr.Addr, since: now}
	p.idle = append(p.idle, step.Keep)
	return step
}

// Broke hears that the connection ended or, with timeout set, stayed silent. A kept
// connection that its backend has closed since is no answer: the probe goes out anew.
func (pr *Probe) Broke(now time.Duration, timeout bool) ProbeStep {
	pr.of.used--
	conn := pr.conn
	step := ProbeStep{}
	switch {
	case timeout:
		step = pr.done(now, balance.StatusTimeout)
	case !pr.reused:
		step = pr.done(now, balance.StatusReset)
	default:
		step = pr.dial(now)
	}
	step.Close = append(step.Close, conn)
	return step
}

// Expired hears that a connection was kept long enough; false: it is in use again
// or closed.
func (p *Probes) Expired(k *Kept) bool {
	i := slices.Index(p.idle, k)
	if i < 0 {
		return false
	}
	p.take(i)
	p.used--
	return true
}

// Drop gives up the kept connection to a backend; nil: there is none.
func (p *Probes) Drop(id balance.BackendID) any {
	i := slices.IndexFunc(p.idle, func(k *Kept) bool { return k.id == id })
	if i < 0 {
		return nil
	}
	p.used--
	return p.take(i).Conn
}

// DropAll gives up all kept connections.
func (p *Probes) DropAll() (conns []any) {
	for len(p.idle) > 0 {
		p.used--
		conns = append(conns, p.take(0).Conn)
	}
	return conns
}

// Resize changes the share of descriptors; what is over it now is used up first.
func (p *Probes) Resize(room int) { p.room = room }
