package controller

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// What runs under the seeds must be what serves: no machine may reach for a socket, a file, a clock, a
// goroutine or randomness of its own, directly or through a package of this repository.
func TestTheMachinesReachForNothing(t *testing.T) {
	allowed := map[string]bool{"net/netip": true, "math/rand/v2": true}
	for _, dir := range []string{".", "../protocol", "../discovery", "../session", "../upstream", "../handshake", "../healthcheck",
		"../metrics", "../hotrestart", "../shadow", "../decision", "../../balance", "../membership", "../routing", "../settings", "../emulator"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range f.Imports {
				p := strings.Trim(i.Path.Value, `"`)
				root, _, _ := strings.Cut(p, "/")
				if !allowed[p] && (slices.Contains([]string{"net", "os", "syscall", "bufio", "context", "sync"}, root) &&
					p != "sync/atomic" || p == "math/rand" || p == "crypto/rand") {
					t.Errorf("%s imports %s", name, p)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
					t.Errorf("%s: a goroutine or a channel", set.Position(n.Pos()))
				case *ast.SelectorExpr:
					x, ok := n.X.(*ast.Ident)
					if ok && x.Obj == nil && (x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "After",
						"AfterFunc", "NewTimer", "NewTicker", "Sleep", "Tick"}, n.Sel.Name) ||
						x.Name == "rand" && !slices.Contains([]string{"New", "NewPCG", "Rand"}, n.Sel.Name)) {
						t.Errorf("%s: %s.%s", set.Position(n.Pos()), x.Name, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}

func TestDealStaysWithinDescriptors(t *testing.T) {
	for i, sockets := range []int{8, 64, 256, 1024, 4096, 64, 256, 1024} {
		s := AllocateDescriptors(sockets, 0, i > 4)
		if used := 2*s.Sessions + s.Handshakes + s.HealthChecks + s.AdminConnections + min(ReservedDescriptors, sockets/4); used > sockets || s.Sessions < 1 ||
			s.Handshakes < 1 || s.HealthChecks < 1 || i > 4 != (s.AdminConnections > 0) {
			t.Errorf("%d descriptors: %+v", sockets, s)
		}
		if sockets >= 256 && 3*s.Sessions < sockets { // clients may hold a third of them for requests
			t.Errorf("%d descriptors: %d flows", sockets, s.Sessions)
		}
	}
	if s := AllocateDescriptors(4096, 1, false); s.Sessions != 10 {
		t.Errorf("%d flows in a megabyte", s.Sessions)
	}
}

// On-call staff look every line up: each that can be logged above debug level is explained.
func TestEachLogLineIsExplained(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var sources []string
	for _, dir := range []string{".", "../protocol", "../discovery", "../session", "../upstream", "../handshake", "../healthcheck",
		"../metrics", "../hotrestart", "../shadow", "../decision", "../settings", "../relay", "../management"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		sources = append(sources, files...)
	}
	calls := regexp.MustCompile(`log\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)
	found := 0
	for _, name := range sources {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range calls.FindAllSubmatch(text, -1) {
			found++
			if !bytes.Contains(page, append(append([]byte("`"), m[1]...), '`')) {
				t.Errorf("%s logs %q, which docs/oncall.md does not explain", name, m[1])
			}
		}
	}
	if found < 15 {
		t.Errorf("only %d log lines found", found)
	}
}

// host takes notes of what a Node has done.
type host struct {
	orders  map[uint64][]session.Command
	probed  []balance.BackendID
	bad     []error
	told    []string
	asked   []bool
	follows []string
	shares  []Limits
	left    int
	doors   int
	moved   []uint64
}

func (h *host) SendCommand(flow uint64, o session.Command) {
	h.orders[flow] = append(h.orders[flow], o)
}
func (h *host) EndpointsReceived()                    {}
func (h *host) SetSettings(*settings.Settings)        {}
func (h *host) MigrateSession(flow uint64)            { h.moved = append(h.moved, flow) }
func (h *host) ReportClientError(_ uint64, err error) { h.bad = append(h.bad, err) }
func (h *host) StartHealthCheck(b *upstream.Backend)  { h.probed = append(h.probed, b.ID) }
func (h *host) ReleaseHealthCheck(balance.BackendID)  {}
func (h *host) SendDatagram(to string, data []byte)   { h.told = append(h.told, to+" "+string(data)) }
func (h *host) RequestEndpoints(watch bool)           { h.asked = append(h.asked, watch) }
func (h *host) SetDiscoveryAddress(address string)    { h.follows = append(h.follows, address) }
func (h *host) SetLimits(s Limits)                    { h.shares = append(h.shares, s) }
func (h *host) StopAccepting()                        { h.doors++ }
func (h *host) Stopped()                              { h.left++ }

// last is where a flow was sent last.
func (h *host) last(flow uint64) *upstream.Backend {
	if o := h.orders[flow]; len(o) > 0 {
		return o[len(o)-1].Backend
	}
	return nil
}

const three = `{"version":1,"full":true,"servers":[` +
	`{"id":"a","addr":"h:1","state":"ready","weight":1},` +
	`{"id":"b","addr":"h:2","state":"ready","weight":1},` +
	`{"id":"c","addr":"h:3","state":"ready","weight":1}]}`

func testConfig() Config {
	s := settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
	return Config{Name: "n0", Discovery: "d:1", Seed: 1, MemoryMB: 64, MaxDescriptors: 256, CachedEndpoints: []byte(three),
		Peers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Settings: s}
}

// node starts a Node whose backends have all answered a probe, so that no request waits for one.
func node(t *testing.T, cfg Config) (*Controller, *host) {
	t.Helper()
	return loggedNode(t, cfg, zap.NewNop())
}

func loggedNode(t *testing.T, cfg Config, log *zap.Logger) (*Controller, *host) {
	t.Helper()
	h := &host{orders: map[uint64][]session.Command{}}
	n, err := New(time.Second, cfg, h, log)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "c"} {
		n.HealthCheckDone(time.Second, balance.HealthCheckResult{Backend: discovery.BackendID(name), Load: []float32{0.1}})
	}
	return n, h
}

