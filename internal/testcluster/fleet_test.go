package testcluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/loadstats"
	"aspenbarrow/internal/simulation"
)

var program string

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	if p := os.Getenv("TESTCLUSTER_TEST_PROGRAM"); p != "" { // a cluster that is to be killed
		_, err := Run(context.Background(), Options{Program: p, Seed: 1, Duration: time.Minute, Fleet: smallCluster(6, 3, 12)})
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "fleet-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }() // in the system's folder for temporary files
	if program, err = Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// smallCluster is a fleet that a test can afford; its clients fill its backends to six tenths.
func smallCluster(relays, backends, clients int) simulation.Fleet {
	f := simulation.Fleet{Relays: relays, Backends: backends, Clients: clients, SetUpWork: 0.004, LineWork: 0.0005, Peers: true,
		Rush: time.Second, Stay: [2]time.Duration{8 * time.Second, 30 * time.Second}, Return: 200 * time.Millisecond,
		Server: emulator.Config{Cores: 4, Speed: 1, MaxRequests: 200, Backlog: 128, ColdCapacity: coldCapacity, WarmUpTime: warmUpTime, ColdCrashFactor: overloadFactor,
			ColdCrashWindow: overloadWindow, ReportInterval: 500 * time.Millisecond, ReportNoise: 0.03}}
	usual := float64(clients) / float64(backends)
	f.Server.WarmRequestRate = max(4, usual/3)
	f.ConnLoad = 0.6 * f.Server.Cores / usual
	return f
}

func runCluster(t *testing.T, o Options) Result {
	t.Helper()
	o.Program = program
	if o.Seed == 0 {
		o.Seed = 1
	}
	res, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Violations {
		t.Error("broken:", b)
	}
	return res
}

func servedShare(res Result, from, to int) float64 {
	asked, served := 0.0, 0.0
	for _, s := range res.Service[from:min(to, len(res.Service))] {
		asked, served = asked+s.Asked, served+s.Served
	}
	return served / asked
}

// Each hard case is played by two fleets on the same seed: as it is, and with backends that report nothing, so that T is
// each relay's own again. The first has to be much more even; the second shows that the case is hard.
func TestCluster_BalancesLoadAcrossRelays(t *testing.T) {
	const relays, backends, clients = 40, 12, 360
	half := make([]int, relays/2)
	for i := range half {
		half[i] = i
	}
	for _, tc := range []struct {
		name   string
		change func(f *simulation.Fleet)
		script []fault.Fault
		from   int     // second from which it is measured
		most   float64 // of the deviation over the other fleet's
		hard   float64 // the other fleet's deviation at least
	}{
		{name: "all relays start in one second", from: 8, most: 0.75, hard: 0.12},
		{name: "all reports are of the same moment", from: 8, most: 0.85, hard: 0.12, change: func(f *simulation.Fleet) { f.Server.ReportInterval = 3 * time.Second }},
		{name: "one relay has a fifth of the traffic", from: 8, most: 0.75, hard: 0.12, change: func(f *simulation.Fleet) { f.HotRelay = 0.2 }},
		{name: "one key has a fifth of the traffic", from: 8, most: 0.5, hard: 0.4, change: func(f *simulation.Fleet) { f.HotKey = 0.2 }},
		{name: "half of the relays die, their clients return at once", from: 10, most: 0.8, hard: 0.12,
			script: []fault.Fault{{Kind: "relays die together", Start: 8 * time.Second, Duration: 4 * time.Second, Targets: half}}},
		{name: "sizes of one and three that no list tells", from: 8, most: 0.6, hard: 0.3, change: func(f *simulation.Fleet) { f.Sizes = []float64{0.5, 1.5} }},
		{name: "half of the reports late", from: 8, most: 0.8, hard: 0.12, change: func(f *simulation.Fleet) { f.LateShare, f.LateBy = 0.5, 2*time.Second }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var e [2]loadstats.Summary
			var res [2]Result
			for i := range e {
				f := smallCluster(relays, backends, clients)
				if tc.change != nil {
					tc.change(&f)
				}
				f.Silent = i == 1
				res[i] = runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: tc.script, Seed: 2})
				e[i] = loadstats.Summarize(res[i].Evenness, tc.from)
			}
			t.Logf("deviation %.3f, %.3f without reports, hashing %.3f; least %.2f and %.2f, most %.2f and %.2f", e[0].Variation, e[1].Variation,
				e[0].HashingVariation, e[0].LowestOverMean, e[1].LowestOverMean, e[0].MaxOverMean, e[1].MaxOverMean)
			if e[0].Variation > tc.most*e[1].Variation || e[1].Variation < tc.hard {
				t.Errorf("deviation %.3f, without reports %.3f", e[0].Variation, e[1].Variation)
			}
			if e[0].IdleSeconds > 0 {
				t.Errorf("backends are idle for %.1f s", e[0].IdleSeconds)
			}
			if herd := loadstats.Summarize(res[0].Evenness, 0); herd.HerdRatio > 1.6*max(herd.HashingHerdRatio, 1) {
				t.Errorf("a herd of %.2f times its part, hashing makes %.2f", herd.HerdRatio, herd.HashingHerdRatio)
			}
			if s := servedShare(res[0], 3, 20); s < 0.9 {
				t.Errorf("service %.3f", s)
			}
		})
	}
}

