// Package testcluster runs hundreds of processes of the relay's program on loopback addresses, in real time, with a discovery
// service, modelled backends (package emulator) and clients around them, and injects faults on every way between two
// parties and in every process.
//
// Package invariant watches the relays' side of every connection; Result.Broken has the rules that were broken. No
// process outlives the cluster, even if it is killed: the system ends them with the thread that started them. A run in
// which a fault did nothing is an error, since it shows nothing. Linux only.
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

var zones = []string{"east", "west"}

// cluster is a run: what is started, its clock and its books.
type cluster struct {
	options         Options
	ctx             context.Context
	cancel          context.CancelFunc
	start           time.Time
	epoch           time.Duration
	runStart        atomic.Int64 // when the run began, by now; 0: not yet
	ports           ports
	links           *linkFaults
	launcher        *processLauncher
	discovery       *discoveryService
	relays          []*relay
	frontend        *frontBalancer
	connectionIDs   atomic.Uint64
	workDir         string
	errors          chan error // the cluster's own troubles
	mu              sync.Mutex // of what follows
	backends        []*backend
	counts          map[string]int
	effects         []FaultEffect
	attempts        []int               // by backend
	pendingAttempts map[string]*session // attempts that have no answer yet, by request
	random          *rand.Rand
	connectLatency  *hdrhistogram.Histogram
	loadMu          sync.Mutex
	load            loadstats.Recorder
	checkerMu       sync.Mutex
	checker         *invariant.Checker
	traffic         trafficCounters
	clients         clients
}

func (c *cluster) now() time.Duration { return c.epoch + time.Since(c.start) }

// elapsed is the run's own time; before its beginning 0.
func (c *cluster) elapsed() time.Duration {
	began := time.Duration(c.runStart.Load())
	if began == 0 {
		return 0
	}
	return max(0, c.now()-began)
}

// runAfter has something happen after a while, unless the run is over then.
func (c *cluster) runAfter(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		if c.ctx.Err() == nil {
			do()
		}
	})
}

func (c *cluster) withChecker(do func()) {
	c.checkerMu.Lock()
	defer c.checkerMu.Unlock()
	do()
}

func (c *cluster) withLoadRecorder(do func(l *loadstats.Recorder)) {
	c.loadMu.Lock()
	defer c.loadMu.Unlock()
	do(&c.load)
}

func (c *cluster) incrementCount(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

func (c *cluster) reportError(err error) {
	select {
	case c.errors <- err:
	default: // the first ones tell enough
	}
}

func (c *cluster) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64()
}

func (c *cluster) chance(p float64) bool { return p > 0 && c.randomFloat() < p }

// Run plays a script on processes. It returns once all that it started has ended. A run whose faults did nothing, or
// which the cluster could not play, is an error.
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
		defer func() { _ = os.RemoveAll(c.workDir) }() // in the system's folder for temporary files
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

// execute has the run take its course and sums it up.
func (c *cluster) execute(res *Result) error {
	c.runStart.Store(int64(c.now()))
	before := c.relayUsages()
	c.clients.start(c)
	var ends []func()
	c.mu.Lock()
	c.effects = make([]FaultEffect, len(c.options.Faults))
	c.mu.Unlock()
	for i := range c.options.Faults {
		ends = append(ends, c.scheduleFault(i))
	}
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	over := time.NewTimer(c.options.Duration)
	defer over.Stop()
	if c.options.Observe != nil {
		defer c.startObserver()()
	}
	if err := c.measureUntilEnd(res, sweep.C, over.C); err != nil {
		return err
	}
	length := c.elapsed()
	after := c.relayUsages()
	for _, end := range ends {
		end()
	}
	c.clients.stop()
	c.fillResult(res, length)
	res.Usage = summarizeUsage(before, after, length)
	return nil
}

// measureUntilEnd measures second by second until the run is over, cancelled or in trouble of the cluster's own.
func (c *cluster) measureUntilEnd(res *Result, sweep, over <-chan time.Time) error {
	last := c.totalCPUTime()
	for {
		select {
		case <-sweep:
			c.withChecker(c.checker.CheckOverdue)
			res.Service = append(res.Service, c.clients.measureService())
			now := c.totalCPUTime()
			res.CPUCores = append(res.CPUCores, (now - last).Seconds())
			last = now
		case <-over:
			return nil
		case <-c.ctx.Done():
			return c.ctx.Err()
		case err := <-c.errors:
			return err
		}
	}
}

// sleepContext returns after a time, or with false when ctx is done before.
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