// greeted is a flow that has said a line.
func greeted(t *testing.T, n *Controller, seq uint64, line string) *session.Session {
	t.Helper()
	f := session.New(seq, n.Settings(), n.Metrics())
	g, err := f.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !g.Opened {
		t.Fatalf("%+v, %v", g, err)
	}
	return f
}

func TestTimersFireInTheirOrder(t *testing.T) {
	var q timerQueue
	for i, at := range []time.Duration{5, 3, 9, 3, 1} {
		q.set(at, balancerTimer, uint64(i))
	}
	var got []uint64
	for q.len() > 0 {
		due, ok := q.popDue(9)
		if !ok {
			t.Fatal("a timer that is set is not due by the latest time of all")
		}
		got = append(got, due.token)
	}
	if !slices.Equal(got, []uint64{4, 1, 3, 0, 2}) {
		t.Errorf("%v", got)
	}
}

func TestAPanicStopsAtItsEvent(t *testing.T) {
	n, _ := node(t, testConfig())
	ran := 0
	n.deliver(time.Second, func() {
		n.deferred = append(n.deferred, func() { ran++ })
		panic("a fault of a decision")
	})
	n.deliver(time.Second, func() { ran++ })
	if ran != 2 {
		t.Errorf("%d of 2 events after the panic were delivered", ran)
	}
}

// The sender is known by its address in the configuration; anybody else is not heard.
func TestOnlyPeersAreHeardAndTold(t *testing.T) {
	n, h := node(t, testConfig())
	notice := []byte{0, 0, 0, 0, 0, 0, 0, 1}
	var heard []string
	n.log = zap.New(logTo(func(msg string) { heard = append(heard, msg) }))
	n.DatagramReceived(time.Second, netip.MustParseAddrPort("127.0.0.1:9"), notice)
	n.DatagramReceived(time.Second, netip.MustParseAddrPort("[::ffff:127.0.0.1]:2"), notice)
	if !slices.Equal(heard, []string{"datagram from unknown sender"}) {
		t.Errorf("%v", heard)
	}
	a := balancerActions{n}
	a.SendGossip(1, []byte("more"))
	a.SendGossip(2, []byte("nobody"))
	a.SendGossip(0, make([]byte, MaxDatagramBytes+1))
	if !slices.Equal(h.told, []string{"127.0.0.1:2 more"}) {
		t.Errorf("%q", h.told)
	}
}