// Relays whose backends are far away bring each connection up later than half of what its class wants, and quicker than
// the settings let a way be. Nothing is wrong with any backend, so nobody is refused for it.
func TestCluster_LongLinkDelayCausesNoRefusals(t *testing.T) {
	t.Parallel()
	// Up after four times the delay: the opening's way there and back, the line's and its answer's.
	far := &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Backends}, Bidirectional: true, Delay: 52 * time.Millisecond}
	fleet := smallCluster(10, 8, 120)
	fleet.Stay = [2]time.Duration{time.Second, 3 * time.Second}
	res := runCluster(t, Options{Duration: 15 * time.Second, Fleet: fleet, Faults: []fault.Fault{{Kind: "link", Start: time.Second, Duration: 13 * time.Second, Link: far}}})
	t.Logf("%d served, %d refused, %d failed", res.Counts["served"], res.Counts["refused"], res.Counts["failed"])
	if served, refused := res.Counts["served"], res.Counts["refused"]; served < 500 || 2*refused > served {
		t.Errorf("%d refused beside %d served, though all backends are well", refused, served)
	}
}

// A backend that fails at once holds nothing and says that it is empty. It must not draw what others would get.
func TestCluster_FastFailingBackendAttractsNoHerd(t *testing.T) {
	t.Parallel()
	res := runCluster(t, Options{Duration: 15 * time.Second, Fleet: smallCluster(40, 12, 360), Faults: []fault.Fault{
		{Kind: "backends failing fast", Start: 4 * time.Second, Duration: 10 * time.Second, Targets: []int{5}, Severity: 1}}})
	others := 0
	for i, n := range res.Attempts {
		if i != 5 {
			others += n
		}
	}
	t.Logf("attempts %v, waits %+v", res.Attempts, res.ConnectLatency)
	if n, part := float64(res.Attempts[5]), float64(others)/11; n > 2*part {
		t.Errorf("the broken one got %v attempts, the others %.0f each", n, part)
	}
	if s := servedShare(res, 3, 15); s < 0.9 {
		t.Errorf("service %.3f", s)
	}
}

