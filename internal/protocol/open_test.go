package protocol

import (
	"bytes"
	"errors"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
)

// idAndKey is an OPEN line up to its parameters.
const idAndKey = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "

func TestParseOpen_AllParameters(t *testing.T) {
	const line = idAndKey + "c=order,d=1500.5,g=5c0f6e1a2b3d4c59,t=bolt,h=2.5,r=1,again=1,mid=1,new=x\r\n"
	o, err := ParseOpen([]byte(line), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	want := balance.Request{Class: 1, Tenant: 1, Key: 0x7f3a9c21e0b4d655, Group: 0x5c0f6e1a2b3d4c59, ExpectedLoad: 2500,
		ClientRetry: true, MidStream: true, Reconnecting: true}
	if o.Request != want || o.ID != 0x9b1f03aa5c7e2d41 || o.Timeout != 1500500*time.Microsecond ||
		line[o.timeoutStart:o.timeoutEnd] != "1500.5" {
		t.Errorf("%+v", o)
	}
	withoutPassThrough := *testSettings
	withoutPassThrough.PassThrough = false
	if _, err := ParseOpen([]byte(line), &withoutPassThrough); !errors.Is(err, ErrSyntax) {
		t.Errorf("mid-stream without pass-through: got error %v, want %v", err, ErrSyntax)
	}
}

func TestParseOpen_HolderAndLongTimeout(t *testing.T) {
	o, err := ParseOpen([]byte(idAndKey+"c=chat,d=30000,at=s-1\r\n"), testSettings)
	if err != nil || string(o.Holder) != "s-1" ||
		o.Timeout != 2*time.Second {
		t.Errorf("%+v, %v", o, err)
	}
}

func TestParseOpen_RejectsParameters(t *testing.T) {
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
		{"c=chat,d=1" + strings.Repeat(",n=1", maxParameters), ErrSyntax},
	} {
		_, err := ParseOpen([]byte(idAndKey+tc.rest+"\r\n"), testSettings)
		if !errors.Is(err, tc.want) {
			t.Errorf("%.40q: got error %v, want %v", tc.rest, err, tc.want)
		}
		if lineError := (LineError{}); !errors.As(err, &lineError) || lineError.Kind != KindOpen {
			t.Errorf("%.40q: error %#v is not that of an OPEN line", tc.rest, err)
		}
	}
}

func TestParseOpen_RejectsWords(t *testing.T) {
	for _, words := range []string{"OPEN 9b1f03aa5c7e2d4 7f3a9c21e0b4d655", "OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41 07f3a9c21e0b4d655", "OPEN 0x1f03aa5c7e2d41 7f3a9c21e0b4d655", "OPEN  7f3a9c21e0b4d655",
		"OPEN 9b1f03aa5c7e2d41", "OPEN", "", "open 9b1f03aa5c7e2d41 7f3a9c21e0b4d655"} {
		if _, err := ParseOpen([]byte(words+" c=chat,d=1\r\n"), testSettings); err == nil {
			t.Errorf("%q is accepted", words)
		}
	}
}

func TestParseOpen_NamesRejectedParameter(t *testing.T) {
	for rest, want := range map[string]string{"c=chat,d=x": "d", "c=cat,d=1": "c", "c=chat,d=1,new=1,new=2": "new", "c=chat": ""} {
		_, err := ParseOpen([]byte(idAndKey+rest+"\r\n"), testSettings)
		if lineError := (LineError{}); !errors.As(err, &lineError) || lineError.Parameter != want {
			t.Errorf("%q: got parameter %q, want %q", rest, lineError.Parameter, want)
		}
	}
}

// allocatedBytes returns how many bytes a call of f allocates, on average over many calls.
func allocatedBytes(f func()) uint64 {
	const calls = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		f()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / calls
}

// Guards against memory that a client can use up with lines of very many short fields: refusing a line for their number takes no
// more memory than the longest line has bytes.
func TestParseOpen_ManyFieldsTakeLittleMemory(t *testing.T) {
	for name, fields := range map[string]string{
		"commas":     strings.Repeat(",", 4000),
		"parameters": strings.Repeat("a=b,", 1000),
		"words":      strings.Repeat("x ", 2000),
	} {
		t.Run(name, func(t *testing.T) {
			line := []byte(idAndKey + fields + "\r\n")
			if _, err := ParseOpen(line, testSettings); !errors.Is(err, ErrSyntax) {
				t.Fatalf("got error %v, want %v", err, ErrSyntax)
			}
			if got := allocatedBytes(func() { _, _ = ParseOpen(line, testSettings) }); got > MaxLineLength {
				t.Errorf("%d bytes allocated for a line of %d bytes, want %d at most", got, len(line), MaxLineLength)
			}
		})
	}
}

// Whatever a client sends, only lines in the protocol's form are accepted and so reach a backend.
func FuzzParseOpen(f *testing.F) {
	form := regexp.MustCompile(`^OPEN [0-9a-f]{16} [0-9a-f]{16} ([!-~]+=[!-~]+)(,[!-~]+=[!-~]+)*\r\n$`)
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1500,g=5c0f6e1a2b3d4c59,new=x"))
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 d=1e3,c=chat,d=0x1p4"))
	f.Fuzz(func(t *testing.T, b []byte) {
		line := append(bytes.Clone(b), crlf...)
		if _, n, err := cutLine(line); err != nil || n != len(line) {
			return
		}
		o, err := ParseOpen(line, testSettings)
		if err != nil {
			return
		}
		if !form.Match(line) || o.Timeout < 0 || o.Request.ExpectedLoad < 0 || !allDigits(bytes.Replace(line[o.timeoutStart:o.timeoutEnd], []byte("."), nil, 1)) {
			t.Errorf("%q is accepted as %+v", line, o)
		}
	})
}

func TestParseReport(t *testing.T) {
	for _, text := range []string{"", "x0=1", "x0=1,utilization=", "x0=1,utilization=NaN", "x0=1,utilization=1e999", "x0"} {
		if r := ParseReport([]byte(text), testSettings.ReportFieldNames); r != nil {
			t.Errorf("%q: %v", text, r)
		}
	}
	if r := ParseReport([]byte("new=7,x0=1,utilization=0"), testSettings.ReportFieldNames); len(r) != 2 || r[1] != 1 {
		t.Errorf("%v", r)
	}
}

// A field that is given twice counted as two fields: the report passed as complete although another field was missing, whose
// value was then 0, an idle backend; and of two values the last one counted, without a reason to prefer it.
func TestParseReport_RejectsRepeatedField(t *testing.T) {
	for _, text := range []string{"x0=1,x0=2", "utilization=1,utilization=1", "x0=1,utilization=0,x0=1", "x0=1,x0=2,utilization=0"} {
		if r := ParseReport([]byte(text), testSettings.ReportFieldNames); r != nil {
			t.Errorf("%q: got report %v, want none", text, r)
		}
	}
	if r := ParseReport([]byte("new=7,x0=1,new=x,utilization=2"), testSettings.ReportFieldNames); len(r) != 2 || r[0] != 2 || r[1] != 1 {
		t.Errorf("a repeated field of another version: got report %v, want [2 1]", r)
	}
}
