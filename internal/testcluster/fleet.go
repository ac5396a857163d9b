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
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

var zones = []string{"east", "west"}

// TimingAllowance is what every time limit is longer by here than the rules say: a relay shares the machine with hundreds.
const TimingAllowance = 500 * time.Millisecond

// Options say what is run.
//
// Program, Length and Fleet's numbers of parties have to be set.
type Options struct {
	Program  string           // the relay's, built already
	Seed     uint64           // of what clients draw and of what faults strike
	Duration time.Duration    // once all relays are ready
	Fleet    simulation.Fleet // the installation
	Faults   []fault.Fault    // what goes wrong
	Observe  func(v *View)    // called now and then while the run takes its course; nil: nobody looks
	WorkDir  string           // a folder for the relays' files; empty: a temporary one that is removed

	// ProgramOf names the program, by an absolute path, that a relay's process runs: start 0 is the relay's first process,
	// 1 the one after its first restart. It may be called from several goroutines at once. nil: Program for all.
	ProgramFor func(relay, start int) string
}

// Result is what a run came to.
type Result struct {
	Program        string              `json:"program"`
	Seed           uint64              `json:"seed"`
	ReadyAfter     time.Duration       `json:"ready_ns"` // until all relays took clients
	Service        []simulation.Second `json:"service"`  // by second
	Evenness       []loadstats.Second  `json:"evenness"` // of the load, by second
	Faults         []FaultEffect       `json:"faults"`
	Violations     []string            `json:"broken,omitempty"` // rules
	Counts         map[string]int      `json:"counts"`           // how often what came up
	ConnectLatency LatencySummary      `json:"waits"`
	Rates          TrafficRates        `json:"rates"`
	Usage          ResourceUsage       `json:"usage"`
	CPUCores       []float64           `json:"machine"`  // processor seconds a second, of all relays
	Attempts       []int               `json:"attempts"` // by backend
}

// FaultEffect is what a fault really did.
type FaultEffect struct {
	fault.Fault
	StartedAt time.Duration  `json:"began_ns"` // since the run began
	EndedAt   time.Duration  `json:"ended_ns"` // likewise
	Counts    map[string]int `json:"did"`      // how often what; empty: nothing
}

// LatencySummary are the times from a client's wish for a connection to its UP, in milliseconds.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// TrafficRates are means over the run, and peaks, of what relays send beside clients' lines.
type TrafficRates struct {
	HealthChecks               float64 `json:"probes_per_s"` // of all relays
	PeakHealthChecksPerBackend int     `json:"probes_at_one_backend_in_a_second"`
	Handshakes                 float64 `json:"handshakes_per_s"`
	PeakHandshakesPerBackend   int     `json:"handshakes_at_one_backend_in_a_second"`
	Datagrams                  float64 `json:"datagrams_per_s"`
	PeakDatagramsPerRelay      int     `json:"datagrams_of_one_relay_in_a_second"`
	DiscoveryCalls             float64 `json:"discovery_calls_per_s"`
}

// ResourceUsage is the medians and maxima over those relays' processes that ran from beginning to end.
type ResourceUsage struct {
	CPUMedian    float64 `json:"cpu_share_median"` // of a core
	CPUMax       float64 `json:"cpu_share_most"`
	MemoryMedian int64   `json:"memory_bytes_median"` // resident, the high-water mark
	MemoryMax    int64   `json:"memory_bytes_most"`
}

// relay is one relay and its present process.
type relay struct {
	index   int
	dir     string
	process *process
	paused  bool
	down    bool // killed, or to be started late
	starts  int  // of processes so far
}

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

// loadOf is what a request's connection will take of a backend's cores: half to one and a half of the usual.
func (c *cluster) loadOf(request string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request))
	return c.options.Fleet.ConnLoad * (0.5 + float64(h.Sum64()>>11)/(1<<53))
}

