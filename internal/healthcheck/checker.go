// Package healthcheck decides which connection a health check goes out on, what its answer means, and which connections
// are kept for the next check. It does no I/O.
package healthcheck

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// Checker are a relay's probes. Its methods, and those of its probes, are called
// one at a time.
type Checker struct {
	settings atomic.Pointer[settings.Settings]
	capacity int
	open     int
	idle     []*IdleConnection // the oldest first
}

// IdleConnection is a connection to a backend that waits for the next question.
type IdleConnection struct {
	Conn    any // the driver's
	backend balance.BackendID
	address string
	since   time.Duration
}

// Check is one question on its way.
type Check struct {
	Backend   *upstream.Backend
	Address   string
	StartedAt time.Duration
	Deadline  time.Duration
	Result    balance.HealthCheckResult // once it is done
	checker   *Checker
	conn      any
	reused    bool
}

// Step is what the driver does next, in this order.
type Step struct {
	Close []any // these connections
	Dial  bool  // to Addr, for no longer than the settings' time
	Send  any   // write the question on this connection and read a line
	Keep  *IdleConnection
	Done  bool
}

// New is for so many connections at once.
func New(set *settings.Settings, room int) *Checker {
	p := &Checker{capacity: room}
	p.settings.Store(set)
	return p
}

// UpdateSettings has probes come under other settings.
func (p *Checker) SetSettings(set *settings.Settings) { p.settings.Store(set) }

// RequestLine is the line that asks; where reports are given, it asks for one.
func (p *Checker) RequestLine() string {
	if len(p.settings.Load().ReportFieldNames) > 0 {
		return "STATS\r\n"
	}
	return "PING\r\n"
}

// IdleTimeout is how long a connection is kept; 0: not at all.
func (p *Checker) IdleTimeout() time.Duration { return p.settings.Load().IdleTimeout * 3 / 4 }

// Connections is how many there are, kept ones included.
func (p *Checker) Connections() int { return p.open }

// Start starts a probe. It never waits for a connection: the module would take a
// probe that waits here for a backend that is silent.
func (p *Checker) Start(now time.Duration, b *upstream.Backend) (*Check, Step) {
	pr := &Check{Backend: b, Address: b.Address(), StartedAt: now, Deadline: now + 2*p.settings.Load().DialTimeout, checker: p,
		Result: balance.HealthCheckResult{Backend: b.ID}}
	if i := slices.IndexFunc(p.idle, func(k *IdleConnection) bool { return k.backend == b.ID }); i >= 0 {
		k := p.takeIdle(i)
		if k.address == pr.Address && now-k.since < p.IdleTimeout() { // by the settings in force: a reload may have made it shorter
			pr.conn, pr.reused = k.Conn, true
			return pr, Step{Send: k.Conn}
		}
		p.open--
		step := pr.dial(now)
		step.Close = append(step.Close, k.Conn)
		return pr, step
	}
	return pr, pr.dial(now)
}

// takeIdle removes a kept connection from those that are idle.
func (p *Checker) takeIdle(i int) *IdleConnection {
	k := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	return k
}

// dial asks for a connection, at the cost of a kept one if need be.
func (pr *Check) dial(now time.Duration) (step Step) {
	p := pr.checker
	pr.reused, pr.conn = false, nil
	if p.open >= p.capacity && len(p.idle) > 0 {
		step.Close = append(step.Close, p.takeIdle(0).Conn)
		p.open--
	}
	if p.open >= p.capacity { // not asked: says nothing of the backend
		step.Done = true
		pr.Result.Status, pr.Result.Latency = balance.StatusAbandoned, now-pr.StartedAt
		return step
	}
	p.open++
	step.Dial = true
	return step
}

// DialFailed hears that no connection came up.
func (pr *Check) DialFailed(now time.Duration) Step {
	pr.checker.open--
	return pr.done(now, balance.StatusConnectFailed)
}

// Connected hears that a connection is up. The answer's time counts, not the dial's:
// it tells how fast the backend works.
func (pr *Check) Connected(now time.Duration, conn any) Step {
	pr.conn, pr.StartedAt = conn, now
	return Step{Send: conn}
}

func (pr *Check) done(now time.Duration, s balance.Status) Step {
	pr.Result.Status, pr.Result.Latency = s, now-pr.StartedAt
	return Step{Done: true}
}

// ReadAnswer takes in the answer, without its line end.
func (pr *Check) ReadAnswer(now time.Duration, line string) Step {
	p := pr.checker
	word, report, _ := strings.Cut(line, " ")
	status := balance.StatusOK
	if word != "PONG" {
		status = balance.StatusError
	}
	step := pr.done(now, status)
	pr.Result.Load = protocol.ParseReport([]byte(report), p.settings.Load().ReportFieldNames)
	if p.IdleTimeout() <= 0 || slices.ContainsFunc(p.idle, func(k *IdleConnection) bool { return k.backend == pr.Backend.ID }) {
		p.open--
		step.Close = append(step.Close, pr.conn)
		return step
	}
	step.Keep = &IdleConnection{Conn: pr.conn, backend: pr.Backend.ID, address: pr.Address, since: now}
	p.idle = append(p.idle, step.Keep)
	return step
}

// ConnectionEnded hears that the connection ended or, with timeout set, stayed silent. A kept
// connection that its backend has closed since is no answer: the probe goes out anew.
func (pr *Check) ConnectionEnded(now time.Duration, timeout bool) Step {
	pr.checker.open--
	conn := pr.conn
	step := Step{}
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

// ExpireIdle hears that a connection was kept long enough; false: it is in use again
// or closed.
func (p *Checker) ExpireIdle(k *IdleConnection) bool {
	i := slices.Index(p.idle, k)
	if i < 0 {
		return false
	}
	p.takeIdle(i)
	p.open--
	return true
}

// DropIdle gives up the kept connection to a backend; nil: there is none.
func (p *Checker) DropIdle(id balance.BackendID) any {
	i := slices.IndexFunc(p.idle, func(k *IdleConnection) bool { return k.backend == id })
	if i < 0 {
		return nil
	}
	p.open--
	return p.takeIdle(i).Conn
}

// DropAllIdle gives up all kept connections.
func (p *Checker) DropAllIdle() (conns []any) {
	for len(p.idle) > 0 {
		p.open--
		conns = append(conns, p.takeIdle(0).Conn)
	}
	return conns
}

// Resize changes the share of descriptors; what is over it now is used up first.
func (p *Checker) Resize(room int) { p.capacity = room }
