package healthcheck

import (
	"strings"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/upstream"
)

// Check is one health check under way.
type Check struct {
	Backend   *upstream.Backend
	Address   string
	StartedAt time.Duration // on the relay's clock, as all times here; when the connection was up, if it was dialled
	Deadline  time.Duration
	Result    balance.HealthCheckResult // once a Step is Done
	checker   *Checker
	conn      any
	reused    bool // conn was an idle one
}

// Step is what the caller does next, in the order of the fields.
type Step struct {
	Close []any           // these connections
	Dial  bool            // the check's address, for no longer than the settings' dial time-out
	Send  any             // the request line on this connection, and read one line
	Keep  *IdleConnection // until it is in use again, or for the checker's idle time-out
	Done  bool            // the check has its result
}

// dial asks for a new connection, in place of the oldest idle one if need be.
func (c *Check) dial(now time.Duration) (step Step) {
	checker := c.checker
	c.reused, c.conn = false, nil
	if checker.open >= checker.capacity && len(checker.idle) > 0 {
		step.Close = append(step.Close, checker.takeIdle(0).Conn)
		checker.open--
	}
	if checker.open >= checker.capacity { // the backend isn't asked: the result says nothing of it
		step.Done = true
		c.finish(now, balance.StatusAbandoned)
		return step
	}
	checker.open++
	step.Dial = true
	return step
}

// DialFailed takes in that no connection came up.
func (c *Check) DialFailed(now time.Duration) Step {
	c.checker.open--
	return c.finish(now, balance.StatusConnectFailed)
}

// Connected takes in that a connection is up. The latency counts from here: the time to the answer tells how fast the
// backend works, that of the dial doesn't.
func (c *Check) Connected(now time.Duration, conn any) Step {
	c.conn, c.StartedAt = conn, now
	return Step{Send: conn}
}

// ReadAnswer takes in the answer, without its line end.
func (c *Check) ReadAnswer(now time.Duration, line string) Step {
	checker := c.checker
	word, report, _ := strings.Cut(line, " ")
	status := balance.StatusOK
	if word != protocol.WordPong {
		status = balance.StatusError
	}
	step := c.finish(now, status)
	c.Result.Load = protocol.ParseReport([]byte(report), checker.settings.Load().ReportFieldNames)
	if checker.IdleTimeout() <= 0 || checker.idleIndex(c.Backend.ID) >= 0 {
		checker.open--
		step.Close = append(step.Close, c.conn)
		return step
	}
	step.Keep = &IdleConnection{Conn: c.conn, backend: c.Backend.ID, address: c.Address, since: now}
	checker.idle = append(checker.idle, step.Keep)
	return step
}

// ConnectionEnded takes in that the connection has ended or, with timeout set, that no answer came in time. An idle connection
// that its backend has closed in the meantime is no answer: the check goes out on a new one.
func (c *Check) ConnectionEnded(now time.Duration, timeout bool) (step Step) {
	c.checker.open--
	conn := c.conn
	switch {
	case timeout:
		step = c.finish(now, balance.StatusTimeout)
	case !c.reused:
		step = c.finish(now, balance.StatusReset)
	default:
		step = c.dial(now)
	}
	step.Close = append(step.Close, conn)
	return step
}

func (c *Check) finish(now time.Duration, status balance.Status) Step {
	c.Result.Status, c.Result.Latency = status, now-c.StartedAt
	return Step{Done: true}
}