// recordAttempt takes in an attempt that has come. One that its relay has given up may not have been read to its end
// here, though the relay ended it before: then it is heard of first.
func (c *cluster) recordAttempt(s *session) {
	c.mu.Lock()
	for s.backend.index >= len(c.attempts) {
		c.attempts = append(c.attempts, 0)
	}
	c.attempts[s.backend.index]++
	before := c.pendingAttempts[s.request]
	c.pendingAttempts[s.request] = s
	c.mu.Unlock()
	if before != nil && before != s && before.conn.peerHungUp() {
		before.conn.recordRelayEnd(closedCleanly)
	}
}

func (c *cluster) removeAttempt(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingAttempts[s.request] == s {
		delete(c.pendingAttempts, s.request)
	}
}

// View is a run as it goes, for who looks at it from outside.
type View struct{ cluster *cluster }

// Elapsed is how long the run has been going.
func (view *View) Elapsed() time.Duration { return view.cluster.elapsed() }

// RelayRunning says whether a relay's process runs and is not stopped.
func (view *View) RelayRunning(relay int) bool {
	view.cluster.mu.Lock()
	defer view.cluster.mu.Unlock()
	target := view.cluster.relays[relay]
	return target.process != nil && !target.down && !target.paused
}

// QueryAdmin makes a call at a relay's second address and returns its answer's lines.
func (view *View) QueryAdmin(relay int, call string) ([]string, error) {
	c, err := net.DialTimeout("tcp", view.cluster.ports.adminAddr(relay), time.Second)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, call+"\n"); err != nil {
		return nil, err
	}
	text, err := io.ReadAll(c)
	return strings.Split(strings.TrimSpace(string(text)), "\n"), err
}

// CheckFault returns an error if processes cannot play a fault of this kind.
func CheckFault(f *fault.Fault) error {
	if _, ok := faultInjectors[f.Kind]; !ok {
		return fmt.Errorf("processes can't play %q", f.Kind)
	}
	return nil
}

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

// validateOptions checks that the cluster can play what is asked, and makes the path of the program absolute.
func validateOptions(opt Options) (Options, error) {
	f := &opt.Fleet
	if f.Relays < 1 || f.Relays > maxRelays || f.Backends < 1 || f.Backends > maxBackends {
		return opt, fmt.Errorf("%d relays and %d backends: 1 to %d and 1 to %d can be played", f.Relays, f.Backends, maxRelays, maxBackends)
	}
	if err := checkMachineLimits(f.Relays, f.Clients); err != nil {
		return opt, err
	}
	program, err := filepath.Abs(opt.Program)
	if err != nil {
		return opt, err
	}
	if info, err := os.Stat(program); err != nil {
		return opt, fmt.Errorf("the relay's program: %w", err)
	} else if info.IsDir() || info.Mode()&0o111 == 0 {
		return opt, fmt.Errorf("the relay's program: %s cannot be executed", opt.Program)
	}
	opt.Program = program
	for i := range opt.Faults {
		if err := CheckFault(&opt.Faults[i]); err != nil {
			return opt, err
		}
	}
	return opt, nil
}

