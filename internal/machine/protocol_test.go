package machine

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

var names = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}

func TestParseOpen(t *testing.T) {
	const ids = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "
	const line = ids + "c=order,d=1500.5,g=5c0f6e1a2b3d4c59,t=bolt,h=2.5,r=1,again=1,mid=1,new=x\r\n"
	o, err := parseOpen([]byte(line), names)
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Request{Class: 1, Tenant: 1, Key: 0x7f3a9c21e0b4d655, Group: 0x5c0f6e1a2b3d4c59, ExpectedLoad: 2500,
		ClientRetry: true, MidStream: true, Reconnecting: true}
	if o.Request != want || o.id != 0x9b1f03aa5c7e2d41 || o.patience != 1500500*time.Microsecond ||
		line[o.left:o.right] != "1500.5" {
		t.Errorf("%+v", o)
	}
	if o, err = parseOpen([]byte(ids+"c=chat,d=30000,at=s-1\r\n"), names); err != nil || string(o.at) != "s-1" ||
		o.patience != 2*time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	for _, tc := range []struct {
		rest string
		want error
	}{
		{"c=cat,d=1", errClass}, {"d=1", errSyntax}, {"c=chat", errSyntax}, {"c=chat,d=1 x", errSyntax},
		{"c", errSyntax}, {"c=chat,d", errSyntax}, {"c=chat,d=", errSyntax}, {"c=chat,d=1,", errSyntax},
		{"c=chat,d=NaN", errNumber}, {"c=chat,d=-1", errNumber}, {"c=chat,d=1e3", errNumber},
		{"c=chat,d=0x1p4", errNumber}, {"c=chat,d=+5", errNumber}, {"c=chat,d=1_0", errNumber},
		{"c=chat,d=.5", errNumber}, {"c=chat,d=5.", errNumber}, {"c=chat,d=inf", errNumber},
		{"c=chat,d=99999999999999999999999", errNumber}, {"c=chat,d=1,h=1e3", errNumber},
		{"c=chat,d=1,r=2", errNumber}, {"c=chat,d=1,g=x", errID}, {"c=chat,d=1,g=5C0F6E1A2B3D4C59", errID},
		{"c=chat,d=1,c=chat", errTwice}, {"c=chat,d=1,new=1,new=2", errTwice}, {"c=chat,d=1,n\x01=1", errSyntax},
		{"c=chat,d=1,new=\x00", errSyntax}, {"c=chat,d=1,new=\xc3\xa4", errSyntax}, {"c=chat,d=1,new=a=b", errSyntax},
		{"c=chat,d=1,new=\r", errSyntax}, {"c=chat,d=1,=1", errSyntax}, {"c=chat,d=1,mid=1,at=s", errSyntax},
		{"c=chat,d=1,new=" + strings.Repeat("x", mostWord+1), errSyntax},
		{"c=chat,d=1" + strings.Repeat(",n=1", mostNames), errSyntax},
	} {
		if _, err := parseOpen([]byte(ids+tc.rest+"\r\n"), names); !errors.Is(err, tc.want) {
			t.Errorf("%.40q: %v, want %v", tc.rest, err, tc.want)
		}
	}
	for _, words := range []string{"OPEN 9b1f03aa5c7e2d4 7f3a9c21e0b4d655", "OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41 07f3a9c21e0b4d655", "OPEN 0x1f03aa5c7e2d41 7f3a9c21e0b4d655", "OPEN  7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41", "OPEN", "", "open 9b1f03aa5c7e2d41 7f3a9c21e0b4d655"} {
		if _, err := parseOpen([]byte(words+" c=chat,d=1\r\n"), names); err == nil {
			t.Errorf("%q is taken", words)
		}
	}
	proxy := *names
	proxy.PassThrough = false
	if _, err := parseOpen([]byte(line), &proxy); !errors.Is(err, errSyntax) {
		t.Errorf("mid-flow where no packets pass through: %v", err)
	}
}

// Whatever a client sends, only the protocol's form gets through to a backend.
func FuzzOpen(f *testing.F) {
	form := regexp.MustCompile(`^OPEN [0-9a-f]{16} [0-9a-f]{16} ([!-~]+=[!-~]+)(,[!-~]+=[!-~]+)*\r\n$`)
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1500,g=5c0f6e1a2b3d4c59,new=x"))
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 d=1e3,c=chat,d=0x1p4"))
	f.Fuzz(func(t *testing.T, b []byte) {
		line := append(bytes.Clone(b), crlf...)
		if _, n, err := cut(line); err != nil || n != len(line) {
			return
		}
		o, err := parseOpen(line, names)
		if err != nil {
			return
		}
		if !form.Match(line) || o.patience < 0 || o.Request.ExpectedLoad < 0 || !digits(bytes.Replace(line[o.left:o.right], []byte("."), nil, 1)) {
			t.Errorf("%q is taken as %+v", line, o)
		}
	})
}

