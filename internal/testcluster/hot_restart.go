package testcluster

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/internal/fault"
)

// The kinds of faults that hot-restart relays.
const (
	kindHotRestart          = "hot restart"             // all affected relays at once
	kindRollingHotRestart   = "rolling hot restart"     // one relay after another, spread over the duration of the fault
	kindEarlySuccessorDeath = "successors killed early" // the successor is killed before its admin endpoint reports it ready
	kindLateSuccessorDeath  = "successors killed late"  // the successor is killed while the predecessor shuts down; another one follows
)

// isHotRestart reports whether faults of this kind hot-restart relays.
func isHotRestart(kind string) bool {
	switch kind {
	case kindHotRestart, kindRollingHotRestart, kindEarlySuccessorDeath, kindLateSuccessorDeath:
		return true
	}
	return false
}

// Events that Result.Counts reports.
const (
	countHotRestarts            = "hot restarts"
	countKilledBeforeServing    = "successors killed before they served"
	countKilledWhileServing     = "successors killed while they served"
	countConnectionsOfSuccessor = "connections of killed successors"
)

const (
	// logRestored is the log message of a successor that has received its predecessor's state.
	logRestored = "state restored from predecessor process"
	// logServing is the log message of a process that serves.
	logServing = `"msg":"serving"`
	// processPollInterval is how often the state of a process is polled.
	processPollInterval = 5 * time.Millisecond
	// maxStartTime bounds the random delay before a successor is killed while it starts.
	maxStartTime = 20 * time.Millisecond
	// maxKillDelay bounds the random delay before a successor is killed while its predecessor shuts down.
	maxKillDelay = 300 * time.Millisecond
)

// Errors that end a run with a hot restart.
var (
	errSuccessorNotReady    = fmt.Errorf("the successor in a hot restart is not ready after %v", readyTimeout)
	errPredecessorEnded     = errors.New("the predecessor in a hot restart has ended before its successor was to be killed")
	errPredecessorExitLate  = fmt.Errorf("the predecessor in a hot restart has not exited %v after SIGTERM", shutdownTimeout)
	errPredecessorExitError = errors.New("the predecessor in a hot restart exited with an error")
)

// hotRestartFault returns an injector that hot-restarts the affected relays with restart: all at once or, if spread, one
// after another. The end of the fault waits for the hot restarts that are under way.
func hotRestartFault(restart func(c *cluster, target *relay, predecessor *process) error, spread bool) faultInjector {
	return func(c *cluster, f *fault.Fault, effects *effectCounters) func() {
		var restarts sync.WaitGroup
		targets := targetIndexes(f, len(c.relays))
		for k, i := range targets {
			delay := time.Duration(0)
			if spread {
				delay = time.Duration(k) * f.Duration / time.Duration(len(targets))
			}
			restarts.Go(func() {
				if !sleepContext(c.ctx, delay) {
					return
				}
				target := c.relays[i]
				predecessor := c.beginHotRestart(target)
				if predecessor == nil {
					return
				}
				err := restart(c, target, predecessor)
				c.endHotRestart(target)
				switch {
				case err == nil:
					effects.affected.Add(1)
				case c.ctx.Err() == nil:
					c.reportError(fmt.Errorf("relay %d: %w; its log ends with %s", target.index, err, logTail(predecessor.log)))
				}
			})
		}
		return restarts.Wait
	}
}

// beginHotRestart returns the process of a relay that is to be replaced; nil if the relay is down, paused or in another hot
// restart.
func (c *cluster) beginHotRestart(target *relay) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if target.process == nil || target.down || target.paused || target.hotRestarting || !target.process.running() {
		return nil
	}
	target.hotRestarting = true
	return target.process
}

func (c *cluster) endHotRestart(target *relay) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target.hotRestarting = false
}

// hotRestart carries out the operators' procedure: it starts the successor, waits until that is ready, ends the predecessor
// with SIGTERM and waits for its exit.
func (c *cluster) hotRestart(target *relay, predecessor *process) error {
	successor, err := c.startSuccessor(target)
	if err != nil {
		return err
	}
	exited := c.endPredecessor(target, predecessor, successor)
	return <-exited
}

