package mesa

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The frame that the wire's page gives as its example.
const sample = `0000005b 40c06e2000000000 00000005
78 00000003
82 00098b635d3a91c4 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 2b8e6401d9f37c10 01
14 000000000000004d
78 00000005
28 000243eb0e6f2b19`

func decodeAll(frame []byte) ([]Event, time.Duration, error) {
	d, now, err := NewDecoder(frame)
	if err != nil {
		return nil, 0, err
	}
	var got []Event
	for {
		var e Event
		if err := d.Next(&e); errors.Is(err, io.EOF) {
			return got, now, nil
		} else if err != nil {
			return got, now, err
		}
		got = append(got, e)
	}
}

func frame(records uint32, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(headerSize+len(body)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(8412.25))
	b = binary.BigEndian.AppendUint32(b, records)
	return append(b, body...)
}

func TestDecodeSample(t *testing.T) {
	got, now, err := decodeAll(unhex(t, sample))
	if err != nil {
		t.Fatal(err)
	}
	if want := 8412250 * time.Microsecond; now != want {
		t.Errorf("clock %v, want %v", now, want)
	}
	var codes []Code
	for _, e := range got {
		codes = append(codes, e.Code)
	}
	if want := []Code{About, Call, Fired, About, Dropped}; len(codes) != len(want) {
		t.Fatalf("codes %v, want %v", codes, want)
	}
	r := got[1].Request
	want := balance.Request{ID: 0x98b635d3a91c4, Key: 0x91f03b7c55d20a64, TimeLeft: 240 * time.Millisecond,
		ExpectedLoad: 12000, Group: 0x2b8e6401d9f37c10}
	if r != want {
		t.Errorf("call %+v, want %+v", r, want)
	}
	if got[2].Token != 0x4d || got[4].Outcome.ID != 0x243eb0e6f2b19 {
		t.Errorf("timer %+v, dropped %+v", got[2].Token, got[4].Outcome.ID)
	}
}

func TestDecodeEachEvent(t *testing.T) {
	for _, tc := range []struct {
		name, hex string
		check     func(e Event) bool
	}{
		{"begun", "8c 00098b635d3a91c4 4022800000000000 0a124a07 1b5b 0000", func(e Event) bool {
			return e.Outcome.Latency == 9250*time.Microsecond && e.Outcome.Backend == 0x0a124a071b5b
		}},
		{"note", "0a 00098b635d3a91c4 0000 0a124a07 1b5b 01 3f000000", func(e Event) bool {
			return e.NoteKind == balance.SignalConnectionLoad && e.Value == 0.5
		}},
		{"settled", "6e 00098b635d3a91c4 0002 0a124a07 1b5b 006e 4032800000000000 01 01 3f000000", func(e Event) bool {
			return e.Outcome.Status == balance.StatusTimeout && e.Outcome.Closed && e.Outcome.Attempt == 2 &&
				len(e.Outcome.Load) == 1
		}},
		{"probed", "5a 0000 3ff6666666666666 0a9011f2 1b84 03 3f1eb8523f0000003ecccccd", func(e Event) bool {
			return e.Report.Backend == 0x0a9011f21b84 && len(e.Report.Load) == 3 && e.Report.Load[1] == 0.5
		}},
		{"datagram", "3c 00000002 0004 68692037", func(e Event) bool { return e.From == 2 && string(e.Data) == "hi 7" }},
		{"exit", "64", func(e Event) bool { return e.Code == Exit }},
		{"view", "32 02 00000000 0000000000000029", func(e Event) bool {
			return e.Kind == balance.UpdateCached && e.Version == 41
		}},
		{"resumed", "50 000243eb0e6f2b19 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 " +
			"2b8e6401d9f37c10 18 0a9011f2 1b84", func(e Event) bool {
			return e.Backend == 0x0a9011f21b84 && e.Request.MidStream && e.Request.Reconnecting && e.Request.ExpectedLoad == 0
		}},
		{"inventory", "46 00000000 00000002 01 0000 0000 3f800000 0a124a07 1b5b 0000 0000000000000000 " +
			"02 0001 0000 3fc00000 0a9011f2 1b84 0003 40b7d40000000000", func(e Event) bool {
			return len(e.List) == 2 && e.List[1].State == balance.StateDraining && e.List[1].Weight == 1.5 &&
				e.List[1].ReadyAt == 6100*time.Millisecond && e.List[1].Zone == 1 && e.List[1].Kind == 3
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := unhex(t, tc.hex)
			got, _, err := decodeAll(frame(1, body))
			if err != nil || len(got) != 1 || !tc.check(got[0]) {
				t.Fatalf("got %+v, %v", got, err)
			}
			for n := range body { // cut off anywhere, it is an error that says where
				if _, _, err := decodeAll(frame(1, body[:n])); err == nil || !strings.Contains(err.Error(), "offset") {
					t.Fatalf("cut to %d bytes: %v", n, err)
				}
			}
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		frame      []byte
	}{
		{"unknown code", "unknown event code 99 at offset 16", frame(1, []byte{99})},
		{"unknown outcome", "unknown outcome code 7", frame(1, unhex(t, "5a 0007 3ff6666666666666 0a9011f2 1b84 00"))},
		{"list too long", "list of 4294967295 lines", frame(1, unhex(t, "46 00000000 ffffffff"))},
		{"list slot", "list slot 16", frame(1, unhex(t, "46 00000010 00000000"))},
		{"settings too long", "bytes wanted", frame(1, unhex(t, "1e 0000000000000001 ffffffff"))},
		{"count too large", "record count", frame(9000, []byte{100})},
		{"bytes left over", "after the last record", frame(1, []byte{100, 100})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, _, err := decodeAll(tc.frame); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %q", err, tc.want)
			}
		})
	}
}

