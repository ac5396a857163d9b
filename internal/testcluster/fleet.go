// Package testcluster runs hundreds of processes of the relay's program on loopback addresses, in real time, with a discovery
// service, modelled backends (package emulator) and clients around them, and injects faults on every way between two
// parties and in every process.
//
// Package invariant watches the relays' side of every connection; Result.Broken has the rules that were broken. No
// process outlives the rig, even if it is killed: the system ends them with the thread that started them. A run in
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

// Allowance is what every time limit is longer by here than the rules say: a relay shares the machine with hundreds.
const Allowance = 500 * time.Millisecond

// Options say what is run.
//
// Program, Length and Fleet's numbers of parties have to be set.
type Options struct {
	Program string                  // the relay's, built already
	Seed    uint64                  // of what clients draw and of what faults strike
	Length  time.Duration           // once all relays are ready
	Fleet   simulation.Installation // the installation
	Script  []fault.Fault           // what goes wrong
	Look    func(v *View)           // called now and then while the run takes its course; nil: nobody looks
	Keep    string                  // a folder for the relays' files; empty: a temporary one that is removed

	// ProgramOf names the program, by an absolute path, that a relay's process runs: start 0 is the relay's first process,
	// 1 the one after its first restart. It may be called from several goroutines at once. nil: Program for all.
	ProgramOf func(relay, start int) string
}

// Result is what a run came to.
type Result struct {
	Program    string                     `json:"program"`
	Seed       uint64                     `json:"seed"`
	Ready      time.Duration              `json:"ready_ns"` // until all relays took clients
	Service    []simulation.ServiceSecond `json:"service"`  // by second
	Evenness   []loadstats.Second         `json:"evenness"` // of the load, by second
	Faults     []Effect                   `json:"faults"`
	Violations []string                   `json:"broken,omitempty"` // rules
	Counts     map[string]int             `json:"counts"`           // how often what came up
	Waits      Waits                      `json:"waits"`
	Rates      Rates                      `json:"rates"`
	Usage      Usage                      `json:"usage"`
	Machine    []float64                  `json:"machine"`  // processor seconds a second, of all relays
	Attempts   []int                      `json:"attempts"` // by backend
}

// Effect is what a fault really did.
type Effect struct {
	fault.Fault
	Began time.Duration  `json:"began_ns"` // since the run began
	Ended time.Duration  `json:"ended_ns"` // likewise
	Did   map[string]int `json:"did"`      // how often what; empty: nothing
}

// Waits are the times from a client's wish for a connection to its UP, in milliseconds.
type Waits struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Rates are means over the run, and peaks, of what relays send beside clients' lines.
type Rates struct {
	Probes       float64 `json:"probes_per_s"` // of all relays
	ProbesOne    int     `json:"probes_at_one_backend_in_a_second"`
	Handshakes   float64 `json:"handshakes_per_s"`
	HandshakeOne int     `json:"handshakes_at_one_backend_in_a_second"`
	Datagrams    float64 `json:"datagrams_per_s"`
	DatagramOne  int     `json:"datagrams_of_one_relay_in_a_second"`
	Calls        float64 `json:"discovery_calls_per_s"`
}

// Usage is the medians and maxima over those relays' processes that ran from beginning to end.
type Usage struct {
	CPUMedian float64 `json:"cpu_share_median"` // of a core
	CPUMost   float64 `json:"cpu_share_most"`
	MemMedian int64   `json:"memory_bytes_median"` // resident, the high-water mark
	MemMost   int64   `json:"memory_bytes_most"`
}

// relay is one relay and its present process.
type relay struct {
	number int
	dir    string
	proc   *process
	paused bool
	down   bool // killed, or to be started late
	starts int  // of processes so far
}

// rig is a run: what is started, its clock and its books.
type rig struct {
	opt      Options
	ctx      context.Context
	cancel   context.CancelFunc
	start    time.Time
	epoch    time.Duration
	began    atomic.Int64 // when the run began, by now; 0: not yet
	ports    ports
	ways     *ways
	nursery  *nursery
	catalog  *catalog
	relays   []*relay
	front    *front
	ids      atomic.Uint64
	dir      string
	errs     chan error // the rig's own troubles
	mu       sync.Mutex // of what follows
	backends []*backend
	counts   map[string]int
	effects  []Effect
	attempts []int               // by backend
	out      map[string]*session // attempts that have no answer yet, by request
	dice     *rand.Rand
	hist     *hdrhistogram.Histogram
	logMu    sync.Mutex
	log      loadstats.Recorder
	checkMu  sync.Mutex
	check    *invariant.Checker
	tally    tally
	clients  clients
}