// startSuccessor starts a process beside the running one and waits until its admin endpoint reports it ready.
func (c *cluster) startSuccessor(target *relay) (*process, error) {
	successor, err := c.launchSuccessor(target)
	if err != nil {
		return nil, err
	}
	for began := time.Now(); ; {
		if answer, err := successor.queryAdmin("READY"); err == nil && strings.HasPrefix(answer[0], "SUCCESS") {
			break
		}
		if time.Since(began) > readyTimeout {
			return nil, errSuccessorNotReady
		}
		if !sleepContext(c.ctx, processPollInterval) {
			return nil, c.ctx.Err()
		}
	}
	c.withChecker(func() { c.checker.RelayHotRestarted(target.index) })
	return successor, nil
}

// endPredecessor makes the successor the relay's process, sends SIGTERM to the predecessor, and yields an error unless that
// exits with success within shutdownTimeout.
func (c *cluster) endPredecessor(target *relay, predecessor, successor *process) <-chan error {
	c.mu.Lock()
	target.process, predecessor.killed = successor, true
	c.mu.Unlock()
	predecessor.signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() {
		select {
		case <-predecessor.ended:
			if predecessor.err != nil {
				exited <- fmt.Errorf("%w: %w", errPredecessorExitError, predecessor.err)
				return
			}
			c.incrementCount(countHotRestarts)
			exited <- nil
		case <-time.After(shutdownTimeout):
			exited <- errPredecessorExitLate
		case <-c.ctx.Done():
			exited <- c.ctx.Err()
		}
	}()
	return exited
}

// killSuccessorEarly starts a successor and kills it at some time of its start: of one half of the relays after a random
// delay, of the others once it has the predecessor's state. The predecessor runs on.
func (c *cluster) killSuccessorEarly(target *relay, predecessor *process) error {
	serving := countInLog(predecessor.log, logServing)
	restored := countInLog(predecessor.log, logRestored)
	successor, err := c.launchSuccessor(target)
	if err != nil {
		return err
	}
	if target.index%2 == 0 {
		sleepContext(c.ctx, c.links.randomDuration(0, maxStartTime))
	} else {
		for countInLog(predecessor.log, logRestored) == restored && countInLog(predecessor.log, logServing) == serving && successor.running() {
			if !sleepContext(c.ctx, processPollInterval) {
				return c.ctx.Err()
			}
		}
	}
	if err := c.killBesideAnother(target, successor, predecessor); err != nil {
		return err
	}
	if countInLog(predecessor.log, logServing) == serving {
		c.incrementCount(countKilledBeforeServing)
	} else {
		c.incrementCount(countKilledWhileServing)
	}
	return nil
}

// killSuccessorLate carries out a hot restart, kills the successor while the predecessor shuts down, and starts another one
// at once.
func (c *cluster) killSuccessorLate(target *relay, predecessor *process) error {
	first, err := c.startSuccessor(target)
	if err != nil {
		return err
	}
	exited := c.endPredecessor(target, predecessor, first)
	sleepContext(c.ctx, c.links.randomDuration(0, maxKillDelay))
	if err := c.killBesideAnother(target, first, predecessor); err != nil {
		return err
	}
	c.incrementCount(countKilledWhileServing)
	second, err := c.startSuccessor(target)
	if err != nil {
		return err
	}
	c.mu.Lock()
	target.process = second
	c.mu.Unlock()
	return <-exited
}

// killBesideAnother kills one of two processes of a relay. The connections that it has accepted end with it; those of the
// other process must not. It is stopped first, so that it accepts none while its connections are listed. The other process
// has to be running by then, else connections in the accept queue are lost with both.
func (c *cluster) killBesideAnother(target *relay, p, other *process) error {
	c.mu.Lock()
	p.killed = true
	c.mu.Unlock()
	p.signal(syscall.SIGSTOP)
	for !p.stopped() && p.running() {
		if !sleepContext(c.ctx, processPollInterval) {
			return c.ctx.Err()
		}
	}
	connections, err := p.connectionsAt(c.ports.relayAddr(target.index))
	if err != nil && p.running() {
		return err
	}
	if !other.running() {
		return errPredecessorEnded
	}
	c.clientConns.markKilled(c, connections)
	p.signal(syscall.SIGKILL)
	<-p.ended
	return nil
}

// countInLog returns how often a text occurs in a log file.
func countInLog(path, text string) int {
	content, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	return strings.Count(string(content), text)
}
