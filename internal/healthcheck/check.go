package healthcheck

import (
	"strings"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/upstream"
)

// Check is one health check in progress.
type Check struct {
	Backend   *upstream.Backend
	Address   string
	StartedAt time.Duration // on the relay's clock, like all times here; reset when a new connection is established
	Deadline  time.Duration
	Result    balance.HealthCheckResult // valid once a Step is Done
	checker   *Checker
	conn      any
	reused    bool // conn was an idle connection
}

// Step tells the caller what to do next, in the order of the fields.
type Step struct {
	Close []any           // close these connections
	Dial  bool            // connect to the check's address, within the settings' dial time-out
	Send  any             // send the request line on this connection, and read one line
	Keep  *IdleConnection // keep this connection until it is in use again or the checker's idle time-out has passed
	Done  bool            // the check has its result
}

// dial requests a new connection. At the capacity it first closes the oldest idle connection.
func (c *Check) dial(now time.Duration) (step Step) {
	checker := c.checker
	c.reused, c.conn = false, nil
	if checker.open >= checker.capacity && len(checker.idle) > 0 {
		step.Close = append(step.Close, checker.takeIdle(0).Conn)
		checker.open--
	}
	if checker.open >= checker.capacity { // no request is sent, so the result does not concern the backend
		step.Done = true
		c.finish(now, balance.StatusAbandoned)
		return step
	}
	checker.open++
	step.Dial = true
	return step
}

// DialFailed ends the check because no connection could be established.
func (c *Check) DialFailed(now time.Duration) Step {
	c.checker.open--
	return c.finish(now, balance.StatusConnectFailed)
}

// Connected continues the check on a new connection. The latency is measured from here: the time to the answer shows how
// fast the backend works, the time of the dial does not.
func (c *Check) Connected(now time.Duration, conn any) Step {
	c.conn, c.StartedAt = conn, now
	return Step{Send: conn}
}

// ReadAnswer ends the check with the answer, given without its line end.
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

// AnswerTooLong ends the check with an answer beyond the longest line of the protocol. The connection cannot be used again:
// the rest of the answer may follow on it.
func (c *Check) AnswerTooLong(now time.Duration) Step {
	c.checker.open--
	step := c.finish(now, balance.StatusError)
	step.Close = append(step.Close, c.conn)
	return step
}

// ConnectionEnded handles the end of the connection or, with timeout set, a missing answer at the deadline. If the backend has
// closed a reused connection, that is no result: the check continues on a new connection.
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