// Empty backends that join fill up without being pushed over.
func TestCluster_NewBackendsFillWithoutOverload(t *testing.T) {
	t.Parallel()
	res := runCluster(t, Options{Duration: 28 * time.Second, Fleet: smallCluster(30, 10, 300), Faults: []fault.Fault{
		{Kind: "backends start", Start: 5 * time.Second, Duration: 20 * time.Second, Severity: 0.4}}})
	last := res.Evenness[len(res.Evenness)-1]
	t.Logf("%+v %v", last.Loads, res.Counts["cold backend fell over"])
	if res.Counts["cold backend fell over"] != 0 {
		t.Error("a cold backend was pushed over")
	}
	for _, v := range last.Loads[10:] {
		if v < last.MeanLoad*0.5 || v > last.MeanLoad*1.5 {
			t.Errorf("23 s after its start one has %.2f where the mean is %.2f", v, last.MeanLoad)
		}
	}
}

// What each kind of fault really does, between processes that serve.
func TestCluster_FaultsTakeEffect(t *testing.T) {
	all := func(kind fault.NodeKind) fault.NodeSet { return fault.NodeSet{Kind: kind} }
	some := func(kind fault.NodeKind, who ...int) fault.NodeSet { return fault.NodeSet{Kind: kind, Indexes: who} }
	for _, tc := range []struct {
		name  string
		fault fault.Fault
		did   string // has to be among what it did
		least int
		check func(t *testing.T, res Result)
	}{
		{"relays paused", fault.Fault{Kind: "relays paused", Targets: []int{0, 1}}, "struck", 2, func(t *testing.T, res Result) {
			if servedShare(res, 9, 11) < 0.95 {
				t.Errorf("service %.3f after the pause", servedShare(res, 9, 11))
			}
		}},
		{"relays killed", fault.Fault{Kind: "relays die together", Targets: []int{0, 1, 2}}, "struck", 3, func(t *testing.T, res Result) {
			if res.Counts["connection lost"] == 0 {
				t.Error("nobody lost a connection")
			}
		}},
		{"relays leave", fault.Fault{Kind: "relays leave", Targets: []int{0, 1}}, "struck", 2, func(t *testing.T, res Result) {
			if res.Counts["moved"] == 0 || res.Counts["connection lost"] > 0 {
				t.Errorf("%d moved, %d connections lost", res.Counts["moved"], res.Counts["connection lost"])
			}
		}},
		{"relays to backends one way", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0, 1), To: all(fault.Backends), Partitioned: true}}, "held", 5, nil},
		{"backends to relays one way", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Backends), To: some(fault.Relays, 0), Partitioned: true}}, "held", 3, nil},
		{"slow way to clients", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Clients), Delay: 200 * time.Millisecond}}, "delayed", 50,
			func(t *testing.T, res Result) {
				if s := servedShare(res, 5, 7); s > 0.5 {
					t.Errorf("service %.3f though every line is late", s)
				}
			}},
		// Nobody waits so long: each of these requests is given up before its line is there.
		{"way to backends slower than clients wait", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0, 1), To: all(fault.Backends), Delay: 4 * time.Second}}, "delayed", 5, nil},
		{"lossy way to backends", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Relays), To: all(fault.Backends), Bidirectional: true, LossRate: 0.3}}, "datagrams lost", 20, nil},
		{"discovery held", fault.Fault{Kind: "list out", Targets: []int{0, 1, 2}}, "struck", 3, nil},
		{"backends vanish", fault.Fault{Kind: "backends vanished", Targets: []int{1}}, "struck", 1, func(t *testing.T, res Result) {
			// Back and cold under its old name it may get what relays take it for warm for, and fall over.
			last := res.Evenness[len(res.Evenness)-1].Loads[1]
			if during := res.Evenness[5].Loads[1]; during != -1 || last < 0 && res.Counts["cold backend fell over"] == 0 {
				t.Errorf("its load is %v and then %v", during, last)
			}
		}},
		{"backends die", fault.Fault{Kind: "backends die", Targets: []int{1}}, "struck", 1, nil},
		{"backends pause", fault.Fault{Kind: "backends paused", Targets: []int{1}}, "struck", 1, nil},
		{"relays start late", fault.Fault{Kind: "relays start late", Targets: []int{0, 1, 2, 3}}, "struck", 4, func(t *testing.T, res Result) {
			if s := servedShare(res, 2, 12); s < 0.9 {
				t.Errorf("service %.3f", s)
			}
		}},
		{"rolling restart", fault.Fault{Kind: "rolling restart", Targets: []int{0, 1, 2}}, "struck", 3, nil},
		{"datagrams held and let go", fault.Fault{Kind: "link", Link: &fault.Link{From: some(fault.Relays, 0), To: all(fault.Backends), Buffered: true}}, "held", 1, nil},
		{"clients cut from a relay", fault.Fault{Kind: "link", Link: &fault.Link{From: all(fault.Clients), To: some(fault.Relays, 0, 1), Partitioned: true}}, "held", 1, nil},
		{"list differs", fault.Fault{Kind: "list differs", Targets: []int{0, 1}}, "struck", 2, nil},
		{"list late", fault.Fault{Kind: "list late", Severity: 0.2}, "struck", 8, nil},
		{"burst", fault.Fault{Kind: "burst", Severity: 0.5}, "struck", 40, func(t *testing.T, res Result) {
			if a, b := res.Evenness[3].MeanLoad, res.Evenness[5].MeanLoad; b < 1.2*a {
				t.Errorf("load %.2f, in the burst %.2f", a, b)
			}
		}},
		{"backends slow", fault.Fault{Kind: "backends slow", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends reset", fault.Fault{Kind: "backends resetting", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends full", fault.Fault{Kind: "backends full", Targets: []int{2}, Severity: 0.5}, "struck", 1, nil},
		{"backends drain", fault.Fault{Kind: "backends drain", Targets: []int{2}}, "struck", 1, func(t *testing.T, res Result) {
			if res.Counts["moved"] == 0 {
				t.Error("nobody was moved off")
			}
		}},
		{"zone cut off", fault.Fault{Kind: "zone cut off", Severity: 0.2}, "struck", 3, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := tc.fault
			f.Start, f.Duration = 4*time.Second, 3*time.Second
			res := runCluster(t, Options{Duration: 12 * time.Second, Fleet: smallCluster(8, 6, 80), Faults: []fault.Fault{f}})
			if got := res.Faults[0]; got.Counts[tc.did] < tc.least || got.StartedAt < 3900*time.Millisecond || got.EndedAt < got.StartedAt+2*time.Second {
				t.Errorf("it did %v from %v to %v", got.Counts, got.StartedAt, got.EndedAt)
			}
			if tc.check != nil {
				tc.check(t, res)
			}
		})
	}
}