func (r *rig) now() time.Duration { return r.epoch + time.Since(r.start) }

// since is the run's own time; before its beginning 0.
func (r *rig) since() time.Duration {
	began := time.Duration(r.began.Load())
	if began == 0 {
		return 0
	}
	return max(0, r.now()-began)
}

// in has something happen after a while, unless the run is over then.
func (r *rig) in(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		if r.ctx.Err() == nil {
			do()
		}
	})
}

func (r *rig) checked(do func()) {
	r.checkMu.Lock()
	defer r.checkMu.Unlock()
	do()
}

func (r *rig) logged(do func(l *loadstats.Recorder)) {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	do(&r.log)
}

func (r *rig) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *rig) fail(err error) {
	select {
	case r.errs <- err:
	default: // the first ones tell enough
	}
}

func (r *rig) roll() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dice.Float64()
}

func (r *rig) chance(p float64) bool { return p > 0 && r.roll() < p }

// loadOf is what a request's connection will take of a backend's cores: half to one and a half of the usual.
func (r *rig) loadOf(request string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(request))
	return r.opt.Fleet.ConnectionLoad * (0.5 + float64(h.Sum64()>>11)/(1<<53))
}

// attempted takes in an attempt that has come. One that its relay has given up may not have been read to its end
// here, though the relay ended it before: then it is heard of first.
func (r *rig) attempted(s *session) {
	r.mu.Lock()
	for s.b.number >= len(r.attempts) {
		r.attempts = append(r.attempts, 0)
	}
	r.attempts[s.b.number]++
	before := r.out[s.request]
	r.out[s.request] = s
	r.mu.Unlock()
	if before != nil && before != s && before.wire.hungUp() {
		before.wire.theirs(orderly)
	}
}

func (r *rig) forget(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out[s.request] == s {
		delete(r.out, s.request)
	}
}

// View is a run as it goes, for who looks at it from outside.
type View struct{ r *rig }

// Since is how long the run has been going.
func (v *View) Since() time.Duration { return v.r.since() }

// Running says whether a relay's process runs and is not stopped.
func (v *View) Running(relay int) bool {
	v.r.mu.Lock()
	defer v.r.mu.Unlock()
	x := v.r.relays[relay]
	return x.proc != nil && !x.down && !x.paused
}

// Ask makes a call at a relay's second address and returns its answer's lines.
func (v *View) Ask(relay int, call string) ([]string, error) {
	c, err := net.DialTimeout("tcp", v.r.ports.staffAddr(relay), time.Second)
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

// Check returns an error if processes cannot play a fault of this kind.
func Check(f *fault.Fault) error {
	if _, ok := kinds[f.Kind]; !ok {
		return fmt.Errorf("processes can't play %q", f.Kind)
	}
	return nil
}

// Run plays a script on processes. It returns once all that it started has ended. A run whose faults did nothing, or
// which the rig could not play, is an error.
func Run(ctx context.Context, opt Options) (res Result, err error) {
	if opt, err = playable(opt); err != nil {
		return res, err
	}
	r := newRig(ctx, opt)
	defer r.cancel()
	if r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "fleet"); err != nil {
			return res, err
		}
		defer func() { _ = os.RemoveAll(r.dir) }() // in the system's folder for temporary files
	}
	r.nursery = newNursery()
	defer r.shutDown()
	if err := r.build(); err != nil {
		return res, err
	}
	if err := r.bringAll(); err != nil {
		return res, err
	}
	res = Result{Program: opt.Program, Seed: opt.Seed, Ready: r.now() - r.epoch}
	if err := r.play(&res); err != nil {
		return res, err
	}
	select {
	case err := <-r.errs:
		return res, err
	default:
	}
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	return res, idle(res.Faults)
}

