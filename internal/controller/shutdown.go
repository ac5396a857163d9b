package controller

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// SIGKILL follows SIGTERM after the longest client timeout, at most maxClientTimeout, plus 0.7 s. All answers are given
// and written before that.
const (
	// shutdownNotice is how long load balancers in front continue to send clients after SIGTERM.
	shutdownNotice = 600 * time.Millisecond
	// maxClientTimeout bounds the client timeout that a shutdown waits for.
	maxClientTimeout = 3 * time.Second
	// answerMargin is the time beyond the client timeout within which a request that arrives after SIGTERM is answered.
	answerMargin = 450 * time.Millisecond
	// finalWriteTime is the time within which an answer or a MOVE is written to its socket.
	finalWriteTime = 50 * time.Millisecond
	// shutdownMigrationTime is the time within which sessions are migrated after shutdownNotice, unless the shutdown is shorter.
	shutdownMigrationTime = 1500 * time.Millisecond
	// passThroughShutdownTime bounds the shutdown in pass-through mode: sessions are kept until the relay is stopped, so
	// that other relays take them over without a break.
	passThroughShutdownTime = 30 * time.Second
	// shutdownPollInterval is how often the relay checks whether work is left.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	started        atomic.Bool
	finished       bool          // new sessions are refused
	deadline       time.Duration // when the relay ends, even if work is left
	answerDeadline time.Duration // when all requests have been answered; 0: no shutdown
}

// ShuttingDown reports whether a graceful shutdown has begun. It may be called from any goroutine.
func (c *Controller) ShuttingDown() bool { return c.shutdown.started.Load() }

// Shutdown begins a graceful shutdown: new clients are served, every request is answered, and sessions are migrated.
// In pass-through mode, other relays take sessions over without a break once this relay is stopped from outside. If it
// ended by itself it would interrupt its sessions, and if another relay were down as well no relay could take them over.
func (c *Controller) Shutdown(now time.Duration) {
	answerTime := min(c.longestClientTimeout(), maxClientTimeout) + answerMargin
	shutdownTime := answerTime + finalWriteTime
	if c.settings.PassThrough {
		shutdownTime = passThroughShutdownTime
	}
	c.shutdown.started.Store(true)
	notice := shutdownNotice // a client migrated earlier might be sent back here
	if c.replaced.Load() {
		notice = 0 // the successor accepts all new clients
	}
	c.deliver(now, func() {
		c.shutdown.deadline, c.shutdown.answerDeadline = now+shutdownTime, now+answerTime
		c.leaveMembership()
		c.setTimer(migrationTimer, 0, notice)
		c.setTimer(answerDeadlineTimer, 0, answerTime)
	})
	c.log.Info("graceful shutdown started", zap.Duration("within", shutdownTime))
}

// longestClientTimeout returns the longest client timeout of the classes in force. Retired classes do not count: the
// time of SIGKILL follows from the settings in force.
func (c *Controller) longestClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.settings.Classes {
		if !class.Retired {
			longest = max(longest, class.ClientTimeout)
		}
	}
	return longest
}

// migrateBeforeShutdown starts the migration. It ends finalWriteTime before the answer deadline, to write the last MOVE.
func (c *Controller) migrateBeforeShutdown() {
	deadline := min(c.now+shutdownMigrationTime, c.shutdown.answerDeadline-finalWriteTime)
	c.balancer.DrainBy(c.now, max(c.now, deadline))
	c.setTimer(shutdownPollTimer, 0, 0)
}

// pollShutdown stops accepting once no work is left or the deadline has passed. An answer counts as given when its
// session has received the command, so finalWriteTime remains to write it.
func (c *Controller) pollShutdown() {
	if c.sessions.hasWork() && c.now < c.shutdown.deadline {
		c.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
		return
	}
	c.driver.StopAccepting()
	c.setTimer(stopTimer, 0, finalWriteTime)
}

// finishShutdown ends the relay, unless a client has arrived in the meantime and the deadline has not passed.
func (c *Controller) finishShutdown() {
	if c.sessions.hasWork() && c.now < c.shutdown.deadline {
		c.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
		return
	}
	c.shutdown.finished = true
	c.log.Info("graceful shutdown finished")
	c.driver.ShutdownFinished()
}

// endRemainingSessions answers waiting requests and, except in pass-through mode, migrates established sessions, since
// SIGKILL is near. That includes a session whose UP has not been reported to the controller yet. It iterates in order of
// sequence numbers, because the iteration order of a map varies.
func (c *Controller) endRemainingSessions() {
	for _, sequence := range c.sessions.sequences() {
		if !c.settings.PassThrough {
			c.driver.MigrateSession(sequence) // no effect on a session that is not established
		}
		switch record := c.sessions.bySequence[sequence]; {
		case record.wait != notWaiting:
			c.claimTimedOut(sequence)
		case !record.answered:
			c.balancer.DeadlineExceeded(c.now, sequence)
		}
	}
}