func TestRun_RejectsFaultWithoutEffect(t *testing.T) {
	t.Parallel()
	_, err := Run(context.Background(), Options{Program: program, Seed: 1, Duration: 3 * time.Second, Fleet: smallCluster(2, 3, 6), Faults: []fault.Fault{
		{Kind: "link", Start: time.Second, Duration: time.Second, ScriptLine: 17, Link: &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Relays}, LossRate: 1}}}})
	if err == nil || !strings.Contains(err.Error(), "line 17") || !strings.Contains(err.Error(), "did nothing") {
		t.Errorf("a cut where nothing passes: %v", err)
	}
}

func TestRun_ValidatesOptionsBeforeStart(t *testing.T) {
	script := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho no such limit >&2; exit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		opt  Options
		want string
	}{
		{"descriptors", Options{Program: program, Fleet: smallCluster(300, 90, 1<<20)}, "relays fit"},
		{"memory", Options{Program: program, Fleet: smallCluster(maxRelays, 10, 100)}, "fit"},
		{"too many", Options{Program: program, Fleet: smallCluster(maxRelays+1, 10, 100)}, "can be played"},
		{"no program", Options{Program: filepath.Join(t.TempDir(), "none"), Fleet: smallCluster(2, 2, 4)}, "no such file"},
		{"not executable", Options{Program: t.TempDir(), Fleet: smallCluster(2, 2, 4)}, "cannot be executed"},
		{"it does not start", Options{Program: script, Fleet: smallCluster(2, 2, 4)}, "no such limit"},
		{"unknown fault", Options{Program: program, Fleet: smallCluster(2, 2, 4), Faults: []fault.Fault{{Kind: "shared dependency slow"}}}, "can't play"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.name == "memory" && availableKB() > int64(maxRelays)*24<<10 {
				t.Skip("this machine bears as many")
			}
			tc.opt.Duration = time.Second
			_, err := Run(context.Background(), tc.opt)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("told %v, wanted is %q", err, tc.want)
			}
		})
	}
}