// playable checks that the rig can play what is asked, and makes the path of the program absolute.
func playable(opt Options) (Options, error) {
	f := &opt.Fleet
	if f.Relays < 1 || f.Relays > maxRelays || f.Backends < 1 || f.Backends > maxBackends {
		return opt, fmt.Errorf("%d relays and %d backends: 1 to %d and 1 to %d can be played", f.Relays, f.Backends, maxRelays, maxBackends)
	}
	if err := fits(f.Relays, f.Clients); err != nil {
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
	for i := range opt.Script {
		if err := Check(&opt.Script[i]); err != nil {
			return opt, err
		}
	}
	return opt, nil
}

// newRig is a rig that has started nothing yet.
func newRig(ctx context.Context, opt Options) *rig {
	r := &rig{opt: opt, start: time.Now(), ways: newWays(opt.Seed), counts: map[string]int{}, out: map[string]*session{},
		dice: rand.New(rand.NewPCG(opt.Seed, 0xf1ee7)), errs: make(chan error, 16),
		hist: hdrhistogram.New(1, 60_000_000, 3), dir: opt.Keep}
	r.epoch = time.Duration(r.start.UnixNano())
	r.ctx, r.cancel = context.WithCancel(ctx)
	return r
}

// shutDown ends all that was started. What relays do from here on is not held against them.
func (r *rig) shutDown() {
	r.checked(func() {
		for i := range r.relays {
			r.check.RelayStopped(i)
		}
	})
	r.cancel()
	r.nursery.close()
	r.ports.giveBack()
	for _, b := range r.backends {
		b.stop(false)
		for _, end := range []func(){b.wall, b.free} {
			if end != nil {
				end()
			}
		}
	}
}

// idle is an error that names the faults that did nothing; nil: each did something.
func idle(faults []Effect) (err error) {
	for i := range faults {
		if f := &faults[i]; len(f.Did) == 0 {
			err = errors.Join(err, fmt.Errorf("%s: the fault %q at %v did nothing", where(&f.Fault), f.Kind, f.Start))
		}
	}
	return err
}

// where names the line of a script for a message.
func where(f *fault.Fault) string {
	if f.ScriptLine == 0 {
		return "script"
	}
	return fmt.Sprintf("script line %d", f.ScriptLine)
}

// build opens the rig's sockets and sets up what stands around the relays.
func (r *rig) build() (err error) {
	f := &r.opt.Fleet
	if r.ports, err = newPorts(); err != nil {
		return err
	}
	post, port, err := newPost(r)
	if err != nil {
		return err
	}
	r.ports.datagram = port
	lc := net.ListenConfig{Control: control}
	agents, err := lc.Listen(r.ctx, "tcp4", "0.0.0.0:0")
	if err != nil {
		post.close()
		return err
	}
	r.ports.agent = agents.Addr().(*net.TCPAddr).Port
	r.tally = newTally(f.Relays, f.Backends+16, r)
	r.check = invariant.New(rulesOf(f), f.Relays, r.now, func(d time.Duration, do func()) { r.in(d, func() { r.checked(do) }) })
	for i := range f.Relays {
		r.relays = append(r.relays, &relay{number: i, dir: filepath.Join(r.dir, fmt.Sprintf("n%03d", i))})
	}
	r.catalog = newCatalog(r, f.Relays)
	r.front = newFront(r)
	go post.serve(r.ctx)
	go func() {
		if err := r.catalog.server.Serve(agents); !errors.Is(err, http.ErrServerClosed) && r.ctx.Err() == nil {
			r.fail(fmt.Errorf("discovery: %w", err))
		}
	}()
	context.AfterFunc(r.ctx, func() {
		post.close()
		_ = r.catalog.server.Close()
	})
	for range f.Backends {
		r.addBackend(false)
	}
	return nil
}

// addBackend brings one more up: cold in the run, warm before it.
func (r *rig) addBackend(cold bool) *backend {
	sizes := r.opt.Fleet.BackendSizes
	r.mu.Lock()
	n, size := len(r.backends), 1.0
	if len(sizes) > 0 {
		size = sizes[n%len(sizes)]
	}
	b := r.newBackend(n, size)
	r.backends = append(r.backends, b)
	r.mu.Unlock()
	r.checked(func() { r.check.AddBackend(b.name, b.number%2) })
	b.launch(cold)
	return b
}

// bringAll starts all relays but those that a fault starts late, and waits until they take clients.
func (r *rig) bringAll() error {
	for _, f := range r.opt.Script {
		if f.Kind == "relays start late" {
			for _, i := range hit(&f, len(r.relays)) {
				r.relays[i].down = true
			}
		}
	}
	began := time.Now()
	var wanted []*relay
	for _, x := range r.relays {
		if !x.down {
			if err := r.bring(x); err != nil {
				return err
			}
			wanted = append(wanted, x)
		}
	}
	for _, x := range wanted {
		for !r.ready(x) {
			if !x.proc.running() {
				return fmt.Errorf("relay %d ended before it was ready: %w; its log ends with %s", x.number, x.proc.err, tail(x.proc.log))
			}
			if time.Since(began) > readyWithin {
				return fmt.Errorf("relay %d is not ready after %v; its log ends with %s", x.number, readyWithin, tail(x.proc.log))
			}
			if !wait(r.ctx, 20*time.Millisecond) {
				return r.ctx.Err()
			}
		}
		r.front.set(x.number, true)
	}
	return nil
}

func (r *rig) ready(x *relay) bool { return ping(r.ports.relayAddr(x.number), time.Second) }

// tail is the end of a log, for a message.
func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return "nothing"
	}
	return string(text[max(0, len(text)-400):])
}

