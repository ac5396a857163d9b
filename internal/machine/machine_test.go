package machine

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"math/rand/v2"
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
	"aspenbarrow/internal/settings"
)

// What runs under the seeds must be what serves: no machine may reach for a socket, a file, a clock, a
// goroutine or randomness of its own, directly or through a package of this repository.
func TestTheMachinesReachForNothing(t *testing.T) {
	allowed := map[string]bool{"net/netip": true, "math/rand/v2": true}
	for _, dir := range []string{".", "../../balance", "../routing", "../settings", "../emulator"} {
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
		s := Deal(sockets, 0, i > 4)
		if used := 2*s.Flows + s.Guests + s.Probes + s.Calls + min(OwnSockets, sockets/4); used > sockets || s.Flows < 1 ||
			s.Guests < 1 || s.Probes < 1 || i > 4 != (s.Calls > 0) {
			t.Errorf("%d descriptors: %+v", sockets, s)
		}
		if sockets >= 256 && 3*s.Flows < sockets { // clients may hold a third of them for requests
			t.Errorf("%d descriptors: %d flows", sockets, s.Flows)
		}
	}
	if s := Deal(4096, 1, false); s.Flows != 10 {
		t.Errorf("%d flows in a megabyte", s.Flows)
	}
}

// On-call staff look every line up: each that can be logged above debug level is explained.
func TestEachLogLineIsExplained(t *testing.T) {
	page, err := os.ReadFile("../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	own, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	drivers, err := filepath.Glob("../relay/*.go")
	if err != nil {
		t.Fatal(err)
	}
	second, err := filepath.Glob("../management/*.go")
	if err != nil {
		t.Fatal(err)
	}
	drivers = append(drivers, second...)
	calls := regexp.MustCompile(`log\.(?:Info|Warn|Error)\(\s*"([^"]+)"`)
	found := 0
	for _, name := range append(own, drivers...) {
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
	orders  map[uint64][]Order
	probed  []balance.BackendID
	bad     []error
	told    []string
	asked   []bool
	follows []string
	shares  []Shares
	left    int
	doors   int
	moved   []uint64
}

func (h *host) Order(flow uint64, o Order)      { h.orders[flow] = append(h.orders[flow], o) }
func (h *host) Ready()                          {}
func (h *host) Settings(*settings.Settings)     {}
func (h *host) Move(flow uint64)                { h.moved = append(h.moved, flow) }
func (h *host) Bad(_ uint64, err error)         { h.bad = append(h.bad, err) }
func (h *host) Probe(b *Backend)                { h.probed = append(h.probed, b.ID) }
func (h *host) Release(balance.BackendID)       {}
func (h *host) Datagram(to string, data []byte) { h.told = append(h.told, to+" "+string(data)) }
func (h *host) Ask(watch bool)                  { h.asked = append(h.asked, watch) }
func (h *host) Follow(address string)           { h.follows = append(h.follows, address) }
func (h *host) Limits(s Shares)                 { h.shares = append(h.shares, s) }
func (h *host) Door()                           { h.doors++ }
func (h *host) Left()                           { h.left++ }

// last is where a flow was sent last.
func (h *host) last(flow uint64) *Backend {
	if o := h.orders[flow]; len(o) > 0 {
		return o[len(o)-1].To
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
	return Config{Name: "n0", Discovery: "d:1", Seed: 1, MemoryMB: 64, Sockets: 256, Known: []byte(three),
		Peers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Settings: s}
}

// node starts a Node whose backends have all answered a probe, so that no request waits for one.
func node(t *testing.T, cfg Config) (*Node, *host) {
	t.Helper()
	h := &host{orders: map[uint64][]Order{}}
	n, err := NewNode(time.Second, cfg, h, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "c"} {
		n.Probed(time.Second, balance.HealthCheckResult{Backend: backendID(name), Load: []float32{0.1}})
	}
	return n, h
}

// greeted is a flow that has said a line.
func greeted(t *testing.T, n *Node, seq uint64, line string) *Flow {
	t.Helper()
	f := NewFlow(seq, n.Settings(), n.Ledger())
	g, err := f.Hello(time.Second, []byte(line), true)
	if err != nil || !g.Opened {
		t.Fatalf("%+v, %v", g, err)
	}
	return f
}

func TestTimersFireInTheirOrder(t *testing.T) {
	var q timers
	for i, at := range []time.Duration{5, 3, 9, 3, 1} {
		heap.Push(&q, timer{at: at, seq: uint64(i), token: uint64(i)})
	}
	var got []uint64
	for len(q) > 0 {
		got = append(got, heap.Pop(&q).(timer).token)
	}
	if !slices.Equal(got, []uint64{4, 1, 3, 0, 2}) {
		t.Errorf("%v", got)
	}
}

func TestAPanicStopsAtItsEvent(t *testing.T) {
	n, _ := node(t, testConfig())
	ran := 0
	n.run(time.Second, func() {
		n.later = append(n.later, func() { ran++ })
		panic("a fault of a decision")
	})
	n.run(time.Second, func() { ran++ })
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
	n.Datagram(time.Second, netip.MustParseAddrPort("127.0.0.1:9"), notice)
	n.Datagram(time.Second, netip.MustParseAddrPort("[::ffff:127.0.0.1]:2"), notice)
	if !slices.Equal(heard, []string{"datagram of an unknown sender"}) {
		t.Errorf("%v", heard)
	}
	a := actions{n}
	a.SendGossip(1, []byte("more"))
	a.SendGossip(2, []byte("nobody"))
	a.SendGossip(0, make([]byte, MaxDatagram+1))
	if !slices.Equal(h.told, []string{"127.0.0.1:2 more"}) {
		t.Errorf("%q", h.told)
	}
}

// noted is a Decider that keeps the notes it hears, and whether it was told by then to wait for late messages.
type noted struct {
	Decider
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
		cfg.Decide = func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) Decider {
			waits = s.ReportsMessageDelay
			return noted{balance.New(now, seed, s, do), &notes, &waits}
		}
		n, _ := node(t, cfg)
		f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000007 c=chat,d=1000\r\n")
		n.Opened(time.Second, f)
		f.down.began = true // its UP is through
		reload := n.Config()
		reload.Settings.MaxRetryAfter++
		for _, told := range []bool{false, true} {
			if told {
				_, ev, err := f.FromBackend([]byte("LOAD 412.5\r\n"))
				if err != nil || ev.Kind != Told {
					t.Fatal(ev, err)
				}
				n.Heard(time.Second, 1, ev)
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
			n.Probed(now, balance.HealthCheckResult{Backend: b, Load: []float32{2}, Latency: time.Millisecond})
		}
	}
	for id := uint64(1); id <= 24; id++ {
		f := greeted(t, n, id, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", id, id))
		n.Opened(now, f)
		for range 12 {
			full()
			if len(h.orders[id]) > 0 {
				break
			}
			now += 60 * time.Millisecond
			n.Due(now)
		}
		if o := h.orders[id]; len(o) > 0 && o[0].To != nil {
			n.Heard(now, id, Event{Kind: Stood, Outcome: balance.AttemptResult{ID: id, Backend: o[0].To.ID}})
		}
	}
	for range 12 {
		now += time.Second
		n.Due(now)
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
		n.Opened(time.Second, f)
		first := h.last(1)
		n.Opened(time.Second, greeted(t, n, 9, "OPEN 0000000000000009 "+key+" c=chat,d=1000\r\n"))
		if h.last(9) != first {
			t.Fatal("two connections of one key are apart")
		}
		n.Heard(time.Second, 9, Event{Kind: AttemptEnded, Outcome: balance.AttemptResult{ID: 9, Backend: first.ID,
			Status: balance.StatusReset, Closed: true}})
		do := f.Order(time.Second, h.orders[1][0])
		n.Heard(time.Second+time.Millisecond, 1, f.Tried(time.Second, do.Try, do.Try.Broke(9, true, io.EOF, false)).Event)
		// Another connection of that key goes where the first went, unless that backend is ejected.
		n.Opened(time.Second+2*time.Millisecond, greeted(t, n, 2, "OPEN 0000000000000002 "+key+" c=chat,d=1000\r\n"))
		if (h.last(2) == first) != (mid != "") {
			t.Errorf("%q: the backend is ejected: %v", mid, h.last(2) != first)
		}
	}
}

func TestAFullRelaySaysWhenToComeBackWhereItMay(t *testing.T) {
	for _, may := range []bool{true, false} {
		s := testConfig().Settings
		s.RetryAfter = may
		if got, want := BusyAnswer(HoldOff(&s)), map[bool]string{true: "BUSY 1000\r\n", false: "BUSY\r\n"}[may]; got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

func TestAttemptsAreNotSentLateOrToADrainingBackend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		closed time.Duration // how long ago it was heard to drain; 0: it does not
		left   time.Duration
		cause  error
	}{
		{"ready", 0, time.Second, nil},
		{"no time left", 0, 0, errLate},
		{"drains, its grace not over", 60 * time.Millisecond, time.Second, nil},
		{"drains", 200 * time.Millisecond, time.Second, errDrained},
	} {
		n, _ := node(t, testConfig())
		b := n.named[0]
		now := 10 * time.Second
		if tc.closed > 0 {
			b.set(now-tc.closed, balance.StateDraining)
		}
		f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
		head, fail := f.Order(now, Order{To: b, Until: now + tc.left}).Try.Dialled(now)
		switch {
		case tc.cause == nil && fail != nil, tc.cause != nil && !errors.Is(fail, tc.cause):
			t.Errorf("%s: %v", tc.name, fail)
		case tc.cause == nil && string(bytes.Join(head[:], nil)) != "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n":
			t.Errorf("%s: %q", tc.name, head)
		}
	}
}

// What was true of the answer race on sockets holds step by step: one final answer, whatever comes after.
func TestOneFinalAnswerHoweverOrdersAndAttemptsRace(t *testing.T) {
	n, _ := node(t, testConfig())
	const line = "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n"
	for _, tc := range []struct {
		name string
		play func(f *Flow, a *Attempt) (answers int)
	}{
		{"refused, then UP", func(f *Flow, a *Attempt) (answers int) {
			answers += count(f.Order(0, Order{Answer: "BUSY\r\n"}))
			late := f.Tried(0, a, nil)
			if !late.DropBack || late.Event.Outcome.Status != balance.StatusCancelled {
				answers = -9
			}
			return answers + count(late)
		}},
		{"UP, then refused", func(f *Flow, a *Attempt) int {
			return count(f.Tried(0, a, nil)) + count(f.Order(0, Order{Answer: "BUSY\r\n"}))
		}},
		{"BYE, then refused", func(f *Flow, a *Attempt) int {
			_, fail := a.Answer([]byte("BYE\r\n"))
			return count(f.Tried(0, a, fail)) + count(f.Order(0, Order{Answer: "BUSY\r\n"}))
		}},
		{"failed twice over", func(f *Flow, _ *Attempt) int {
			return count(f.Order(0, Order{Answer: AnswerFailed})) + count(f.Order(0, Order{Answer: AnswerFailed}))
		}},
		{"spoke too early, then UP", func(f *Flow, a *Attempt) int { return count(f.Left(true)) + count(f.Tried(0, a, nil)) }},
	} {
		f := greeted(t, n, 1, line)
		a := f.Order(time.Second, Order{To: n.named[0], Until: 2 * time.Second}).Try
		if again := f.Order(time.Second, Order{To: n.named[1], Until: 2 * time.Second}); again.Try != nil {
			t.Errorf("%s: a second attempt while the first is out", tc.name)
		}
		if _, fail := a.Dialled(time.Second); fail != nil {
			t.Fatal(fail)
		}
		if got := tc.play(f, a); got != 1 {
			t.Errorf("%s: %d final answers", tc.name, got)
		}
		if f.Waits() && !f.pending {
			t.Errorf("%s: the flow still waits", tc.name)
		}
	}
}

// count is the number of final answers in what a driver is told to do.
func count(d Do) (n int) {
	if d.Answer != "" {
		n++
	}
	if d.Stand {
		n++
	}
	return n
}

func TestALeavingNodeWaitsForWhatIsOwed(t *testing.T) {
	cfg := testConfig()
	cfg.Settings.PassThrough = false
	n, h := node(t, cfg)
	f := greeted(t, n, 1, "OPEN 0000000000000001 0000000000000002 c=chat,d=1000\r\n")
	n.Opened(time.Second, f)
	n.Leave(time.Second)
	play := func(until time.Duration) {
		for at, ok := n.Next(); ok && at <= until; at, ok = n.Next() {
			n.Due(at)
		}
	}
	play(1700 * time.Millisecond)
	if h.left != 0 {
		t.Fatal("left while an answer is owed")
	}
	n.Closed(1700*time.Millisecond, 1)
	play(1800 * time.Millisecond)
	if h.left != 1 {
		t.Errorf("left %d times", h.left)
	}
}

// played runs a node's timers up to a time.
func played(n *Node, until time.Duration) {
	for at, ok := n.Next(); ok && at <= until; at, ok = n.Next() {
		n.Due(at)
	}
}

// standsAt brings a flow up at the only backend that its order names.
func standsAt(t *testing.T, n *Node, h *host, seq uint64, now time.Duration) *Flow {
	t.Helper()
	f := greeted(t, n, seq, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", seq, seq))
	n.Opened(now, f)
	if len(h.orders[seq]) != 1 || h.orders[seq][0].To == nil {
		t.Fatalf("flow %d has orders %+v", seq, h.orders[seq])
	}
	do := f.Order(now, h.orders[seq][0])
	n.Heard(now, seq, f.Tried(now, do.Try, nil).Event)
	return f
}

// DRAIN, UNDRAIN and SIGTERM in any order: a drain that is called off moves nobody, even if it is called off within
// its moves; one that goes on moves everybody within four seconds; leaving goes before it.
func TestDrainsComeAndGo(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls func(n *Node, at func(time.Duration, bool))
		moved [2]int // at least, at most
		ready bool
	}{
		{"called off before the front has heard", func(n *Node, at func(time.Duration, bool)) {
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{0, 0}, true},
		{"again and again", func(n *Node, at func(time.Duration, bool)) {
			for i := range 10 {
				at(time.Duration(i)*100*time.Millisecond, i%2 == 0)
			}
		}, [2]int{0, 0}, true},
		{"called off within its moves", func(n *Node, at func(time.Duration, bool)) {
			at(0, true)
			at(1500*time.Millisecond, false)
		}, [2]int{5, 35}, true},
		{"to its end", func(n *Node, at func(time.Duration, bool)) {
			at(0, true)
			at(10*time.Millisecond, true)
		}, [2]int{40, 40}, false},
		{"SIGTERM in the same moment", func(n *Node, at func(time.Duration, bool)) {
			at(0, true)
			n.Leave(time.Second)
		}, [2]int{40, 40}, false},
		{"SIGHUP in the same moment", func(n *Node, at func(time.Duration, bool)) {
			at(0, true)
			next := n.Config()
			next.Discovery, next.Settings.MaxAttempts = "d:9", 1
			if err := n.Reload(time.Second, next, 256); err != nil {
				t.Error(err)
			}
		}, [2]int{40, 40}, false},
		{"called off while it leaves", func(n *Node, at func(time.Duration, bool)) {
			n.Leave(time.Second)
			at(0, true)
			at(100*time.Millisecond, false)
		}, [2]int{40, 40}, true},
	} {
		cfg := testConfig()
		cfg.Settings.PassThrough, cfg.Settings.HealthChecks = false, false
		n, h := node(t, cfg)
		flows := map[uint64]*Flow{}
		for seq := uint64(1); seq <= 40; seq++ {
			flows[seq] = standsAt(t, n, h, seq, time.Second)
		}
		ends := func(until time.Duration) { // whoever is to move ends at once
			for now := n.now; now < until; now += 10 * time.Millisecond {
				played(n, now)
				for _, seq := range h.moved {
					if f := flows[seq]; f != nil {
						delete(flows, seq)
						n.Heard(now, seq, f.Closed(Verdict{Status: balance.StatusCancelled}))
						n.Closed(now, seq)
					}
				}
			}
		}
		c.calls(n, func(after time.Duration, on bool) {
			ends(time.Second + after)
			n.SetDrained(on)
			n.Drain(time.Second + after)
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
	n.Opened(time.Second, f)
	n.SetDrained(true)
	n.Drain(time.Second)
	played(n, 4500*time.Millisecond)
	do := f.Order(time.Second, h.orders[1][0])
	n.Heard(4500*time.Millisecond, 1, f.Tried(4500*time.Millisecond, do.Try, nil).Event)
	played(n, 4700*time.Millisecond)
	if !slices.Equal(h.moved, []uint64{1}) {
		t.Errorf("moved %v", h.moved)
	}
}

func TestAReloadTakesOverWhatItMayAndNoMore(t *testing.T) {
	n, h := node(t, testConfig())
	bad := testConfig()
	bad.Known, bad.Discovery = []byte("{"), "d:2"
	if err := n.Reload(time.Second, bad, 256); err == nil || len(h.follows) != 0 {
		t.Errorf("an unsound file: %v, follows %v", err, h.follows)
	}
	cfg := testConfig()
	cfg.Discovery, cfg.Sockets, cfg.Peers, cfg.Name = "d:2", 128, []string{"127.0.0.1:7"}, "other"
	if err := n.Reload(time.Second, cfg, 128); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(h.follows, []string{"d:2"}) || len(h.shares) != 1 || h.shares[0] != Deal(128, 64, false) ||
		n.Config().Name != "n0" || n.Config().Peers[0] != "127.0.0.1:7" {
		t.Errorf("%+v, %+v", h, n.Config())
	}
}

// Seed 284: a watch that the module asked for while a call was out that then failed was forgotten, and the
// module never heard of a change again.
func TestAWatchAskedForDuringAFailingCallIsMade(t *testing.T) {
	s := testConfig().Settings
	s.PollEndpoints = true
	a := NewAgent("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if _, ok := a.Next(); ok {
		t.Fatal("a call that nobody asked for")
	}
	a.Want(true)
	for range 4 {
		if c, ok := a.Next(); !ok || !c.Whole {
			t.Fatalf("%+v, %v", c, ok)
		}
		if n := a.Failed(false); n.Any || n.Pause <= 0 {
			t.Fatalf("%+v", n)
		}
	}
	if c, ok := a.Next(); !ok || !c.Whole {
		t.Fatalf("%+v, %v", c, ok)
	}
	a.Want(true)
	if n := a.Failed(false); n.Any || n.Pause <= 0 {
		t.Fatalf("%+v", n)
	}
	if c, ok := a.Next(); !ok || !c.Whole {
		t.Fatalf("%+v, %v", c, ok)
	}
	if _, err := a.Answered([]byte(three)); err != nil {
		t.Fatal(err)
	}
	if c, ok := a.Next(); !ok || c.Whole {
		t.Errorf("no watch goes on after the list: %+v, %v", c, ok)
	}
}