// processesRunning finds processes that run a program.
func processesRunning(t *testing.T, program string) (pids []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && to == program {
			pids = append(pids, l)
		}
	}
	return pids
}

// waitFor polls until something holds, for ten seconds at most.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); {
		if time.Now().After(end) {
			t.Fatal(what)
		}
		sleepContext(context.Background(), 20*time.Millisecond)
	}
}

// copyProgram is a copy of the program, so that no other test's processes are seen.
func copyProgram(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "relay")
	if err := os.WriteFile(path, text, 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestRun_LeavesNoProcesses(t *testing.T) {
	t.Run("cancelled, with some of them paused", func(t *testing.T) {
		t.Parallel()
		p := copyProgram(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		ended := make(chan error, 1)
		go func() {
			_, err := Run(ctx, Options{Program: p, Seed: 1, Duration: time.Minute, Fleet: smallCluster(6, 3, 12),
				Faults: []fault.Fault{{Kind: "relays paused", Start: 100 * time.Millisecond, Duration: 30 * time.Second, Targets: []int{1, 2}}}})
			ended <- err
		}()
		waitFor(t, "six relays do not run", func() bool { return len(processesRunning(t, p)) == 6 })
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("a cancelled run: %v", err)
		}
		if n := processesRunning(t, p); len(n) != 0 {
			t.Errorf("left: %v", n)
		}
	})
	t.Run("the cluster is killed", func(t *testing.T) {
		t.Parallel()
		p := copyProgram(t)
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "TESTCLUSTER_TEST_PROGRAM="+p)
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "six relays do not run", func() bool { return len(processesRunning(t, p)) == 6 })
		if err := c.Process.Signal(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		_ = c.Wait()
		waitFor(t, "relays run though their cluster was killed", func() bool { return len(processesRunning(t, p)) == 0 })
	})
}

