// Package testcluster runs a cluster of hundreds of relay processes on loopback addresses, in real time, together with a
// discovery service, emulated backends (package emulator) and clients. It injects faults into every process and on every
// link between two of them.
//
// Package invariant observes the relays' side of every connection; Result.Violations lists the rules that were violated. A
// run in which a fault had no effect is an error, since it demonstrates nothing. No relay process outlives the test cluster,
// even if the test cluster is killed. The package requires Linux.
package testcluster

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
)

// zones are the availability zones. Relays and backends are assigned to them in turn.
var zones = []string{"east", "west"}

// cluster is one run: the processes and services it started, its clock and what it has recorded.
type cluster struct {
	options         Options
	ctx             context.Context
	cancel          context.CancelFunc
	start           time.Time
	epoch           time.Duration
	runStart        atomic.Int64 // when the run began, on the cluster's clock; 0: not yet
	ports           ports
	links           *linkFaults
	launcher        *processLauncher
	discovery       *discoveryService
	relays          []*relay
	frontend        *frontBalancer
	connectionIDs   atomic.Uint64
	workDir         string
	errors          chan error // of the test cluster itself
	mu              sync.Mutex // guards the fields down to connectLatency, and the relays' processes
	backends        []*backend
	counts          map[string]int
	starts          []*relayStart // of all relay processes so far
	effects         []FaultEffect
	attempts        []int               // by backend
	pendingAttempts map[string]*session // open attempts, by request
	flows           map[string]bool     // open ones, by receipt
	random          *rand.Rand
	connectLatency  *hdrhistogram.Histogram
	loadMu          sync.Mutex
	load            loadstats.Recorder
	checkerMu       sync.Mutex
	checker         *invariant.Checker
	traffic         trafficCounters
	clients         clients
	clientConns     clientConns
}

// now is the current time on the cluster's clock, which is monotonic and starts at the wall-clock time of its
// creation.
func (c *cluster) now() time.Duration { return c.epoch + time.Since(c.start) }

// elapsed is the time since all relays became ready and the run began; 0 before that.
func (c *cluster) elapsed() time.Duration {
	began := time.Duration(c.runStart.Load())
	if began == 0 {
		return 0
	}
	return max(0, c.now()-began)
}

// runAfter calls do after a delay, unless the run is over by then.
func (c *cluster) runAfter(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		if c.ctx.Err() == nil {
			do()
		}
	})
}

// withChecker calls do with the invariant checker locked.
func (c *cluster) withChecker(do func()) {
	c.checkerMu.Lock()
	defer c.checkerMu.Unlock()
	do()
}

// withLoadRecorder calls do with the load recorder locked.
func (c *cluster) withLoadRecorder(do func(l *loadstats.Recorder)) {
	c.loadMu.Lock()
	defer c.loadMu.Unlock()
	do(&c.load)
}

// incrementCount counts one more occurrence of an event that Result.Counts reports.
func (c *cluster) incrementCount(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[event]++
}

// reportError records an error of the test cluster itself, which ends the run.
func (c *cluster) reportError(err error) {
	select {
	case c.errors <- err:
	default: // the channel is full; the run ends with an earlier error
	}
}

// randomFloat draws a number in [0, 1) from the generator that the run's seed initializes.
func (c *cluster) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

// chance returns true with probability p.
func (c *cluster) chance(p float64) bool { return p > 0 && c.randomFloat() < p }

// Run starts a cluster, drives it with clients and faults for Options.Duration, and returns once everything it
// started has ended. A run in which a fault had no effect, or which could not be carried out, is an error.
func Run(ctx context.Context, opt Options) (res Result, err error) {
	if opt, err = validateOptions(opt); err != nil {
		return res, err
	}
	c := newCluster(ctx, opt)
	defer c.cancel()
	if c.workDir == "" {
		if c.workDir, err = os.MkdirTemp("", "fleet"); err != nil {
			return res, err
		}
		defer func() { _ = os.RemoveAll(c.workDir) }()
	}
	c.launcher = newProcessLauncher()
	defer c.shutdown()
	if err := c.setUp(); err != nil {
		return res, err
	}
	if err := c.startRelays(); err != nil {
		return res, err
	}
	res = Result{Program: opt.Program, Seed: opt.Seed, ReadyAfter: c.now() - c.epoch}
	if err := c.execute(&res); err != nil {
		return res, err
	}
	select {
	case err := <-c.errors:
		return res, err
	default:
	}
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	return res, checkFaultsTookEffect(res.Faults)
}

// execute carries out the run on a cluster that is ready, and fills in the result.
func (c *cluster) execute(res *Result) error {
	c.runStart.Store(int64(c.now()))
	before := c.relayUsages()
	c.clients.start(c)
	var endFaults []func()
	c.mu.Lock()
	c.effects = make([]FaultEffect, len(c.options.Faults))
	c.mu.Unlock()
	for i := range c.options.Faults {
		endFaults = append(endFaults, c.scheduleFault(i))
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	deadline := time.NewTimer(c.options.Duration)
	defer deadline.Stop()
	if c.options.Observe != nil {
		defer c.startObserver()()
	}
	if err := c.measureUntilEnd(res, ticker.C, deadline.C); err != nil {
		return err
	}
	length := c.elapsed()
	after := c.relayUsages()
	res.FirstStarts, res.Restarts = c.recordedStarts() // before the end of a fault starts more relays
	for _, end := range endFaults {
		end()
	}
	c.clients.stop()
	c.fillResult(res, length)
	res.Usage = summarizeUsage(before, after, length)
	return nil
}

// measureUntilEnd takes measurements every second until the run is over, is cancelled, or fails with an error of the
// test cluster itself.
func (c *cluster) measureUntilEnd(res *Result, tick, deadline <-chan time.Time) error {
	last := c.totalCPUTime()
	for {
		select {
		case <-tick:
			c.withChecker(c.checker.CheckOverdue)
			res.Service = append(res.Service, c.clients.measureService())
			now := c.totalCPUTime()
			res.CPUCores = append(res.CPUCores, (now - last).Seconds())
			last = now
		case <-deadline:
			return nil
		case <-c.ctx.Done():
			return c.ctx.Err()
		case err := <-c.errors:
			return err
		}
	}
}

// sleepContext waits for a duration. It returns false if ctx is done before.
func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