func TestCut(t *testing.T) {
	long := strings.Repeat("x", MaxLine-2)
	for _, tc := range []struct {
		in   string
		line string
		n    int
		err  error
	}{
		{"", "", 0, nil}, {"PING", "", 0, nil}, {"PING\r", "", 0, nil}, {"PING\r\nX", "PING", 6, nil},
		{"\r\n", "", 2, nil}, {"\n", "", 0, errBareLF}, {"PING\nX\r\n", "", 0, errBareLF},
		{long + "\r\n", long, MaxLine, nil}, {long + "x\r\n", "", 0, errOverlong}, {long + "xx", "", 0, errOverlong},
	} {
		line, n, err := cut([]byte(tc.in))
		if string(line) != tc.line || n != tc.n || err != tc.err {
			t.Errorf("%.20q: %.20q, %d, %v", tc.in, line, n, err)
		}
	}
}

func TestFirstLinesOfABackend(t *testing.T) {
	for line, want := range map[string]event{"UP r1\r\n": up, "UP\r\n": up, "BYE\r\n": bye, "MOVE\r\n": moved,
		"ERR\r\n": failed, "BUSY 20\r\n": busy, "SYNTAX\r\n": unread, "UPPER\r\n": odd, "\r\n": odd} {
		m := backendLines{fields: names.ReportFieldNames}
		if ev, n, err := m.feed([]byte(line + "more")); ev != want || n != len(line) || err != nil {
			t.Errorf("%q: %v, %d, %v", line, ev, n, err)
		}
	}
	m := backendLines{fields: names.ReportFieldNames}
	if _, _, err := m.feed([]byte("BUSY x0=0.9,utilization=0.61\r\n")); err != nil || len(m.report) != 2 ||
		m.report[0] != 0.61 || m.report[1] != 0.9 {
		t.Errorf("report %v, %v", m.report, err)
	}
}

func TestParseReport(t *testing.T) {
	for _, text := range []string{"", "x0=1", "x0=1,utilization=", "x0=1,utilization=NaN", "x0=1,utilization=1e999", "x0"} {
		if r := parseReport([]byte(text), names.ReportFieldNames); r != nil {
			t.Errorf("%q: %v", text, r)
		}
	}
	if r := parseReport([]byte("new=7,x0=1,utilization=0"), names.ReportFieldNames); len(r) != 2 || r[1] != 1 {
		t.Errorf("%v", r)
	}
}

func TestWhatABackendSaysLastIsRemembered(t *testing.T) {
	m := backendLines{began: true}
	for _, tc := range []struct {
		in   string
		n    int
		last event
		load float64
	}{
		{"hello", 0, 0, 0}, {"hello\r\nLOAD 12.5\r\nBY", 18, 0, 12.5}, {"LOAD x\r\n", 8, 0, 0},
		{"BYEBYE\r\n", 8, 0, 0}, {"MOVE\r\n", 6, moved, 0}, {"BYE x0=1\r\n", 10, bye, 0},
	} {
		if _, n, err := m.feed([]byte(tc.in)); n != tc.n || err != nil || m.last != tc.last || m.load != tc.load {
			t.Errorf("%q: %d, %v, last %v, load %v", tc.in, n, err, m.last, m.load)
		}
	}
	if _, _, err := m.feed(bytes.Repeat([]byte("x"), MaxLine)); err != errOverlong {
		t.Errorf("a line without an end: %v", err)
	}
}

// drive feeds a machine bytes as they might arrive: first so many, then the rest.
func drive(feed func([]byte) (event, int, error), b []byte, split int) (events []event, lines int, err error) {
	have := min(split, len(b))
	for at := 0; ; {
		ev, n, err := feed(b[at:have])
		switch {
		case err != nil || n < 0 || n > have-at:
			return events, lines, err
		case n == 0 && have == len(b):
			return events, lines, nil
		case n == 0:
			have = len(b)
			continue
		}
		lines += bytes.Count(b[at:at+n], []byte("\n"))
		if ev != passed || len(events) == 0 || events[len(events)-1] != passed {
			events = append(events, ev)
		}
		at += n
	}
}

