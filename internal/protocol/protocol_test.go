package protocol

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestCutLine(t *testing.T) {
	long := strings.Repeat("x", MaxLineLength-2)
	for _, tc := range []struct {
		name   string
		in     string
		line   string
		length int
		err    error
	}{
		{"empty", "", "", 0, nil},
		{"no line end", "PING", "", 0, nil},
		{"CR alone", "PING\r", "", 0, nil},
		{"line and rest", "PING\r\nX", "PING", 6, nil},
		{"empty line", "\r\n", "", 2, nil},
		{"bare LF", "\n", "", 0, ErrBareLF},
		{"bare LF before a whole line", "PING\nX\r\n", "", 0, ErrBareLF},
		{"longest line", long + "\r\n", long, MaxLineLength, nil},
		{"line too long", long + "x\r\n", "", 0, ErrLineTooLong},
		{"line too long without its end", long + "xx", "", 0, ErrLineTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			line, length, err := cutLine([]byte(tc.in))
			if string(line) != tc.line || length != tc.length || !errors.Is(err, tc.err) {
				t.Errorf("got %.20q, %d, %v; want %.20q, %d, %v", line, length, err, tc.line, tc.length, tc.err)
			}
		})
	}
}

func TestBackendReader_FirstLine(t *testing.T) {
	for line, want := range map[string]LineKind{"UP r1\r\n": KindUp, "UP\r\n": KindUp, "BYE\r\n": KindBye, "MOVE\r\n": KindMove,
		"ERR\r\n": KindError, "BUSY 20\r\n": KindBusy, "SYNTAX\r\n": KindSyntax, "UPPER\r\n": KindUnknown, "\r\n": KindUnknown} {
		r := BackendReader{ReportFields: testSettings.ReportFieldNames}
		if kind, length, err := r.Feed([]byte(line + "more")); kind != want || length != len(line) || err != nil {
			t.Errorf("%q: got kind %v, length %d, error %v; want kind %v", line, kind, length, err, want)
		}
	}
	r := BackendReader{ReportFields: testSettings.ReportFieldNames}
	if _, _, err := r.Feed([]byte("BUSY x0=0.9,utilization=0.61\r\n")); err != nil || len(r.Report) != 2 ||
		r.Report[0] != 0.61 || r.Report[1] != 0.9 {
		t.Errorf("got report %v, error %v", r.Report, err)
	}
}

func TestBackendReader_RemembersLastControlLine(t *testing.T) {
	r := BackendReader{Established: true}
	for _, step := range []struct {
		in       string
		length   int
		lastKind LineKind
		load     float64
	}{
		{"hello", 0, 0, 0},
		{"hello\r\nLOAD 12.5\r\nBY", 18, 0, 12.5},
		{"LOAD x\r\n", 8, 0, 0},
		{"BYEBYE\r\n", 8, 0, 0},
		{"MOVE\r\n", 6, KindMove, 0},
		{"BYE x0=1\r\n", 10, KindBye, 0},
	} {
		_, length, err := r.Feed([]byte(step.in))
		if length != step.length || err != nil || r.LastKind != step.lastKind || r.Load != step.load {
			t.Errorf("%q: got length %d, error %v, last kind %v, load %v", step.in, length, err, r.LastKind, r.Load)
		}
	}
	_, _, err := r.Feed(bytes.Repeat([]byte("x"), MaxLineLength))
	if want := (LineError{Kind: KindForward, Err: ErrLineTooLong}); !errors.Is(err, want) {
		t.Errorf("a line without an end: got %#v, want %#v", err, want)
	}
}

// feedFunc is a reader's Feed.
type feedFunc func([]byte) (LineKind, int, error)

// feedInTwo passes b to a reader in two pieces, the first of which has splitAt bytes.
func feedInTwo(feed feedFunc, b []byte, splitAt int) (kinds []LineKind, lines int, err error) {
	available := min(splitAt, len(b))
	for offset := 0; ; {
		kind, length, err := feed(b[offset:available])
		switch {
		case err != nil || length < 0 || length > available-offset:
			return kinds, lines, err
		case length == 0 && available == len(b):
			return kinds, lines, nil
		case length == 0:
			available = len(b)
			continue
		}
		lines += bytes.Count(b[offset:offset+length], []byte("\n"))
		if kind != KindForward || len(kinds) == 0 || kinds[len(kinds)-1] != KindForward {
			kinds = append(kinds, kind)
		}
		offset += length
	}
}

// compareSplit compares a reader that gets all bytes at once with one that gets them in two pieces.
func compareSplit(t *testing.T, whole, split feedFunc, b []byte, splitAt int) {
	if len(b) >= MaxLineLength || splitAt < 0 {
		return
	}
	wholeKinds, wholeCount, wholeErr := feedInTwo(whole, b, len(b))
	splitKinds, splitCount, splitErr := feedInTwo(split, b, splitAt)
	if len(wholeKinds) != len(splitKinds) || wholeCount != splitCount || !errors.Is(splitErr, wholeErr) {
		t.Errorf("%q: %v, %d lines, %v; split at %d: %v, %d lines, %v", b, wholeKinds, wholeCount, wholeErr, splitAt,
			splitKinds, splitCount, splitErr)
	}
}

// However the bytes are split, the readers find the same lines.
func FuzzClientReader(f *testing.F) {
	f.Add([]byte("PING\r\nOPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=5\r\nhello\r\nthere\r\n"), 9)
	f.Add([]byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=5\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, splitAt int) {
		whole, split := ClientReader{Settings: testSettings}, ClientReader{Settings: testSettings}
		compareSplit(t, whole.Feed, split.Feed, b, splitAt)
	})
}

func FuzzBackendReader(f *testing.F) {
	f.Add([]byte("UP r\r\nLOAD 3\r\nBYE\r\n"), 4)
	f.Add([]byte("BUSY utilization=1,x0=2\r\n"), 7)
	f.Fuzz(func(t *testing.T, b []byte, splitAt int) {
		whole, split := BackendReader{ReportFields: testSettings.ReportFieldNames}, BackendReader{ReportFields: testSettings.ReportFieldNames}
		compareSplit(t, whole.Feed, split.Feed, b, splitAt)
		if whole.LastKind != split.LastKind {
			t.Errorf("last kind %v or %v", whole.LastKind, split.LastKind)
		}
	})
}
