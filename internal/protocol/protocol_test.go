package protocol

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
	o, err := ParseOpen([]byte(line), names)
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Request{Class: 1, Tenant: 1, Key: 0x7f3a9c21e0b4d655, Group: 0x5c0f6e1a2b3d4c59, ExpectedLoad: 2500,
		ClientRetry: true, MidStream: true, Reconnecting: true}
	if o.Request != want || o.ID != 0x9b1f03aa5c7e2d41 || o.Timeout != 1500500*time.Microsecond ||
		line[o.timeoutStart:o.timeoutEnd] != "1500.5" {
		t.Errorf("%+v", o)
	}
	if o, err = ParseOpen([]byte(ids+"c=chat,d=30000,at=s-1\r\n"), names); err != nil || string(o.Holder) != "s-1" ||
		o.Timeout != 2*time.Second {
		t.Errorf("%+v, %v", o, err)
	}
	for _, tc := range []struct {
		rest string
		want error
	}{
		{"c=cat,d=1", ErrUnknownClass}, {"d=1", ErrSyntax}, {"c=chat", ErrSyntax}, {"c=chat,d=1 x", ErrSyntax},
		{"c", ErrSyntax}, {"c=chat,d", ErrSyntax}, {"c=chat,d=", ErrSyntax}, {"c=chat,d=1,", ErrSyntax},
		{"c=chat,d=NaN", ErrInvalidNumber}, {"c=chat,d=-1", ErrInvalidNumber}, {"c=chat,d=1e3", ErrInvalidNumber},
		{"c=chat,d=0x1p4", ErrInvalidNumber}, {"c=chat,d=+5", ErrInvalidNumber}, {"c=chat,d=1_0", ErrInvalidNumber},
		{"c=chat,d=.5", ErrInvalidNumber}, {"c=chat,d=5.", ErrInvalidNumber}, {"c=chat,d=inf", ErrInvalidNumber},
		{"c=chat,d=99999999999999999999999", ErrInvalidNumber}, {"c=chat,d=1,h=1e3", ErrInvalidNumber},
		{"c=chat,d=1,r=2", ErrInvalidNumber}, {"c=chat,d=1,g=x", ErrInvalidID}, {"c=chat,d=1,g=5C0F6E1A2B3D4C59", ErrInvalidID},
		{"c=chat,d=1,c=chat", ErrDuplicateName}, {"c=chat,d=1,new=1,new=2", ErrDuplicateName}, {"c=chat,d=1,n\x01=1", ErrSyntax},
		{"c=chat,d=1,new=\x00", ErrSyntax}, {"c=chat,d=1,new=\xc3\xa4", ErrSyntax}, {"c=chat,d=1,new=a=b", ErrSyntax},
		{"c=chat,d=1,new=\r", ErrSyntax}, {"c=chat,d=1,=1", ErrSyntax}, {"c=chat,d=1,mid=1,at=s", ErrSyntax},
		{"c=chat,d=1,new=" + strings.Repeat("x", maxWordLength+1), ErrSyntax},
		{"c=chat,d=1" + strings.Repeat(",n=1", maxNames), ErrSyntax},
	} {
		if _, err := ParseOpen([]byte(ids+tc.rest+"\r\n"), names); !errors.Is(err, tc.want) {
			t.Errorf("%.40q: %v, want %v", tc.rest, err, tc.want)
		}
	}
	for _, words := range []string{"OPEN 9b1f03aa5c7e2d4 7f3a9c21e0b4d655", "OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41 07f3a9c21e0b4d655", "OPEN 0x1f03aa5c7e2d41 7f3a9c21e0b4d655", "OPEN  7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41", "OPEN", "", "open 9b1f03aa5c7e2d41 7f3a9c21e0b4d655"} {
		if _, err := ParseOpen([]byte(words+" c=chat,d=1\r\n"), names); err == nil {
			t.Errorf("%q is taken", words)
		}
	}
	proxy := *names
	proxy.PassThrough = false
	if _, err := ParseOpen([]byte(line), &proxy); !errors.Is(err, ErrSyntax) {
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
		if _, n, err := cutLine(line); err != nil || n != len(line) {
			return
		}
		o, err := ParseOpen(line, names)
		if err != nil {
			return
		}
		if !form.Match(line) || o.Timeout < 0 || o.Request.ExpectedLoad < 0 || !allDigits(bytes.Replace(line[o.timeoutStart:o.timeoutEnd], []byte("."), nil, 1)) {
			t.Errorf("%q is taken as %+v", line, o)
		}
	})
}