// newCluster is a cluster that has started nothing yet.
func newCluster(ctx context.Context, opt Options) *cluster {
	c := &cluster{options: opt, start: time.Now(), links: newLinkFaults(opt.Seed), counts: map[string]int{}, pendingAttempts: map[string]*session{},
		random: rand.New(rand.NewPCG(opt.Seed, 0xf1ee7)), errors: make(chan error, 16),
		connectLatency: hdrhistogram.New(1, 60_000_000, 3), workDir: opt.WorkDir}
	c.epoch = time.Duration(c.start.UnixNano())
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// shutdown ends all that was started. What relays do from here on is not held against them.
func (c *cluster) shutdown() {
	c.withChecker(func() {
		for i := range c.relays {
			c.checker.RelayStopped(i)
		}
	})
	c.cancel()
	c.launcher.close()
	c.ports.release()
	for _, b := range c.backends {
		b.stop(false)
		for _, end := range []func(){b.removeBlackhole, b.releasePort} {
			if end != nil {
				end()
			}
		}
	}
}

// checkFaultsTookEffect is an error that names the faults that did nothing; nil: each did something.
func checkFaultsTookEffect(faults []FaultEffect) (err error) {
	for i := range faults {
		if f := &faults[i]; len(f.Counts) == 0 {
			err = errors.Join(err, fmt.Errorf("%s: the fault %q at %v did nothing", scriptPosition(&f.Fault), f.Kind, f.Start))
		}
	}
	return err
}

// scriptPosition names the line of a script for a message.
func scriptPosition(f *fault.Fault) string {
	if f.ScriptLine == 0 {
		return "script"
	}
	return fmt.Sprintf("script line %d", f.ScriptLine)
}

// setUp opens the cluster's sockets and sets up what stands around the relays.
func (c *cluster) setUp() (err error) {
	f := &c.options.Fleet
	if c.ports, err = newPorts(); err != nil {
		return err
	}
	post, port, err := newDatagramForwarder(c)
	if err != nil {
		return err
	}
	c.ports.datagram = port
	lc := net.ListenConfig{Control: prepareWildcardSocket}
	agents, err := lc.Listen(c.ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		post.close()
		return err
	}
	c.ports.discovery = agents.Addr().(*net.TCPAddr).Port
	c.traffic = newTrafficCounters(f.Relays, f.Backends+16, c)
	c.checker = invariant.New(invariantLimits(f), f.Relays, c.now, func(d time.Duration, do func()) { c.runAfter(d, func() { c.withChecker(do) }) })
	for i := range f.Relays {
		c.relays = append(c.relays, &relay{index: i, dir: filepath.Join(c.workDir, fmt.Sprintf("n%03d", i))})
	}
	c.discovery = newDiscoveryService(c, f.Relays)
	c.frontend = newFrontBalancer(c)
	go post.serve(c.ctx)
	go func() {
		if err := c.discovery.server.Serve(agents); !errors.Is(err, http.ErrServerClosed) && c.ctx.Err() == nil {
			c.reportError(fmt.Errorf("discovery: %w", err))
		}
	}()
	context.AfterFunc(c.ctx, func() {
		post.close()
		_ = c.discovery.server.Close()
	})
	for range f.Backends {
		c.addBackend(false)
	}
	return nil
}

// addBackend brings one more up: cold in the run, warm before it.
func (c *cluster) addBackend(cold bool) *backend {
	sizes := c.options.Fleet.Sizes
	c.mu.Lock()
	n, size := len(c.backends), 1.0
	if len(sizes) > 0 {
		size = sizes[n%len(sizes)]
	}
	b := c.newBackend(n, size)
	c.backends = append(c.backends, b)
	c.mu.Unlock()
	c.withChecker(func() { c.checker.AddBackend(b.name, b.index%2) })
	b.launch(cold)
	return b
}

// startRelays starts all relays but those that a fault starts late, and waits until they take clients.
func (c *cluster) startRelays() error {
	for _, f := range c.options.Faults {
		if f.Kind == "relays start late" {
			for _, i := range targetIndexes(&f, len(c.relays)) {
				c.relays[i].down = true
			}
		}
	}
	began := time.Now()
	var wanted []*relay
	for _, target := range c.relays {
		if !target.down {
			if err := c.startRelay(target); err != nil {
				return err
			}
			wanted = append(wanted, target)
		}
	}
	for _, target := range wanted {
		for !c.relayReady(target) {
			if !target.process.running() {
				return fmt.Errorf("relay %d ended before it was ready: %w; its log ends with %s", target.index, target.process.err, logTail(target.process.log))
			}
			if time.Since(began) > readyTimeout {
				return fmt.Errorf("relay %d is not ready after %v; its log ends with %s", target.index, readyTimeout, logTail(target.process.log))
			}
			if !sleepContext(c.ctx, 20*time.Millisecond) {
				return c.ctx.Err()
			}
		}
		c.frontend.setAvailable(target.index, true)
	}
	return nil
}

func (c *cluster) relayReady(target *relay) bool {
	return respondsToPing(c.ports.relayAddr(target.index), time.Second)
}

// logTail is the end of a log, for a message.
func logTail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return "nothing"
	}
	return string(text[max(0, len(text)-400):])
}