func TestReadFrame(t *testing.T) {
	var buf bytes.Buffer
	whole := frame(1, []byte{100})
	r := bytes.NewReader(append(bytes.Clone(whole), whole...))
	for range 2 {
		if err := ReadFrame(r, &buf); err != nil || !bytes.Equal(buf.Bytes(), whole) {
			t.Fatalf("%x, %v", buf.Bytes(), err)
		}
	}
	if err := ReadFrame(r, &buf); !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil { // io.EOF itself
		t.Errorf("at the end: %v, want io.EOF", err)
	}
	for n := 1; n < len(whole); n++ {
		if err := ReadFrame(bytes.NewReader(whole[:n]), &buf); !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			t.Errorf("cut to %d bytes: %v", n, err)
		}
	}
	huge := append([]byte{0xff, 0xff, 0xff, 0xff}, whole[4:]...)
	if err := ReadFrame(bytes.NewReader(huge), &buf); err == nil || !strings.Contains(err.Error(), "offset 0") {
		t.Errorf("oversized: %v", err)
	}
}

func TestReplySample(t *testing.T) {
	var r Reply
	r.Reset()
	a, b := Writer{&r, 3}, Writer{&r, 5}
	a.Send(0x98b635d3a91c4, 0x0a124a071b5b, 80*time.Millisecond)
	a.SetTimer(0x4d, 500*time.Millisecond)
	b.Log("two servers known")
	want := unhex(t, `00000005 0000004e
28 00000003
46 00098b635d3a91c4 0a124a07 1b5b 4054000000000000
5a 000000000000004d 407f400000000000
28 00000005
32 0011 74776f2073657276657273206b6e6f776e`)
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("reply\n%x, want\n%x", got, want)
	}
	r.Reset()
	if got := r.Bytes(); !bytes.Equal(got, unhex(t, "00000000 00000008")) {
		t.Errorf("empty reply %x", got)
	}
}

func TestReplyEachAction(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		do         func(w Writer)
	}{
		{"cancel", "0a 00098b635d3a91c4 0001", func(w Writer) { w.Cancel(0x98b635d3a91c4, 1) }},
		{"refuse", "1e 000243eb0e6f2b19 406f400000000000", func(w Writer) {
			w.Reject(0x243eb0e6f2b19, 250*time.Millisecond)
		}},
		{"fail", "82 000243eb0e6f2b19", func(w Writer) { w.Fail(0x243eb0e6f2b19) }},
		{"move", "8c 000243eb0e6f2b19", func(w Writer) { w.Migrate(0x243eb0e6f2b19) }},
		{"probe", "6e 0a9011f2 1b84", func(w Writer) { w.CheckHealth(0x0a9011f21b84) }},
		{"release", "50 0a9011f2 1b84", func(w Writer) { w.ReleaseHealthCheck(0x0a9011f21b84) }},
		{"tell all", "78 ffff 0004 68692037", func(w Writer) { w.SendGossip(-1, []byte("hi 7")) }},
		{"subscribe", "64 01", func(w Writer) { w.WatchEndpoints(true) }},
		{"unsubscribe", "64 00", func(w Writer) { w.WatchEndpoints(false) }},
		{"fetch", "3c", func(w Writer) { w.FetchEndpoints() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Reply
			r.Reset()
			tc.do(Writer{&r, 1})
			if got, want := r.Bytes()[replyHeader+5:], unhex(t, tc.want); !bytes.Equal(got, want) {
				t.Errorf("%x, want %x", got, want)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(frame(1, unhex(f, "46 00000000 ffffffff")))
	f.Fuzz(func(t *testing.T, b []byte) {
		var buf bytes.Buffer
		if ReadFrame(bytes.NewReader(b), &buf) != nil {
			return
		}
		got, _, _ := decodeAll(buf.Bytes())
		if len(got) > len(b) {
			t.Errorf("%d records out of %d bytes", len(got), len(b))
		}
	})
}