func TestCut(t *testing.T) {
	long := strings.Repeat("x", MaxLineLength-2)
	for _, tc := range []struct {
		in   string
		line string
		n    int
		err  error
	}{
		{"", "", 0, nil}, {"PING", "", 0, nil}, {"PING\r", "", 0, nil}, {"PING\r\nX", "PING", 6, nil},
		{"\r\n", "", 2, nil}, {"\n", "", 0, ErrBareLF}, {"PING\nX\r\n", "", 0, ErrBareLF},
		{long + "\r\n", long, MaxLineLength, nil}, {long + "x\r\n", "", 0, ErrLineTooLong}, {long + "xx", "", 0, ErrLineTooLong},
	} {
		line, n, err := cutLine([]byte(tc.in))
		if string(line) != tc.line || n != tc.n || err != tc.err {
			t.Errorf("%.20q: %.20q, %d, %v", tc.in, line, n, err)
		}
	}
}

func TestFirstLinesOfABackend(t *testing.T) {
	for line, want := range map[string]LineKind{"UP r1\r\n": KindUp, "UP\r\n": KindUp, "BYE\r\n": KindBye, "MOVE\r\n": KindMove,
		"ERR\r\n": KindError, "BUSY 20\r\n": KindBusy, "SYNTAX\r\n": KindSyntax, "UPPER\r\n": KindUnknown, "\r\n": KindUnknown} {
		m := BackendReader{ReportFields: names.ReportFieldNames}
		if ev, n, err := m.Feed([]byte(line + "more")); ev != want || n != len(line) || err != nil {
			t.Errorf("%q: %v, %d, %v", line, ev, n, err)
		}
	}
	m := BackendReader{ReportFields: names.ReportFieldNames}
	if _, _, err := m.Feed([]byte("BUSY x0=0.9,utilization=0.61\r\n")); err != nil || len(m.Report) != 2 ||
		m.Report[0] != 0.61 || m.Report[1] != 0.9 {
		t.Errorf("report %v, %v", m.Report, err)
	}
}

func TestParseReport(t *testing.T) {
	for _, text := range []string{"", "x0=1", "x0=1,utilization=", "x0=1,utilization=NaN", "x0=1,utilization=1e999", "x0"} {
		if r := ParseReport([]byte(text), names.ReportFieldNames); r != nil {
			t.Errorf("%q: %v", text, r)
		}
	}
	if r := ParseReport([]byte("new=7,x0=1,utilization=0"), names.ReportFieldNames); len(r) != 2 || r[1] != 1 {
		t.Errorf("%v", r)
	}
}

func TestWhatABackendSaysLastIsRemembered(t *testing.T) {
	m := BackendReader{Established: true}
	for _, tc := range []struct {
		in   string
		n    int
		last LineKind
		load float64
	}{
		{"hello", 0, 0, 0}, {"hello\r\nLOAD 12.5\r\nBY", 18, 0, 12.5}, {"LOAD x\r\n", 8, 0, 0},
		{"BYEBYE\r\n", 8, 0, 0}, {"MOVE\r\n", 6, KindMove, 0}, {"BYE x0=1\r\n", 10, KindBye, 0},
	} {
		if _, n, err := m.Feed([]byte(tc.in)); n != tc.n || err != nil || m.LastKind != tc.last || m.Load != tc.load {
			t.Errorf("%q: %d, %v, last %v, load %v", tc.in, n, err, m.LastKind, m.Load)
		}
	}
	if _, _, err := m.Feed(bytes.Repeat([]byte("x"), MaxLineLength)); err != ErrLineTooLong {
		t.Errorf("a line without an end: %v", err)
	}
}

// drive feeds a machine bytes as they might arrive: first so many, then the rest.
func drive(feed func([]byte) (LineKind, int, error), b []byte, split int) (events []LineKind, lines int, err error) {
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
		if ev != KindForward || len(events) == 0 || events[len(events)-1] != KindForward {
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
		one, two := ClientReader{Settings: names}, ClientReader{Settings: names}
		compare(t, one.Feed, two.Feed, b, split)
	})
}

func FuzzBackendLines(f *testing.F) {
	f.Add([]byte("UP r\r\nLOAD 3\r\nBYE\r\n"), 4)
	f.Add([]byte("BUSY utilization=1,x0=2\r\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		one, two := BackendReader{ReportFields: names.ReportFieldNames}, BackendReader{ReportFields: names.ReportFieldNames}
		compare(t, one.Feed, two.Feed, b, split)
		if one.LastKind != two.LastKind {
			t.Errorf("last word %v or %v", one.LastKind, two.LastKind)
		}
	})
}

func compare(t *testing.T, one, two func([]byte) (LineKind, int, error), b []byte, split int) {
	if len(b) >= MaxLineLength || split < 0 {
		return
	}
	wholeEvents, wholeCount, wholeErr := drive(one, b, len(b))
	cutEvents, cutCount, cutErr := drive(two, b, split)
	if len(wholeEvents) != len(cutEvents) || wholeCount != cutCount || wholeErr != cutErr {
		t.Errorf("%q: %v, %d lines, %v; cut at %d: %v, %d lines, %v", b, wholeEvents, wholeCount, wholeErr, split,
			cutEvents, cutCount, cutErr)
	}
}