// bring starts a relay's process.
func (r *rig) bring(x *relay) error {
	if err := os.MkdirAll(filepath.Join(x.dir, "tmp"), 0o700); err != nil {
		return err
	}
	f := &r.opt.Fleet
	var peers []string
	if f.Gossip {
		for j := range r.relays {
			peers = append(peers, r.ports.peerAddr(x.number, j))
		}
	}
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], r.opt.Seed<<20|uint64(x.number)+1)
	config := map[string]any{"name": fmt.Sprintf("n%03d", x.number), "listen": r.ports.relayAddr(x.number),
		"discovery": r.ports.agentAddr(x.number), "seed": fmt.Sprintf("%x", seed), "settings": settingsOf(f, x.number),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 1024},
		"peer_listen": r.ports.peerListen(x.number), "peers": peers, "peers_all": r.ports.everyAddr(x.number)}
	if f.Membership {
		config["membership"] = map[string]any{"fleet": "rig"}
		config["management"] = r.ports.staffAddr(x.number)
	}
	path, err := writeConfig(x.dir, config)
	if err != nil {
		return err
	}
	r.checked(func() { r.check.RelayStarted(x.number, r.ports.agentAddr(x.number), nil) })
	p, err := r.nursery.start(r.programOf(x), x.dir, x.number, []string{"PROXY_CONFIG=" + path, "TMPDIR=" + filepath.Join(x.dir, "tmp"), "PATH=/usr/bin:/bin"})
	if err != nil {
		return err
	}
	r.mu.Lock()
	x.proc, x.down, x.paused = p, false, false
	r.mu.Unlock()
	go func() {
		<-p.ended
		r.mu.Lock()
		killed := p.killed
		r.mu.Unlock()
		if !killed && r.ctx.Err() == nil {
			r.checked(func() { r.check.RelayStopped(x.number) })
			r.fail(fmt.Errorf("relay %d ended by itself: %w; its log ends with %s", x.number, p.err, tail(p.log)))
		}
	}()
	return nil
}

// programOf is the program that the relay's next process runs.
func (r *rig) programOf(x *relay) string {
	r.mu.Lock()
	start := x.starts
	x.starts++
	r.mu.Unlock()
	if r.opt.ProgramOf == nil {
		return r.opt.Program
	}
	return r.opt.ProgramOf(x.number, start)
}

// kill ends a relay's process at once.
func (r *rig) kill(x *relay) bool {
	r.mu.Lock()
	p := x.proc
	ok := p != nil && !x.down && p.running()
	if ok {
		x.down, p.killed = true, true
	}
	r.mu.Unlock()
	if !ok {
		return false
	}
	r.checked(func() { r.check.RelayStopped(x.number) })
	p.signal(syscall.SIGKILL)
	<-p.ended
	r.front.lost(x.number)
	return true
}

// leave asks a relay to end, and reports once it has.
func (r *rig) leave(x *relay, then func()) bool {
	r.mu.Lock()
	p := x.proc
	ok := p != nil && !x.down && p.running()
	if ok {
		x.down, p.killed = true, true
	}
	r.mu.Unlock()
	if !ok {
		return false
	}
	r.in(r.ways.between(200*time.Millisecond, 400*time.Millisecond), func() { r.front.set(x.number, false) })
	p.signal(syscall.SIGTERM)
	r.in(3700*time.Millisecond, func() { p.signal(syscall.SIGKILL) })
	go func() {
		<-p.ended
		r.checked(func() { r.check.RelayStopped(x.number) })
		if r.ctx.Err() == nil {
			then()
		}
	}()
	return true
}

// revive starts a relay again and has the front take it once it is ready.
func (r *rig) revive(x *relay) {
	if err := r.bring(x); err != nil {
		r.fail(err)
		return
	}
	began := time.Now()
	for !r.ready(x) {
		if time.Since(began) > readyWithin {
			r.fail(fmt.Errorf("relay %d is not ready %v after it was started again; its log ends with %s", x.number, readyWithin, tail(x.proc.log)))
			return
		}
		if !wait(r.ctx, 50*time.Millisecond) {
			return
		}
	}
	r.front.set(x.number, true)
}

