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

type probes struct {
	relay *Relay
	mu    sync.Mutex
	m     *healthcheck.Checker
}

type probeConn struct {
	net.Conn
	text *textproto.Reader
	used bool // a question has been asked on it
}

// quiet says whether nothing has come on an idle connection, its end included. It does not wait.
func (c *probeConn) quiet() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil || c.text.R.Buffered() > 0 {
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

func newProbes(r *Relay, atOnce int) *probes {
	return &probes{relay: r, m: healthcheck.New(r.settings.Load(), atOnce)}
}

// start probes a backend in the background; the module hears one answer.
func (p *probes) start(b *upstream.Backend) {
	go func() {
		rep := p.guarded(b)
		p.relay.log.Debug("probed", zap.String("backend", b.Name), zap.Uint8("status", uint8(rep.Status)),
			zap.Duration("latency", rep.Latency), zap.Float32s("load", rep.Load))
		p.relay.post(func(now time.Duration) { p.relay.node.HealthCheckDone(now, rep) })
	}()
}

// guarded stops a panic at this one probe, which then counts as failed.
func (p *probes) guarded(b *upstream.Backend) (rep balance.HealthCheckResult) {
	defer func() {
		if v := recover(); v != nil {
			p.relay.log.Error("panic in a probe", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
			rep = balance.HealthCheckResult{Backend: b.ID, Status: balance.StatusError}
		}
	}()
	return p.probe(b)
}

// locked takes one step of the machine.
func (p *probes) locked(take func(now time.Duration) healthcheck.Step) healthcheck.Step {
	p.mu.Lock()
	defer p.mu.Unlock()
	return take(p.relay.now())
}

func (p *probes) probe(b *upstream.Backend) balance.HealthCheckResult {
	var pr *healthcheck.Check
	step := p.locked(func(now time.Duration) (s healthcheck.Step) {
		pr, s = p.m.Start(now, b)
		return s
	})
	for {
		for _, c := range step.Close {
			_ = c.(*probeConn).Close()
		}
		if k := step.Keep; k != nil {
			time.AfterFunc(p.m.IdleTimeout(), func() { p.expire(k) })
		}
		switch {
		case step.Done:
			return pr.Result
		case step.Dial:
			d := net.Dialer{Timeout: p.relay.settings.Load().DialTimeout, KeepAlive: -1}
			conn, err := d.Dial("tcp", pr.Address)
			step = p.locked(func(now time.Duration) healthcheck.Step {
				if err != nil {
					return pr.DialFailed(now)
				}
				return pr.Connected(now, &probeConn{Conn: conn, text: textproto.NewReader(bufio.NewReader(conn))})
			})
		default:
			answer, err := p.exchange(step.Send.(*probeConn), p.relay.at(pr.Deadline))
			step = p.locked(func(now time.Duration) healthcheck.Step {
				if err != nil {
					return pr.ConnectionEnded(now, timedOut(err))
				}
				return pr.ReadAnswer(now, answer)
			})
		}
	}
}

var errSpent = errors.New("a kept connection that has ended, or holds what nobody asked for")

// exchange asks once. A kept connection is looked at first: on one that its backend has closed the question would be
// asked for nothing, and what came on one unasked would be taken for this question's answer, and this one's for the next.
func (p *probes) exchange(c *probeConn, deadline time.Time) (string, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return "", err
	}
	if c.used && !c.quiet() {
		return "", errSpent
	}
	c.used = true
	if _, err := io.WriteString(c, p.m.RequestLine()); err != nil {
		return "", err
	}
	return c.text.ReadLine()
}

func (p *probes) expire(k *healthcheck.IdleConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m.ExpireIdle(k) {
		_ = k.Conn.(*probeConn).Close()
	}
}

// release closes the kept connection to a backend.
func (p *probes) release(id balance.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.m.DropIdle(id); c != nil {
		_ = c.(*probeConn).Close()
	}
}

func (p *probes) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.m.DropAllIdle() {
		_ = c.(*probeConn).Close()
	}
}

func (p *probes) under(s *settings.Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m.SetSettings(s)
}

func (p *probes) resize(room int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.m.Resize(room)
}
