package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/session"
)

// balancerActions turns the balancer's actions into commands for the driver. Actions on sessions that have closed in
// the meantime are dropped.
type balancerActions struct{ controller *Controller }

var _ balance.Actions = balancerActions{}

// Send starts an attempt. An attempt at a backend that no endpoint list has contained fails after the current event.
func (a balancerActions) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	c := a.controller
	record, backend := c.sessions.bySequence[id], c.endpoints.byID[to]
	if record == nil {
		return
	}
	record.attempts++
	if backend == nil {
		failed := balance.AttemptResult{ID: id, Attempt: record.attempts - 1, Backend: to, Status: balance.StatusConnectFailed}
		c.deferred = append(c.deferred, func() {
			c.handleSessionEvent(record, session.Event{Kind: session.AttemptEnded, Result: failed})
		})
		return
	}
	record.backend = backend.Name
	c.log.Debug("attempt started", zap.Uint64("flow", id), zap.String("backend", backend.Name), zap.Duration("timeout", timeout))
	command := session.Command{Backend: backend, Deadline: c.now + timeout}
	if record.retryPolicy != nil {
		command.DialTimeout = record.retryPolicy.ConnectTimeout
	}
	c.driver.SendCommand(id, command)
}

func (a balancerActions) Reject(id uint64, retryAfter time.Duration) {
	a.answer(id, protocol.BusyAnswer(retryAfter))
}

func (a balancerActions) Fail(id uint64) { a.answer(id, protocol.AnswerFailed) }

func (a balancerActions) answer(id uint64, line string) {
	if record := a.controller.sessions.bySequence[id]; record != nil {
		a.controller.sessions.markAnswered(record)
		a.controller.driver.SendCommand(id, session.Command{Answer: line})
	}
}

// Cancel cancels an attempt if it is the session's last one; earlier ones have ended.
func (a balancerActions) Cancel(id uint64, attempt int) {
	if record := a.controller.sessions.bySequence[id]; record != nil && attempt == record.attempts-1 {
		a.controller.driver.SendCommand(id, session.Command{Cancel: true})
	}
}

func (a balancerActions) CheckHealth(id balance.BackendID) {
	if backend := a.controller.endpoints.byID[id]; backend != nil {
		a.controller.driver.StartHealthCheck(backend)
	}
}

func (a balancerActions) ReleaseHealthCheck(id balance.BackendID) {
	a.controller.driver.ReleaseHealthCheck(id)
}

func (a balancerActions) Migrate(id uint64) {
	if record := a.controller.sessions.bySequence[id]; record != nil {
		a.controller.log.Debug("session migration requested", zap.Uint64("flow", id), zap.String("backend", record.backend))
		a.controller.driver.MigrateSession(id)
	}
}

// SendGossip sends to one peer, or to all for a negative index. The data is copied: a Decider may reuse its buffer.
func (a balancerActions) SendGossip(peer int, data []byte) {
	cfg := &a.controller.config
	if !a.controller.settings.Gossip || len(data) > MaxDatagramBytes || peer >= len(cfg.Peers) {
		return
	}
	address := cfg.BroadcastPeer
	if peer >= 0 {
		address = cfg.Peers[peer]
	}
	a.controller.driver.SendDatagram(address, append([]byte(nil), data...))
}

func (a balancerActions) SetTimer(token uint64, after time.Duration) {
	a.controller.setTimer(balancerTimer, token, after)
}

func (a balancerActions) WatchEndpoints() { a.controller.driver.RequestEndpoints(true) }
func (a balancerActions) FetchEndpoints() { a.controller.driver.RequestEndpoints(false) }

func (a balancerActions) Log(text string) {
	a.controller.log.Info("balancer message", zap.String("text", text))
}
