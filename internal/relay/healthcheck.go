// This file drives probes on sockets: connections to backends on which PING or
// STATS goes out and the answer is read, as the machine says. It must never hold
// up the loop.

package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/textproto"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/healthcheck"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

type healthChecker struct {
	relay   *Relay
	mu      sync.Mutex
	checker *healthcheck.Checker
}

type healthCheckConn struct {
	net.Conn
	reader *textproto.Reader
	used   bool // a question has been asked on it
}

// quiet says whether nothing has come on an idle connection, its end included. It does not wait.
func (c *healthCheckConn) isIdle() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || c.reader.R.Buffered() > 0 {
		return false
	}
	var b [1]byte
	got := error(nil)
	err = raw.Read(func(fd uintptr) bool {
		_, got = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && errors.Is(got, syscall.EAGAIN)
}

func newHealthChecker(r *Relay, atOnce int) *healthChecker {
	return &healthChecker{relay: r, checker: healthcheck.New(r.settings.Load(), atOnce)}
}

// start probes a backend in the background; the module hears one answer.
func (p *healthChecker) start(b *upstream.Backend) {
	go func() {
		rep := p.checkRecovering(b)
		p.relay.log.Debug("probed", zap.String("backend", b.Name), zap.Uint8("status", uint8(rep.Status)),
			zap.Duration("latency", rep.Latency), zap.Float32s("load", rep.Load))
		p.relay.post(func(now time.Duration) { p.relay.controller.HealthCheckDone(now, rep) })
	}()
}

// guarded stops a panic at this one probe, which then counts as failed.
func (p *healthChecker) checkRecovering(b *upstream.Backend) (rep balance.HealthCheckResult) {
	defer func() {
		if v := recover(); v != nil {
			p.relay.log.Error("panic in a probe", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
			rep = balance.HealthCheckResult{Backend: b.ID, Status: balance.StatusError}
		}
	}()
	return p.check(b)
}

// locked takes one step of the machine.
func (p *healthChecker) step(take func(now time.Duration) healthcheck.Step) healthcheck.Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	return take(p.relay.now())
}

func (p *healthChecker) check(b *upstream.Backend) balance.HealthCheckResult {
	var pr *healthcheck.Check
	step := p.step(func(now time.Duration) (s healthcheck.Step) {
		pr, s = p.checker.Start(now, b)
		return s
	})
	for {
		for _, c := range step.Close {
			_ = c.(*healthCheckConn).Close()
		}
		if k := step.Keep; k != nil {
			time.AfterFunc(p.checker.IdleTimeout(), func() { p.expireIdle(k) })
		}
		switch {
		case step.Done:
			return pr.Result
		case step.Dial:
			d := net.Dialer{Timeout: p.relay.settings.Load().DialTimeout, KeepAlive: -1}
			conn, err := d.Dial("tcp", pr.Address)
			step = p.step(func(now time.Duration) healthcheck.Step {
				if err != nil {
					return pr.DialFailed(now)
				}
				return pr.Connected(now, &healthCheckConn{Conn: conn, reader: textproto.NewReader(bufio.NewReader(conn))})
			})
		default:
			answer, err := p.exchange(step.Send.(*healthCheckConn), p.relay.deadlineTime(pr.Deadline))
			step = p.step(func(now time.Duration) healthcheck.Step {
				if err != nil {
					return pr.ConnectionEnded(now, isTimeout(err))
				}
				return pr.ReadAnswer(now, answer)
			})
		}
	}
}

var errStaleConnection = errors.New("a kept connection that has ended, or holds what nobody asked for")

// exchange asks once. A kept connection is looked at first: on one that its backend has closed the question would be
// asked for nothing, and what came on one unasked would be taken for this question's answer, and this one's for the next.
func (p *healthChecker) exchange(c *healthCheckConn, deadline time.Time) (string, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return "", err
	}
	if c.used && !c.isIdle() {
		return "", errStaleConnection
	}
	c.used = true
	if _, err := io.WriteString(c, p.checker.RequestLine()); err != nil {
		return "", err
	}
	return c.reader.ReadLine()
}

func (p *healthChecker) expireIdle(k *healthcheck.IdleConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checker.ExpireIdle(k) {
		_ = k.Conn.(*healthCheckConn).Close()
	}
}

// release closes the kept connection to a backend.
func (p *healthChecker) release(id balance.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.checker.DropIdle(id); c != nil {
		_ = c.(*healthCheckConn).Close()
	}
}

func (p *healthChecker) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.checker.DropAllIdle() {
		_ = c.(*healthCheckConn).Close()
	}
}

func (p *healthChecker) setSettings(s *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checker.SetSettings(s)
}

func (p *healthChecker) resize(room int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checker.Resize(room)
}
