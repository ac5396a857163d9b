package machine

import (
	"errors"
	flags "flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

var update = flags.Bool("update", false, "write the golden files anew")

// golden holds what was made now to what an earlier version wrote.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	g, w := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(g), len(w)) {
		switch {
		case i >= len(g):
			t.Fatalf("%s:%d: %q is missing", path, i+1, w[i])
		case i >= len(w):
			t.Fatalf("%s:%d: %q is too much", path, i+1, g[i])
		case g[i] != w[i]:
			t.Fatalf("%s:%d:\ngot  %q\nwant %q", path, i+1, g[i], w[i])
		}
	}
}

// goldenEvents are the words for what the machines find.
var goldenEvents = map[event]string{needMore: "need more", pinged: "pinged", opened: "opened", passed: "passed", up: "up", bye: "bye", moved: "moved",
	failed: "failed", busy: "busy", unread: "unread", odd: "odd"}

var goldenStatuses = map[balance.Status]string{balance.StatusOK: "ok", balance.StatusError: "error", balance.StatusOverloaded: "full", balance.StatusTimeout: "timeout",
	balance.StatusConnectFailed: "connect failed", balance.StatusReset: "reset", balance.StatusCancelled: "cancelled", balance.StatusAbandoned: "moot"}

// goldenLines are a client's: probes, openings with each name, and what is wrong with others.
func goldenLines() []string {
	const ids = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
	lines := []string{"", "PING", "PING\r\n", "PING now\r\n", "STATS\r\n", "STATS x\r\nPING\r\n", "PING\n", "\r\n", "PINGS\r\n", "ping\r\n",
		strings.Repeat("x", MaxLine), "PING " + strings.Repeat("x", MaxLine-7) + "\r\n", "PING " + strings.Repeat("x", MaxLine-6) + "\r\n",
		"OPEN\r\n", "OPEN 9b1f03aa5c7e2d4 7f3a9c21e0b4d655 c=chat,d=1\r\n", "OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655 c=chat,d=1\r\n",
		"OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=1\r\n", "open 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1\r\n"}
	for _, rest := range []string{"c=chat,d=1500", "c=order,d=1500.5,g=5c0f6e1a2b3d4c59,t=bolt,h=2.5,r=1,again=1,mid=1,new=x", "c=chat,d=30000,at=s-1",
		"d=1,c=chat,t=nobody,r=0,again=0,mid=0", "c=cat,d=1", "d=1", "c=chat", "c=chat,d=1 x", "c", "c=chat,d=", "c=chat,d=1,", "c=chat,d=-1", "c=chat,d=1e3",
		"c=chat,d=.5", "c=chat,d=9999999999999", "c=chat,d=1,h=1e3", "c=chat,d=1,r=2", "c=chat,d=1,again=x", "c=chat,d=1,g=x", "c=chat,d=1,g=5C0F6E1A2B3D4C59",
		"c=chat,d=1,c=chat", "c=chat,d=1,new=a=b", "c=chat,d=1,mid=1,at=s", "c=chat,d=1,new=" + strings.Repeat("x", mostWord+1),
		"c=chat,d=1" + strings.Repeat(",n=1", mostNames)} {
		lines = append(lines, ids+rest+"\r\n")
	}
	return append(lines, ids+"c=chat,d=1500\r\nhello\r\n", ids+"c=chat,d=1500\n")
}

func goldenLedger() *Ledger {
	l := &Ledger{}
	l.name(names.ClassNames)
	return l
}

func shortly(s string) string {
	if q := fmt.Sprintf("%q", s); len(q) <= 160 {
		return q
	}
	return fmt.Sprintf("%.60q... of %d bytes", s, len(s))
}