// However the bytes are cut up, the machines see the same lines.
func FuzzClientLines(f *testing.F) {
	f.Add([]byte("PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=5\r\nhello\r\nthere\r\n"), 9)
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=5\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		one, two := clientLines{names: names}, clientLines{names: names}
		compare(t, one.feed, two.feed, b, split)
	})
}

func FuzzBackendLines(f *testing.F) {
	f.Add([]byte("UP r\r\nLOAD 3\r\nBYE\r\n"), 4)
	f.Add([]byte("BUSY utilization=1,x0=2\r\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		one, two := backendLines{fields: names.ReportFieldNames}, backendLines{fields: names.ReportFieldNames}
		compare(t, one.feed, two.feed, b, split)
		if one.last != two.last {
			t.Errorf("last word %v or %v", one.last, two.last)
		}
	})
}

func compare(t *testing.T, one, two func([]byte) (event, int, error), b []byte, split int) {
	if len(b) >= MaxLine || split < 0 {
		return
	}
	wholeEvents, wholeCount, wholeErr := drive(one, b, len(b))
	cutEvents, cutCount, cutErr := drive(two, b, split)
	if len(wholeEvents) != len(cutEvents) || wholeCount != cutCount || wholeErr != cutErr {
		t.Errorf("%q: %v, %d lines, %v; cut at %d: %v, %d lines, %v", b, wholeEvents, wholeCount, wholeErr, split,
			cutEvents, cutCount, cutErr)
	}
}

func TestParseMembers(t *testing.T) {
	m, err := ParseMembers([]byte(`{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},
{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},
{"id":"s-3","state":"gone"}]}`), names)
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := m.entries[0], m.entries[1], m.entries[2]
	if m.version != 41 || !m.full || a.name != "s-1" || a.addr != "127.0.0.1:1" || a.line.Zone != 1 || a.line.Kind != 0 ||
		a.line.Cell != 3 || a.line.Weight != 1.5 || a.line.State != balance.StateReady ||
		a.line.ReadyAt != 1700000000000*time.Millisecond || a.line.ID != backendID("s-1") {
		t.Errorf("%+v", a)
	}
	if b.line.Zone < 2 || b.line.Kind < 1 || b.line.State != balance.StateDraining || b.line.ReadyAt != 0 ||
		c.line.State != balance.StateRemoved {
		t.Errorf("%+v, %+v", b, c)
	}
	for _, bad := range []string{"", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`,
		`{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		if _, err := ParseMembers([]byte(bad), names); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"version":1,"full":true,"servers":[{"id":"s","addr":"a:1","state":"ready","zone":1,"kind":{}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseMembers(b, names)
		if err != nil && len(m.entries) != 0 {
			t.Errorf("%d entries beside %v", len(m.entries), err)
		}
	})
}

func TestAttemptErrorsTellWhatMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		e    AttemptError
		want balance.Status
		ran  bool
	}{
		{AttemptError{stage: unsent}, balance.StatusConnectFailed, false},
		{AttemptError{stage: unsent, timeout: true}, balance.StatusConnectFailed, false},
		{AttemptError{stage: written, wrote: 12}, balance.StatusConnectFailed, false},
		{AttemptError{stage: waited}, balance.StatusReset, true},
		{AttemptError{stage: waited, timeout: true}, balance.StatusTimeout, true},
		{AttemptError{stage: waited, stopped: true}, balance.StatusCancelled, true},
		{AttemptError{stage: written, wrote: 12, stopped: true}, balance.StatusAbandoned, false},
		{AttemptError{stage: unsent, stopped: true}, balance.StatusAbandoned, false},
		{AttemptError{stage: answered, answer: busy}, balance.StatusOverloaded, false},
		{AttemptError{stage: answered, answer: failed}, balance.StatusError, true},
		{AttemptError{stage: answered, answer: moved}, balance.StatusCancelled, true},
		{AttemptError{stage: answered, answer: bye}, balance.StatusOK, true},
		{AttemptError{stage: answered, answer: odd}, balance.StatusError, true},
		{AttemptError{stage: answered, answer: unread}, balance.StatusCancelled, true},
	} {
		tc.e.err = errors.New("cause")
		if got := tc.e.status(); got != tc.want || got.MayHaveExecuted() != tc.ran {
			t.Errorf("%v: status %v", &tc.e, got)
		}
		if tc.e.Error() == "" || !errors.Is(&tc.e, tc.e.err) {
			t.Errorf("%+v says nothing of its cause", tc.e)
		}
	}
}