// startRelay starts a relay's process.
func (c *cluster) startRelay(target *relay) error {
	if err := os.MkdirAll(filepath.Join(target.dir, "tmp"), 0o700); err != nil {
		return err
	}
	f := &c.options.Fleet
	var peers []string
	if f.Peers {
		for j := range c.relays {
			peers = append(peers, c.ports.peerAddr(target.index, j))
		}
	}
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], c.options.Seed<<20|uint64(target.index)+1)
	config := map[string]any{"name": fmt.Sprintf("n%03d", target.index), "listen": c.ports.relayAddr(target.index),
		"discovery": c.ports.discoveryAddr(target.index), "seed": fmt.Sprintf("%x", seed), "settings": relaySettings(f, target.index),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"peer_listen": c.ports.peerListen(target.index), "peers": peers, "peers_all": c.ports.broadcastAddr(target.index)}
	if f.Membership {
		config["membership"] = map[string]any{"fleet": "rig"}
		config["management"] = c.ports.adminAddr(target.index)
	}
	path, err := writeConfig(target.dir, config)
	if err != nil {
		return err
	}
	c.withChecker(func() { c.checker.RelayStarted(target.index, c.ports.discoveryAddr(target.index), nil) })
	p, err := c.launcher.start(c.programFor(target), target.dir, target.index, []string{"PROXY_CONFIG=" + path, "TMPDIR=" + filepath.Join(target.dir, "tmp"), "PATH=/usr/bin:/bin"})
	if err != nil {
		return err
	}
	c.mu.Lock()
	target.process, target.down, target.paused = p, false, false
	c.mu.Unlock()
	go func() {
		<-p.ended
		c.mu.Lock()
		killed := p.killed
		c.mu.Unlock()
		if !killed && c.ctx.Err() == nil {
			c.withChecker(func() { c.checker.RelayStopped(target.index) })
			c.reportError(fmt.Errorf("relay %d ended by itself: %w; its log ends with %s", target.index, p.err, logTail(p.log)))
		}
	}()
	return nil
}

// programFor is the program that the relay's next process runs.
func (c *cluster) programFor(target *relay) string {
	c.mu.Lock()
	start := target.starts
	target.starts++
	c.mu.Unlock()
	if c.options.ProgramFor == nil {
		return c.options.Program
	}
	return c.options.ProgramFor(target.index, start)
}

// killRelay ends a relay's process at once.
func (c *cluster) killRelay(target *relay) bool {
	c.mu.Lock()
	p := target.process
	ok := p != nil && !target.down && p.running()
	if ok {
		target.down, p.killed = true, true
	}
	c.mu.Unlock()
	if !ok {
		return false
	}
	c.withChecker(func() { c.checker.RelayStopped(target.index) })
	p.signal(syscall.SIGKILL)
	<-p.ended
	c.frontend.noticeLoss(target.index)
	return true
}

// drainRelay asks a relay to end, and reports once it has.
func (c *cluster) drainRelay(target *relay, then func()) bool {
	c.mu.Lock()
	p := target.process
	ok := p != nil && !target.down && p.running()
	if ok {
		target.down, p.killed = true, true
	}
	c.mu.Unlock()
	if !ok {
		return false
	}
	c.runAfter(c.links.randomDuration(200*time.Millisecond, 400*time.Millisecond), func() { c.frontend.setAvailable(target.index, false) })
	p.signal(syscall.SIGTERM)
	c.runAfter(3700*time.Millisecond, func() { p.signal(syscall.SIGKILL) })
	go func() {
		<-p.ended
		c.withChecker(func() { c.checker.RelayStopped(target.index) })
		if c.ctx.Err() == nil {
			then()
		}
	}()
	return true
}