func TestBlackhole_AcceptsNoConnections(t *testing.T) {
	lc := net.ListenConfig{Control: prepareWildcardSocket}
	l, err := lc.Listen(context.Background(), "tcp4", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	behind := netip.AddrPortFrom(loopbackAddress(backendNet, 7<<backendBits|3), uint16(port))
	end, err := blackhole(behind)
	if err != nil {
		t.Fatal(err)
	}
	if c, err := net.DialTimeout("tcp", behind.String(), 300*time.Millisecond); err == nil {
		c.Close()
		t.Error("a connection came up across a cut")
	}
	other := hostPort(loopbackAddress(backendNet, 7<<backendBits|4), port)
	c, err := net.DialTimeout("tcp", other, time.Second)
	if err != nil {
		t.Errorf("the next pair is cut as well: %v", err)
	} else {
		c.Close()
	}
	end()
	if c, err = net.DialTimeout("tcp", behind.String(), time.Second); err != nil {
		t.Errorf("after the cut: %v", err)
	} else {
		c.Close()
	}
}

func TestLoopbackAddress_IsUniquePerPair(t *testing.T) {
	seen := map[netip.Addr]string{}
	for _, r := range []int{0, 1, 255, 256, maxRelays - 1} {
		for _, b := range []int{0, 1, 255, 256, maxBackends - 1} {
			a := loopbackAddress(backendNet, r<<backendBits|b)
			if gr, gb, ok := backendPair(a); !ok || gr != r || gb != b || !a.IsLoopback() {
				t.Errorf("%v is %d, %d", a, gr, gb)
			}
			if was := seen[a]; was != "" {
				t.Errorf("%v twice: %s", a, was)
			}
			seen[a] = fmt.Sprint(r, b)
			if b < maxRelays {
				p := loopbackAddress(peerNet, r<<peerBits|b)
				if n, ok := indexInNet(p, peerNet); !ok || n>>peerBits != r || n&(1<<peerBits-1) != b || seen[p] != "" {
					t.Errorf("peers %d, %d: %v", r, b, p)
				}
				seen[p] = fmt.Sprint("peer ", r, b)
			}
		}
		for _, net := range []int{relayNet, discoveryNet, broadcastNet} {
			if seen[loopbackAddress(net, r)] != "" {
				t.Errorf("%v is a pair's too", loopbackAddress(net, r))
			}
		}
	}
}

func TestLinkFaults_AffectDatagrams(t *testing.T) {
	links := newLinkFaults(1)
	a, b := node{fault.Relays, 1}, node{fault.Relays, 2}
	count := func(l fault.Link) (arrived, late int, did map[string]int) {
		l.From, l.To = fault.NodeSet{Kind: fault.Relays, Indexes: []int{1}}, fault.NodeSet{Kind: fault.Relays}
		counters := &effectCounters{}
		end := links.inject(&l, counters)
		defer end()
		for range 1000 {
			times, _ := links.datagramDelays(a, b)
			arrived += len(times)
			for _, x := range times {
				if x > 0 {
					late++
				}
			}
			if back, _ := links.datagramDelays(b, a); len(back) != 1 || back[0] != 0 {
				t.Fatal("the other way is in trouble as well")
			}
		}
		return arrived, late, counters.counts()
	}
	if n, _, did := count(fault.Link{Partitioned: true}); n != 0 || did["datagrams lost"] != 1000 {
		t.Errorf("a cut let %d pass: %v", n, did)
	}
	if n, _, _ := count(fault.Link{LossRate: 0.2}); n < 750 || n > 850 {
		t.Errorf("%d of 1000 at a loss of a fifth", n)
	}
	if n, _, did := count(fault.Link{DuplicateRate: 0.1}); n < 1070 || n > 1130 || did["datagrams doubled"] != n-1000 {
		t.Errorf("%d of 1000, a tenth doubled: %v", n, did)
	}
	if n, late, _ := count(fault.Link{ReorderRate: 0.3}); n != 1000 || late < 250 || late > 350 {
		t.Errorf("%d, %d late", n, late)
	}
	if times, held := links.datagramDelays(a, b); len(times) != 1 || held != nil {
		t.Error("trouble that is over")
	}
}

// A quarter of the backends fails more than half of what they get. What may not be repeated is lost by each of those, and
// each of forty relays would find them out by a few of its own: it goes by what they report instead. So does a class that
// waits no longer than a connection may take to come up: it has the time to ask all the same.
func TestCluster_NonIdempotentRequestsAvoidFailingBackends(t *testing.T) {
	for _, tc := range []struct {
		name    string
		connect time.Duration
	}{{"as usual", 0}, {"a connection may take as long as the class waits", 3 * time.Second}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := smallCluster(40, 12, 360)
			f.Stay, f.ConnectTimeout = [2]time.Duration{2 * time.Second, 6 * time.Second}, tc.connect
			res := runCluster(t, Options{Duration: 20 * time.Second, Fleet: f, Faults: []fault.Fault{
				{Kind: "backends failing fast", Start: 4 * time.Second, Duration: 14 * time.Second, Targets: []int{2, 5, 9}, Severity: 0.3}}})
			lost, asked, errs := res.Counts["failed submit"], res.Counts["request submit"], res.Counts["backend said ERR"]
			t.Logf("%d of %d that may not be repeated failed, %d errors in all, attempts %v", lost, asked, errs, res.Attempts)
			if asked < 300 || errs < 50 {
				t.Errorf("%d requests, %d errors: the case is not hard", asked, errs)
			}
			if 13*lost > asked {
				t.Errorf("%d of %d requests that may not be repeated failed", lost, asked)
			}
		})
	}
}