// What each line that comes in is taken for, and each line that goes out, is as it was.
func TestCodec_Golden(t *testing.T) {
	var out strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	proxy := *names
	proxy.PassThrough = false

	say("# clients")
	for _, line := range goldenLines() {
		m := clientLines{names: names}
		ev, n, err := m.feed([]byte(line))
		say("%s: %s, %d bytes, %v", shortly(line), goldenEvents[ev], n, err)
		if ev == opened {
			o, r := &m.open, &m.open.Request
			say("  id %x, class %d, tenant %d, key %x, group %x, load %v, repeat %v, back %v, mid-flow %v, at %q, waits %v, d is %q, length %d",
				o.id, r.Class, r.Tenant, r.Key, r.Group, r.ExpectedLoad, r.ClientRetry, r.Reconnecting, r.MidStream, o.at, o.patience, o.line[o.left:o.right], o.Len())
			left, _, err := m.feed([]byte("one\r\ntwo\nthr"))
			say("  then lines are %s, %v", goldenEvents[left], err)
		}
		if strings.Contains(line, "mid=") {
			_, err := parseOpen([]byte(line), &proxy)
			say("  where no packets pass through: %v", err)
		}
	}

	say("# first lines of a backend")
	for _, line := range []string{"", "UP", "UP\r\n", "UP r1\r\nmore", "UP\n", "UPPER\r\n", "BYE\r\n", "BYE utilization=0.5,x0=1\r\n", "MOVE\r\n", "MOVE now\r\n",
		"ERR\r\n", "ERR x0=1,utilization=0.25\r\n", "BUSY\r\n", "BUSY 20\r\n", "BUSY x0=0.9,utilization=0.61,new=7\r\n", "BUSY x0=0.9\r\n",
		"BUSY x0=0.9,utilization=NaN\r\n", "BUSY x0=1e-1,utilization=-2\r\n", "SYNTAX\r\n", "PONG\r\n", "\r\n", strings.Repeat("x", MaxLine)} {
		m := backendLines{fields: names.ReportFieldNames}
		ev, n, err := m.feed([]byte(line))
		say("%s: %s, %d bytes, report %v, %v", shortly(line), goldenEvents[ev], n, m.report, err)
	}

	say("# later lines of a backend")
	for _, line := range []string{"hello", "hello\r\nLOAD 12.5\r\nBY", "LOAD 3\n", "LOAD 0\r\n", "LOAD x\r\n", "LOAD 1\r\nLOAD 2\r\n", "LOADS 3\r\n", "BYE\r\n", "BYE x0=1\r\n",
		"BYEBYE\r\n", "MOVE\r\n", "MOVE\r\nBYE\r\n", "BYE\r\nMOVE\r\n", "bye\r\n", strings.Repeat("x", MaxLine)} {
		m := backendLines{began: true}
		ev, n, err := m.feed([]byte(line))
		say("%s: %s, %d bytes, last %s, load %v, %v", shortly(line), goldenEvents[ev], n, map[event]string{0: "none", bye: "bye", moved: "moved"}[m.last], m.load, err)
	}

	say("# answers to clients")
	say("failed %q", AnswerFailed)
	for _, d := range []time.Duration{-time.Second, 0, 1, time.Millisecond, time.Millisecond + 1, 250 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		say("busy for %v %q", d, BusyAnswer(d))
	}
	for _, s := range []settings.Settings{{}, {Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: 300 * time.Millisecond}},
		{Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: time.Minute}}} {
		say("held off, told %v, at most %v: %q", s.RetryAfter, s.MaxRetryAfter, BusyAnswer(HoldOff(&s)))
	}
	for _, ready := range []bool{true, false} {
		for _, line := range []string{"PING\r\n", "STATS\r\n"} {
			g, err := NewFlow(1, names, goldenLedger()).Hello(0, []byte(line), ready)
			say("%q, ready %v: %q, %d bytes, %v", line, ready, g.Reply, g.Take, err)
		}
	}
	f, pings := NewFlow(1, names, goldenLedger()), 0
	for {
		if _, err := f.Hello(0, []byte("PING\r\n"), true); err != nil {
			say("after %d probes: %v", pings, err)
			break
		}
		pings++
	}
	_, err := NewFlow(1, names, goldenLedger()).Hello(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1500\r\nhello\r\n"), true)
	say("sent on: %v", err)
	for _, tc := range []struct {
		how  End
		seen int
	}{{ByTime, 0}, {ByFIN, 0}, {ByFIN, 3}, {ByReset, 3}} {
		say("ended %v with %d bytes: %v", map[End]string{ByTime: "by time", ByFIN: "by FIN", ByReset: "by reset"}[tc.how], tc.seen, f.HelloEnded(tc.how, tc.seen))
	}

	say("# a flow's last lines, by what the backend said first")
	flow := func() (*Flow, *Attempt) {
		f := NewFlow(7, names, goldenLedger())
		g, err := f.Hello(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=order,d=1500.5,new=x\r\n"), true)
		if err != nil || !g.Opened {
			t.Fatal(g, err)
		}
		b := &Backend{ID: 9, Name: "s-9"}
		return f, f.Order(0, Order{To: b, Until: 1234567 * time.Microsecond}).Try
	}
	for _, line := range []string{"UP r\r\n", "BYE\r\n", "BUSY 20\r\n", "BUSY utilization=0.5,x0=1\r\n", "ERR\r\n", "MOVE\r\n", "SYNTAX\r\n", "WHAT\r\n", "UP\n"} {
		f, a := flow()
		head, fail := a.Dialled(0)
		if fail != nil {
			t.Fatal(fail)
		}
		n, fail := a.Answer([]byte(line))
		do := f.Tried(time.Millisecond, a, fail)
		said := "it stands"
		if fail != nil {
			said = fail.Error()
		}
		say("%q sent, %q back: %d bytes, %s; %s, load %v, stand %v, answer %q", string(head[0])+string(head[1])+string(head[2]), line, n, said,
			goldenStatuses[do.Event.Outcome.Status], do.Event.Outcome.Load, do.Stand, do.Answer)
	}
	f, _ = flow()
	say("left %q", f.Left(false).Answer)
	f, _ = flow()
	do := f.Left(true)
	say("sent on %q, %v", do.Answer, do.Bad)
	f, a := flow()
	if _, fail := a.Dialled(2 * time.Second); fail != nil {
		say("too late: %v", fail)
	}
	a.To.closed.Store(1)
	a.set = &settings.Settings{}
	if _, fail := a.Dialled(time.Second); fail != nil {
		say("drained: %v", fail)
	}
	for _, fail := range []*AttemptError{a.Failed(errors.New("cause"), false), a.Broke(0, false, errors.New("cause"), false),
		a.Broke(12, false, errors.New("cause"), false), a.Broke(0, true, errors.New("cause"), true), a.Broke(0, true, errors.New("cause"), false)} {
		say("%v: %s", fail, goldenStatuses[fail.status()])
	}
	v, now := f.Between()
	say("to move %v: %q, %s", now, v.Last, goldenStatuses[v.Status])
	f.Move()
	v, now = f.Between()
	say("to move %v: %q, %s", now, v.Last, goldenStatuses[v.Status])
	f.BackendStuck()
	v, now = f.Idle(0)
	say("silent %v: %q, %s", now, v.Last, goldenStatuses[v.Status])

	say("# questions to backends, and their answers")
	for _, set := range []*settings.Settings{names, {}} {
		p := NewProbes(set, 1)
		say("%d fields: %q", len(set.ReportFieldNames), p.Question())
		for _, line := range []string{"PONG", "PONG utilization=0.5,x0=0.25", "PONG x0=0.25", "ERR", "BUSY", ""} {
			pr := &Probe{To: &Backend{ID: 9}, of: p}
			pr.Answered(time.Millisecond, line)
			say("  %q: %s, %v", line, goldenStatuses[pr.Report.Status], pr.Report.Load)
		}
	}
	golden(t, "lines.txt", out.String())
}

// Lists as discovery writes them are read to what they were.
func TestCodec_GoldenMembers(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{`{"version":41,"full":true,"servers":[` +
		`{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},` +
		`{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},{"id":"s-3","state":"gone"}]}`,
		`{"version":1,"servers":[]}`, "", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`, `{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		m, err := ParseMembers([]byte(text), names)
		fmt.Fprintf(&out, "%s\n  version %d, full %v, refused %v\n", text, m.version, m.full, err != nil)
		for _, e := range m.entries {
			l := &e.line
			fmt.Fprintf(&out, "  %s at %q: id %x, %s, zone %d, cell %d, weight %v, kind %d, ready at %v\n", e.name, e.addr, uint64(l.ID),
				map[balance.BackendState]string{balance.StateRemoved: "gone", balance.StateReady: "ready", balance.StateDraining: "draining"}[l.State],
				l.Zone, l.Cell, l.Weight, l.Kind, l.ReadyAt)
		}
	}
	golden(t, "members.txt", out.String())
}
