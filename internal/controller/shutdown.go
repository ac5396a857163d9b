package controller

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// The time from SIGTERM to SIGKILL is the longest client timeout, at most maxClientTimeout, and 0.7 s more. All answers
// are given and written before that.
const (
	// shutdownNotice is how long load balancers in front go on sending clients after SIGTERM.
	shutdownNotice = 600 * time.Millisecond
	// maxClientTimeout bounds the client timeout that a shutdown waits for.
	maxClientTimeout = 3 * time.Second
	// answerMargin is the time beyond the client timeout by which a request that came after SIGTERM is answered.
	answerMargin = 450 * time.Millisecond
	// finalWriteTime is the time within which an answer or a MOVE reaches its socket.
	finalWriteTime = 50 * time.Millisecond
	// shutdownMigrationTime is the time within which sessions are migrated after shutdownNotice, if there is as much.
	shutdownMigrationTime = 1500 * time.Millisecond
	// passThroughShutdownTime bounds the shutdown where packets pass through: sessions are held until the relay is
	// stopped, so that other relays take them over unbroken.
	passThroughShutdownTime = 30 * time.Second
	// shutdownPollInterval is how often the relay looks whether work is left.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdownState is how far a graceful shutdown has come.
type shutdownState struct {
	started        atomic.Bool
	finished       bool          // new sessions are refused
	deadline       time.Duration // by when the relay ends, whatever is left
	answerDeadline time.Duration // by when all requests are answered; 0: no shutdown
}

// ShuttingDown reports whether a graceful shutdown has begun. It may be called from any goroutine.
func (c *Controller) ShuttingDown() bool { return c.shutdown.started.Load() }

// Shutdown begins a graceful shutdown: new clients are served, every request is answered, and sessions are migrated.
// Where packets pass through, other relays take sessions over unbroken once this one is stopped. Ending by itself it
// would cut them off, and while another relay is away as well nobody would be there to take them.
func (c *Controller) Shutdown(now time.Duration) {
	answerTime := min(c.longestClientTimeout(), maxClientTimeout) + answerMargin
	shutdownTime := answerTime + finalWriteTime
	if c.settings.PassThrough {
		shutdownTime = passThroughShutdownTime
	}
	c.shutdown.started.Store(true)
	notice := shutdownNotice // a client migrated earlier might be sent right back
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

// longestClientTimeout returns the longest client timeout of the classes in force. Retired classes do not count: SIGKILL
// comes by the settings in force.
func (c *Controller) longestClientTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.settings.Classes {
		if !class.Retired {
			longest = max(longest, class.ClientTimeout)
		}
	}
	return longest
}

// migrateBeforeShutdown starts the migration, which leaves time to write the last MOVE before the answers are due.
func (c *Controller) migrateBeforeShutdown() {
	by := min(c.now+shutdownMigrationTime, c.shutdown.answerDeadline-finalWriteTime)
	c.balancer.DrainBy(c.now, max(c.now, by))
	c.setTimer(shutdownPollTimer, 0, 0)
}

// pollShutdown stops accepting once no work is left or the time is up. An answer counts as given when its session has
// the command, so finalWriteTime is left for writing it.
func (c *Controller) pollShutdown() {
	if c.sessions.hasWork() && c.now < c.shutdown.deadline {
		c.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
		return
	}
	c.driver.StopAccepting()
	c.setTimer(stopTimer, 0, finalWriteTime)
}

// finishShutdown ends the relay, unless a client has come in the meantime.
func (c *Controller) finishShutdown() {
	if c.sessions.hasWork() && c.now < c.shutdown.deadline {
		c.setTimer(shutdownPollTimer, 0, shutdownPollInterval)
		return
	}
	c.shutdown.finished = true
	c.log.Info("graceful shutdown finished")
	c.driver.Stopped()
}

// endRemainingSessions ends what would outlast this relay, since SIGKILL is near: waiting requests are answered, and
// established sessions are migrated unless packets pass through, also one whose UP has not been reported here yet. It
// goes by sequence number, which does not vary as a map's order does.
func (c *Controller) endRemainingSessions() {
	for _, sequence := range c.sessions.sequences() {
		if !c.settings.PassThrough {
			c.driver.MigrateSession(sequence) // no effect on a session that is not established
		}
		if !c.sessions.bySequence[sequence].answered {
			c.balancer.DeadlineExceeded(c.now, sequence)
		}
	}
}