// Half of the backends go and two start: those that are left are full, and few of the clients' keys are at home at the new ones,
// which are cold. Left to those keys, cold backends would stay empty while the others drop what they hold. None falls over.
func TestCluster_ColdBackendsTakeOverflow(t *testing.T) {
	t.Parallel()
	f := smallCluster(60, 10, 300)
	f.Stay = [2]time.Duration{4 * time.Second, 12 * time.Second}
	res := runCluster(t, Options{Duration: 14 * time.Second, Fleet: f, Faults: []fault.Fault{
		{Kind: "backends start", Start: 4 * time.Second, Duration: 9 * time.Second, Severity: 0.5},
		{Kind: "backends drain", Start: 4500 * time.Millisecond, Duration: 9 * time.Second, Targets: []int{0, 1, 2, 3, 4}}}})
	sent := res.Counts["sent to a cold backend"]
	loads := res.Evenness[11].Loads
	t.Logf("%d calls to cold backends, %d fell over; loads after seven seconds %.2f; service %.3f", sent, res.Counts["cold backend fell over"], loads, servedShare(res, 6, 13))
	if res.Counts["cold backend fell over"] != 0 {
		t.Error("a cold backend was pushed over")
	}
	if sent < 56 {
		t.Errorf("%d calls came to the cold backends while the others were full", sent)
	}
}

// Three in ten backends start cold while all clients are at hand, and half of the relays are killed and come again at once
// meanwhile, knowing nothing. What all processes send together stays within what a cold backend bears, at a budget of about
// 5, 20 and 100 calls in a span, without any allowance for chance. Little of the room is used where a backend bears few calls.
func TestCluster_SlowStartHoldsAcrossRelays(t *testing.T) {
	for _, tc := range []struct {
		relays int
		calls  float64 // that a backend bears in a span when it has just started
		least  int     // calls to cold ones
	}{{20, 5, 0}, {30, 20, 2}, {20, 100, 60}} {
		t.Run(fmt.Sprintf("%d relays, %.0f calls", tc.relays, tc.calls), func(t *testing.T) {
			t.Parallel()
			const backends, started = 8, 3
			opens := tc.calls / (overloadFactor * coldCapacity * overloadWindow.Seconds())
			f := smallCluster(tc.relays, backends, int(3*opens*backends))
			f.Server.WarmRequestRate = opens
			f.Stay = [2]time.Duration{400 * time.Millisecond, 1600 * time.Millisecond} // many come again while they are cold
			var half []int
			for i := range tc.relays {
				if i%2 == 1 {
					half = append(half, i)
				}
			}
			res := runCluster(t, Options{Duration: 16 * time.Second, Fleet: f, Faults: []fault.Fault{
				{Kind: "backends start", Start: 4 * time.Second, Duration: 12 * time.Second, Severity: float64(started) / backends},
				{Kind: "relays die together", Start: 6 * time.Second, Duration: time.Second, Targets: half}}})
			sent := res.Counts["sent to a cold backend"]
			t.Logf("%d calls to cold backends, fell over %d, attempts %v", sent, res.Counts["cold backend fell over"], res.Attempts)
			if res.Counts["cold backend fell over"] != 0 {
				t.Error("a cold backend was pushed over")
			}
			if sent < tc.least {
				t.Errorf("%d calls came to cold backends", sent)
			}
		})
	}
}