// pause stops a relay's process, or lets it go on.
func (r *rig) pause(x *relay, on bool) bool {
	r.mu.Lock()
	p := x.proc
	ok := p != nil && !x.down && x.paused != on
	if ok {
		x.paused = on
	}
	r.mu.Unlock()
	if !ok {
		return false
	}
	if on {
		r.checked(func() { r.check.SetRelayPaused(x.number, true) })
		p.signal(syscall.SIGSTOP)
		r.front.lost(x.number)
		return true
	}
	p.signal(syscall.SIGCONT)
	r.checked(func() { r.check.SetRelayPaused(x.number, false) })
	r.in(300*time.Millisecond, func() { r.front.set(x.number, true) })
	return true
}

// play has the run take its course and sums it up.
func (r *rig) play(res *Result) error {
	r.began.Store(int64(r.now()))
	before := r.usages()
	r.clients.begin(r)
	var ends []func()
	r.mu.Lock()
	r.effects = make([]Effect, len(r.opt.Script))
	r.mu.Unlock()
	for i := range r.opt.Script {
		ends = append(ends, r.happen(i))
	}
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	over := time.NewTimer(r.opt.Length)
	defer over.Stop()
	if r.opt.Look != nil {
		defer r.look()()
	}
	if err := r.course(res, sweep.C, over.C); err != nil {
		return err
	}
	length := r.since()
	after := r.usages()
	for _, end := range ends {
		end()
	}
	r.clients.stop()
	r.sumUp(res, length)
	res.Usage = usageOf(before, after, length)
	return nil
}

// look has somebody look at the run while it takes its course; what it returns waits for the last look to end.
func (r *rig) look() (ended func()) {
	looked := make(chan struct{})
	go func() {
		defer close(looked)
		for wait(r.ctx, 100*time.Millisecond) && r.since() < r.opt.Length {
			r.opt.Look(&View{r})
		}
	}()
	return func() { <-looked }
}

// course measures second by second until the run is over, cancelled or in trouble of the rig's own.
func (r *rig) course(res *Result, sweep, over <-chan time.Time) error {
	last := r.total()
	for {
		select {
		case <-sweep:
			r.checked(r.check.CheckOverdue)
			res.Service = append(res.Service, r.clients.measure())
			now := r.total()
			res.Machine = append(res.Machine, (now - last).Seconds())
			last = now
		case <-over:
			return nil
		case <-r.ctx.Done():
			return r.ctx.Err()
		case err := <-r.errs:
			return err
		}
	}
}

// sumUp writes the books of a run of a length into its result.
func (r *rig) sumUp(res *Result, length time.Duration) {
	r.mu.Lock()
	res.Faults = slices.Clone(r.effects)
	res.Counts, res.Attempts = r.counts, r.attempts
	res.Waits = Waits{r.hist.TotalCount(), float64(r.hist.ValueAtQuantile(50)) / 1000, float64(r.hist.ValueAtQuantile(99)) / 1000,
		float64(r.hist.ValueAtQuantile(99.9)) / 1000, float64(r.hist.Max()) / 1000}
	r.mu.Unlock()
	r.logged(func(l *loadstats.Recorder) { res.Evenness = l.PerSecond(length.Truncate(time.Second)) })
	r.checked(func() {
		for _, b := range r.check.Violations {
			res.Violations = append(res.Violations, b.String())
		}
		for what, n := range r.check.Counts {
			res.Counts[what] += n
		}
	})
	res.Rates = r.tally.rates(length)
}

// usages are what relays' processes have used; nil for one that doesn't run.
func (r *rig) usages() map[*process]usage {
	out := map[*process]usage{}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.relays {
		if x.proc != nil && !x.down {
			if u, err := x.proc.usage(); err == nil {
				out[x.proc] = u
			}
		}
	}
	return out
}

// total is the processor time of all processes that run.
func (r *rig) total() (sum time.Duration) {
	for _, u := range r.usages() {
		sum += u.cpu
	}
	return sum
}

// usageOf sums up what the processes used that ran from beginning to end.
func usageOf(before, after map[*process]usage, length time.Duration) (u Usage) {
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
	return Usage{cpu[len(cpu)/2], cpu[len(cpu)-1], mem[len(mem)/2], mem[len(mem)-1]}
}
