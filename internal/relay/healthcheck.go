package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/healthcheck"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// errStaleConnection means that the backend has closed an idle connection or sent bytes without a request.
var errStaleConnection = errors.New("idle connection closed by the backend, or holding unrequested bytes")

// healthCheckLineEnd holds the characters that end a line of an answer.
const healthCheckLineEnd = "\r\n"

// healthChecker sends PING or STATS to backends and reads their answers.
type healthChecker struct {
	relay   *Relay
	mu      sync.Mutex
	checker *healthcheck.Checker
}

// healthCheckConn is a connection to a backend, which may be kept for the next check.
type healthCheckConn struct {
	net.Conn
	reader *bufio.Reader // its buffer holds the longest line
	used   bool          // a request has been sent on it
}

// isIdle reports whether a kept connection is open and has nothing to read. It does not block.
func (c *healthCheckConn) isIdle() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || c.reader.Buffered() > 0 {
		return false
	}
	var b [1]byte
	var readError error
	err = raw.Read(func(fd uintptr) bool {
		_, readError = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && errors.Is(readError, syscall.EAGAIN)
}

func newHealthChecker(r *Relay, concurrency int) *healthChecker {
	return &healthChecker{relay: r, checker: healthcheck.New(r.settings.Load(), concurrency)}
}

// start checks a backend in the background and posts one result.
func (h *healthChecker) start(b *upstream.Backend) {
	go func() {
		result := h.checkWithRecover(b)
		h.relay.log.Debug("health check finished", zap.String("backend", b.Name), zap.Uint8("status", uint8(result.Status)),
			zap.Duration("latency", result.Latency), zap.Float32s("load", result.Load))
		h.relay.post(func(now time.Duration) { h.relay.controller.HealthCheckDone(now, result) })
	}()
}

// checkWithRecover runs a check and recovers a panic in it; the check then counts as failed.
func (h *healthChecker) checkWithRecover(b *upstream.Backend) (result balance.HealthCheckResult) {
	defer func() {
		if p := recover(); p != nil {
			h.relay.log.Error("panic in health check", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			result = balance.HealthCheckResult{Backend: b.ID, Status: balance.StatusError}
		}
	}()
	return h.check(b)
}

// step runs one transition of the state machine under the lock.
func (h *healthChecker) step(transition func(now time.Duration) healthcheck.Step) healthcheck.Step {
	h.mu.Lock()
	defer h.mu.Unlock()
	return transition(h.relay.now())
}

// check runs one health check to its result.
func (h *healthChecker) check(b *upstream.Backend) balance.HealthCheckResult {
	var check *healthcheck.Check
	step := h.step(func(now time.Duration) (first healthcheck.Step) {
		check, first = h.checker.Start(now, b)
		return first
	})
	for {
		for _, conn := range step.Close {
			_ = conn.(*healthCheckConn).Close()
		}
		if idle := step.Keep; idle != nil {
			time.AfterFunc(h.checker.IdleTimeout(), func() { h.expireIdle(idle) })
		}
		switch {
		case step.Done:
			return check.Result
		case step.Dial:
			step = h.dial(check)
		default:
			step = h.request(check, step.Send.(*healthCheckConn))
		}
	}
}

// dial connects to the backend of a check.
func (h *healthChecker) dial(check *healthcheck.Check) healthcheck.Step {
	dialer := net.Dialer{Timeout: h.relay.settings.Load().DialTimeout, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", check.Address)
	return h.step(func(now time.Duration) healthcheck.Step {
		if err != nil {
			return check.DialFailed(now)
		}
		return check.Connected(now, &healthCheckConn{Conn: conn, reader: bufio.NewReaderSize(conn, protocol.MaxLineLength)})
	})
}

// request sends the request of a check and reads the answer.
func (h *healthChecker) request(check *healthcheck.Check, conn *healthCheckConn) healthcheck.Step {
	answer, err := h.exchange(conn, h.relay.deadlineTime(check.Deadline))
	return h.step(func(now time.Duration) healthcheck.Step {
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return check.AnswerTooLong(now)
		case err != nil:
			return check.ConnectionEnded(now, isTimeout(err))
		}
		return check.ReadAnswer(now, answer)
	})
}

// exchange sends one request and reads one line, without its end. A line beyond protocol.MaxLineLength gives
// bufio.ErrBufferFull; one that the end of the connection cuts short is no answer. A kept connection is checked first: if the
// backend has closed it, the request would be lost; if it holds unrequested bytes, they would be read as the answer to this
// request, and the answer to this request as the answer to the next one.
func (h *healthChecker) exchange(conn *healthCheckConn, deadline time.Time) (string, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return "", err
	}
	if conn.used && !conn.isIdle() {
		return "", errStaleConnection
	}
	conn.used = true
	if _, err := io.WriteString(conn, h.checker.RequestLine()); err != nil {
		return "", err
	}
	line, err := conn.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return string(bytes.TrimRight(line, healthCheckLineEnd)), nil
}

// expireIdle closes a kept connection that has not been used for the idle time-out.
func (h *healthChecker) expireIdle(idle *healthcheck.IdleConnection) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.checker.ExpireIdle(idle) {
		_ = idle.Conn.(*healthCheckConn).Close()
	}
}

// release closes the kept connection to a backend.
func (h *healthChecker) release(id balance.BackendID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if conn := h.checker.DropIdle(id); conn != nil {
		_ = conn.(*healthCheckConn).Close()
	}
}

// closeAll closes all kept connections.
func (h *healthChecker) closeAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, conn := range h.checker.DropAllIdle() {
		_ = conn.(*healthCheckConn).Close()
	}
}

// setSettings applies the settings in force.
func (h *healthChecker) setSettings(s *settings.Settings) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checker.SetSettings(s)
}

// resize changes how many checks may run at once.
func (h *healthChecker) resize(concurrency int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checker.Resize(concurrency)
}