// restartRelay starts a relay again and has the front take it once it is ready.
func (c *cluster) restartRelay(target *relay) {
	if err := c.startRelay(target); err != nil {
		c.reportError(err)
		return
	}
	began := time.Now()
	for !c.relayReady(target) {
		if time.Since(began) > readyTimeout {
			c.reportError(fmt.Errorf("relay %d is not ready %v after it was started again; its log ends with %s", target.index, readyTimeout, logTail(target.process.log)))
			return
		}
		if !sleepContext(c.ctx, 50*time.Millisecond) {
			return
		}
	}
	c.frontend.setAvailable(target.index, true)
}

// setRelayPaused stops a relay's process, or lets it go on.
func (c *cluster) setRelayPaused(target *relay, on bool) bool {
	c.mu.Lock()
	p := target.process
	ok := p != nil && !target.down && target.paused != on
	if ok {
		target.paused = on
	}
	c.mu.Unlock()
	if !ok {
		return false
	}
	if on {
		c.withChecker(func() { c.checker.SetRelayPaused(target.index, true) })
		p.signal(syscall.SIGSTOP)
		c.frontend.noticeLoss(target.index)
		return true
	}
	p.signal(syscall.SIGCONT)
	c.withChecker(func() { c.checker.SetRelayPaused(target.index, false) })
	c.runAfter(300*time.Millisecond, func() { c.frontend.setAvailable(target.index, true) })
	return true
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

// startObserver has somebody look at the run while it takes its course; what it returns waits for the last look to end.
func (c *cluster) startObserver() (ended func()) {
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		for sleepContext(c.ctx, 100*time.Millisecond) && c.elapsed() < c.options.Duration {
			c.options.Observe(&View{c})
		}
	}()
	return func() { <-looked }
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

// fillResult writes the books of a run of a length into its result.
func (c *cluster) fillResult(res *Result, length time.Duration) {
	c.mu.Lock()
	res.Faults = slices.Clone(c.effects)
	res.Counts, res.Attempts = c.counts, c.attempts
	res.ConnectLatency = LatencySummary{c.connectLatency.TotalCount(), float64(c.connectLatency.ValueAtQuantile(50)) / 1000, float64(c.connectLatency.ValueAtQuantile(99)) / 1000,
		float64(c.connectLatency.ValueAtQuantile(99.9)) / 1000, float64(c.connectLatency.Max()) / 1000}
	c.mu.Unlock()
	c.withLoadRecorder(func(l *loadstats.Recorder) { res.Evenness = l.PerSecond(length.Truncate(time.Second)) })
	c.withChecker(func() {
		for _, b := range c.checker.Violations {
			res.Violations = append(res.Violations, b.String())
		}
		for what, n := range c.checker.Counts {
			res.Counts[what] += n
		}
	})
	res.Rates = c.traffic.rates(length)
}

// relayUsages are what relays' processes have used; nil for one that doesn't run.
func (c *cluster) relayUsages() map[*process]processUsage {
	out := map[*process]processUsage{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range c.relays {
		if target.process != nil && !target.down {
			if u, err := target.process.usage(); err == nil {
				out[target.process] = u
			}
		}
	}
	return out
}

// totalCPUTime is the processor time of all processes that run.
func (c *cluster) totalCPUTime() (sum time.Duration) {
	for _, u := range c.relayUsages() {
		sum += u.cpu
	}
	return sum
}

// summarizeUsage sums up what the processes used that ran from beginning to end.
func summarizeUsage(before, after map[*process]processUsage, length time.Duration) (u ResourceUsage) {
	var cpu []float64
	var mem []int64
	for p, a := range after {
		if b, ok := before[p]; ok {
			cpu, mem = append(cpu, (a.cpu-b.cpu).Seconds()/length.Seconds()), append(mem, a.memory)
		}
	}
	if len(cpu) == 0 {
		return u
	}
	slices.Sort(cpu)
	slices.Sort(mem)
	return ResourceUsage{cpu[len(cpu)/2], cpu[len(cpu)-1], mem[len(mem)/2], mem[len(mem)-1]}
}