// noted is a Decider that keeps the notes it hears, and whether it was told by then to wait for late messages.
type noted struct {
	decision.Decider
	notes *[]string
	waits *bool
}

func (d noted) LoadReported(_ time.Duration, _ uint64, kind balance.LoadSignal, v float64) {
	*d.notes = append(*d.notes, fmt.Sprint(kind, " ", v))
}

func (d noted) UpdateSettings(s balance.Settings) {
	*d.waits = s.ReportsMessageDelay
	d.Decider.UpdateSettings(s)
}

// A LOAD line does not say what it measures; the settings do. A message's milliseconds at a late backend
// taken for a connection's load would swell T there. That late messages are told is believed once one is:
// where it is promised and never told, each server over its capacity would pass for a sound one.
func TestALoadLineIsTheNoteThatTheSettingsPromise(t *testing.T) {
	for _, tc := range []struct {
		load, delay bool
		want        string
	}{{false, true, "2 412.5"}, {true, false, "1 412500"}, {true, true, "1 412500"}, {false, false, "1 412500"}} {
		cfg := testConfig()
		cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay = tc.load, tc.delay
		var notes []string
		var waits bool
		cfg.NewDecider = func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) decision.Decider {
			waits = s.ReportsMessageDelay
			return noted{balance.New(now, seed, s, do), &notes, &waits}
		}
		n, h := node(t, cfg)
		f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000\r\n")
		n.SessionOpened(time.Second, f)
		f.AttemptDone(time.Second, f.Execute(time.Second, h.orders[1][0]).Attempt, nil) // its UP is through
		reload := n.Config()
		reload.Settings.MaxRetryAfter++
		for _, told := range []bool{false, true} {
			if told {
				_, ev, err := f.FromBackend([]byte("LOAD 412.5\r\n"))
				if err != nil || ev.Kind != session.LoadReported {
					t.Fatal(ev, err)
				}
				n.SessionEvent(time.Second, 1, ev)
			}
			for range 2 { // before a reload and after it, which must not change it
				if want := told && tc.delay && !tc.load; waits != want {
					t.Errorf("load %v, delay %v, told %v: the module waits for late messages: %v", tc.load, tc.delay, told, waits)
				}
				reload.Settings.MaxRetryAfter++
				if err := n.Reload(time.Second, reload, 256); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !slices.Equal(notes, []string{tc.want}) {
			t.Errorf("load %v, delay %v: notes %q", tc.load, tc.delay, notes)
		}
	}
}

// Servers over their capacity whose late messages nobody tells, though the settings promise it: what they report is what
// tells of them, and this relay's connections there are moved on.
func TestServersOverTheirCapacityAreRelievedWhereNoNoteComes(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.ReportsConnectionLoad, cfg.Settings.ReportsMessageDelay, cfg.Settings.HealthChecks = false, true, true
	cfg.Settings.ReportFields = []balance.ReportField{balance.FieldLoadShare}
	n, h := node(t, cfg)
	now := time.Second
	full := func() { // each server that is asked says that it has twice what it can do
		for len(h.probed) > 0 {
			b := h.probed[0]
			h.probed = h.probed[1:]
			n.HealthCheckDone(now, balance.HealthCheckResult{Backend: b, Load: []float32{2}, Latency: time.Millisecond})
		}
	}
	for id := uint64(1); id <= 24; id++ {
		f := greeted(t, n, id, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", id, id))
		n.SessionOpened(now, f)
		for range 12 {
			full()
			if len(h.orders[id]) > 0 {
				break
			}
			now += 60 * time.Millisecond
			n.FireTimers(now)
		}
		if o := h.orders[id]; len(o) > 0 && o[0].Backend != nil {
			n.SessionEvent(now, id, session.Event{Kind: session.Established, Result: balance.AttemptResult{ID: id, Backend: o[0].Backend.ID}})
		}
	}
	for range 12 {
		now += time.Second
		n.FireTimers(now)
		full()
	}
	if len(h.moved) == 0 {
		t.Error("twelve seconds over their capacity, and nobody was asked to move")
	}
}

// Any backend but its own resets a connection that comes mid-flow; that is no failure of the backend's.
func TestAResetMidFlowIsNotHeldAgainstTheBackend(t *testing.T) {
	for _, mid := range []string{",mid=1", ""} {
		n, h := node(t, testConfig())
		const key = "0000000000000007"
		f := greeted(t, n, 1, "OPEN 0000000000000001 "+key+" c=chat,d=1000"+mid+"\r\n")
		n.SessionOpened(time.Second, f)
		first := h.last(1)
		n.SessionOpened(time.Second, greeted(t, n, 9, "OPEN 0000000000000009 "+key+" c=chat,d=1000\r\n"))
		if h.last(9) != first {
			t.Fatal("two connections of one key are apart")
		}
		n.SessionEvent(time.Second, 9, session.Event{Kind: session.AttemptEnded, Result: balance.AttemptResult{ID: 9, Backend: first.ID,
			Status: balance.StatusReset, Closed: true}})
		do := f.Execute(time.Second, h.orders[1][0])
		n.SessionEvent(time.Second+time.Millisecond, 1, f.AttemptDone(time.Second, do.Attempt, do.Attempt.ConnectionEnded(9, true, io.EOF, false)).Event)
		// Another connection of that key goes where the first went, unless that backend is ejected.
		n.SessionOpened(time.Second+2*time.Millisecond, greeted(t, n, 2, "OPEN 0000000000000002 "+key+" c=chat,d=1000\r\n"))
		if (h.last(2) == first) != (mid != "") {
			t.Errorf("%q: the backend is ejected: %v", mid, h.last(2) != first)
		}
	}
}

func TestALeavingNodeWaitsForWhatIsOwed(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough = false
	n, h := node(t, cfg)
	f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
	n.SessionOpened(time.Second, f)
	n.Shutdown(time.Second)
	play := func(until time.Duration) {
		for at, ok := n.NextTimer(); ok && at <= until; at, ok = n.NextTimer() {
			n.FireTimers(at)
		}
	}
	play(1700 * time.Millisecond)
	if h.left != 0 {
		t.Fatal("left while an answer is owed")
	}
	n.SessionClosed(1700*time.Millisecond, 1)
	play(1800 * time.Millisecond)
	if h.left != 1 {
		t.Errorf("left %d times", h.left)
	}
}

// played runs a node's timers up to a time.
func played(n *Controller, until time.Duration) {
	for at, ok := n.NextTimer(); ok && at <= until; at, ok = n.NextTimer() {
		n.FireTimers(at)
	}
}

// standsAt brings a flow up at the only backend that its order names.
func standsAt(t *testing.T, n *Controller, h *host, seq uint64, now time.Duration) *session.Session {
	t.Helper()
	f := greeted(t, n, seq, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", seq, seq))
	n.SessionOpened(now, f)
	if len(h.orders[seq]) != 1 || h.orders[seq][0].Backend == nil {
		t.Fatalf("flow %d has orders %+v", seq, h.orders[seq])
	}
	do := f.Execute(now, h.orders[seq][0])
	n.SessionEvent(now, seq, f.AttemptDone(now, do.Attempt, nil).Event)
	return f
}

// DRAIN, UNDRAIN and SIGTERM in any order: a drain that is called off moves nobody, even if it is called off within
// its moves; one that goes on moves everybody within four seconds; leaving goes before it.
func TestDrainsComeAndGo(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls func(n *Controller, at func(time.Duration, bool))
		moved [2]int // at least, at most
		ready bool
	}{
		{"called off before the front has heard", func(n *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{0, 0}, true},
		{"again and again", func(n *Controller, at func(time.Duration, bool)) {
			for i := range 10 {
				at(time.Duration(i)*100*time.Millisecond, i%2 == 0)
			}
		}, [2]int{0, 0}, true},
		{"called off within its moves", func(n *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(1500*time.Millisecond, false)
		}, [2]int{5, 35}, true},
		{"to its end", func(n *Controller, at func(time.Duration, bool)) {
			at(0, true)
			at(10*time.Millisecond, true)
		}, [2]int{40, 40}, false},
		{"SIGTERM in the same moment", func(n *Controller, at func(time.Duration, bool)) {
			at(0, true)
			n.Shutdown(time.Second)
		}, [2]int{40, 40}, false},
		{"SIGHUP in the same moment", func(n *Controller, at func(time.Duration, bool)) {
			at(0, true)
			next := n.Config()
			next.Discovery, next.Settings.MaxAttempts = "d:9", 1
			if err := n.Reload(time.Second, next, 256); err != nil {
				t.Error(err)
			}
		}, [2]int{40, 40}, false},
		{"called off while it leaves", func(n *Controller, at func(time.Duration, bool)) {
			n.Shutdown(time.Second)
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{40, 40}, true},
	} {
		cfg := testConfig()
		cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
		n, h := node(t, cfg)
		flows := map[uint64]*session.Session{}
		for seq := uint64(1); seq <= 40; seq++ {
			flows[seq] = standsAt(t, n, h, seq, time.Second)
		}
		ends := func(until time.Duration) { // whoever is to move ends at once
			for now := n.now; now < until; now += 10 * time.Millisecond {
				played(n, now)
				for _, seq := range h.moved {
					if f := flows[seq]; f != nil {
						delete(flows, seq)
						n.SessionEvent(now, seq, f.Terminated(session.Termination{Status: balance.StatusCancelled}))
						n.SessionClosed(now, seq)
					}
				}
			}
		}
		c.calls(n, func(after time.Duration, on bool) {
			ends(time.Second + after)
			n.SetDrained(on)
			n.ApplyDrain(time.Second + after)
			if n.Ready() == on {
				t.Errorf("%s: ready is %v once it is said to be drained: %v", c.name, n.Ready(), on)
			}
		})
		ends(5 * time.Second)
		if m := len(h.moved); m < c.moved[0] || m > c.moved[1] || n.Ready() != c.ready {
			t.Errorf("%s: %d moved, wanted are %v; ready %v", c.name, m, c.moved, n.Ready())
		}
	}
}

// A client that waits when its relay is drained has its answer, and is moved once it stands.
func TestAnOpeningInFlightOutlastsTheDrain(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
	n, h := node(t, cfg)
	f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=4000\r\n")
	n.SessionOpened(time.Second, f)
	n.SetDrained(true)
	n.ApplyDrain(time.Second)
	played(n, 4500*time.Millisecond)
	do := f.Execute(time.Second, h.orders[1][0])
	n.SessionEvent(4500*time.Millisecond, 1, f.AttemptDone(4500*time.Millisecond, do.Attempt, nil).Event)
	played(n, 4700*time.Millisecond)
	if !slices.Equal(h.moved, []uint64{1}) {
		t.Errorf("moved %v", h.moved)
	}
}

func TestAReloadTakesOverWhatItMayAndNoMore(t *testing.T) {
	n, h := node(t, testConfig())
	bad := testConfig()
	bad.CachedEndpoints, bad.Discovery = []byte("{"), "d:2"
	if err := n.Reload(time.Second, bad, 256); err == nil || len(h.follows) != 0 {
		t.Errorf("an unsound file: %v, follows %v", err, h.follows)
	}
	cfg := testConfig()
	cfg.Discovery, cfg.MaxDescriptors, cfg.Peers, cfg.Name = "d:2", 128, []string{"127.0.0.1:7"}, "other"
	if err := n.Reload(time.Second, cfg, 128); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(h.follows, []string{"d:2"}) || len(h.shares) != 1 || h.shares[0] != AllocateDescriptors(128, 64, false) ||
		n.Config().Name != "n0" || n.Config().Peers[0] != "127.0.0.1:7" {
		t.Errorf("%+v, %+v", h, n.Config())
	}
}
