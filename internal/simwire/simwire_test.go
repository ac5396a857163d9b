package simwire

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

// documentedFrame is the example of the protocol's description.
const documentedFrame = `0000005b 40c06e2000000000 00000005
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

func TestDecoder_DecodesDocumentedFrame(t *testing.T) {
	got, now, err := decodeAll(unhex(t, documentedFrame))
	if err != nil {
		t.Fatal(err)
	}
	if want := 8412250 * time.Microsecond; now != want {
		t.Errorf("clock %v, want %v", now, want)
	}
	var codes []EventCode
	for _, e := range got {
		codes = append(codes, e.Code)
	}
	if want := []EventCode{EventSelectInstance, EventRequestArrived, EventTimerFired, EventSelectInstance, EventClientClosed}; len(codes) != len(want) {
		t.Fatalf("codes %v, want %v", codes, want)
	}
	r := got[1].Request
	want := balance.Request{ID: 0x98b635d3a91c4, Key: 0x91f03b7c55d20a64, TimeLeft: 240 * time.Millisecond,
		ExpectedLoad: 12000, Group: 0x2b8e6401d9f37c10}
	if r != want {
		t.Errorf("request %+v, want %+v", r, want)
	}
	if got[2].TimerToken != 0x4d || got[4].Result.ID != 0x243eb0e6f2b19 {
		t.Errorf("timer token %x, ID of the closed client %x", got[2].TimerToken, got[4].Result.ID)
	}
}

func TestDecoder_DecodesEachEvent(t *testing.T) {
	for _, tc := range []struct {
		name, hex string
		check     func(e Event) bool
	}{
		{"begun", "8c 00098b635d3a91c4 4022800000000000 0a124a07 1b5b 0000", func(e Event) bool {
			return e.Result.Latency == 9250*time.Microsecond && e.Result.Backend == 0x0a124a071b5b
		}},
		{"progress", "0a 00098b635d3a91c4 0000 0a124a07 1b5b 01 3f000000", func(e Event) bool {
			return e.Signal == balance.SignalConnectionLoad && e.SignalValue == 0.5
		}},
		{"settled", "6e 00098b635d3a91c4 0002 0a124a07 1b5b 006e 4032800000000000 01 01 3f000000", func(e Event) bool {
			return e.Result.Status == balance.StatusTimeout && e.Result.Closed && e.Result.Attempt == 2 &&
				len(e.Result.Load) == 1
		}},
		{"probed", "5a 0000 3ff6666666666666 0a9011f2 1b84 03 3f1eb8523f0000003ecccccd", func(e Event) bool {
			return e.HealthCheck.Backend == 0x0a9011f21b84 && len(e.HealthCheck.Load) == 3 && e.HealthCheck.Load[1] == 0.5
		}},
		{"datagram", "3c 00000002 0004 68692037", func(e Event) bool { return e.Peer == 2 && string(e.Payload) == "hi 7" }},
		{"exit", "64", func(e Event) bool { return e.Code == EventExit }},
		{"view", "32 02 00000000 0000000000000029", func(e Event) bool {
			return e.UpdateKind == balance.UpdateCached && e.ListVersion == 41
		}},
		{"resumed", "50 000243eb0e6f2b19 00 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 " +
			"2b8e6401d9f37c10 18 0a9011f2 1b84", func(e Event) bool {
			return e.Backend == 0x0a9011f21b84 && e.Request.MidStream && e.Request.Reconnecting && e.Request.ExpectedLoad == 0
		}},
		{"inventory", "46 00000000 00000002 01 0000 0000 3f800000 0a124a07 1b5b 0000 0000000000000000 " +
			"02 0001 0000 3fc00000 0a9011f2 1b84 0003 40b7d40000000000", func(e Event) bool {
			return len(e.Backends) == 2 && e.Backends[1].State == balance.StateDraining && e.Backends[1].Weight == 1.5 &&
				e.Backends[1].ReadyAt == 6100*time.Millisecond && e.Backends[1].Zone == 1 && e.Backends[1].Kind == 3
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			body := unhex(t, tc.hex)
			got, _, err := decodeAll(frame(1, body))
			if err != nil || len(got) != 1 || !tc.check(got[0]) {
				t.Fatalf("got %+v, %v", got, err)
			}
			for n := range body { // truncated at any byte, the error has the offset
				if _, _, err := decodeAll(frame(1, body[:n])); err == nil || !strings.Contains(err.Error(), "offset") {
					t.Fatalf("cut to %d bytes: %v", n, err)
				}
			}
		})
	}
}

func TestDecoder_RejectsMalformedFrames(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		frame      []byte
	}{
		{"unknown code", "unknown event code 99 at offset 16", frame(1, []byte{99})},
		{"unknown status", "unknown status code 7", frame(1, unhex(t, "5a 0007 3ff6666666666666 0a9011f2 1b84 00"))},
		{"list too long", "list of 4294967295 endpoints", frame(1, unhex(t, "46 00000000 ffffffff"))},
		{"list slot", "list slot 16", frame(1, unhex(t, "46 00000010 00000000"))},
		{"settings too long", "expected 4294967295 bytes", frame(1, unhex(t, "1e 0000000000000001 ffffffff"))},
		{"record count too large", "record count", frame(9000, []byte{100})},
		{"trailing bytes", "after the last record", frame(1, []byte{100, 100})},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, _, err := decodeAll(tc.frame); err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %q", err, tc.want)
			}
		})
	}
}

func TestDecoder_ErrorsCarryKindAndOffset(t *testing.T) {
	for _, tc := range []struct {
		name   string
		frame  []byte
		kind   ErrorKind
		offset int
		record EventCode // 0: the error is not within a record
	}{
		{"truncated header", frame(0, nil)[:9], Truncated, 9, 0},
		{"frame length", append(frame(1, []byte{100}), 1), BadFrameLength, 0, 0},
		{"record count", frame(9000, []byte{100}), BadRecordCount, 12, 0},
		{"trailing bytes", frame(1, []byte{100, 100}), TrailingBytes, 17, 0},
		{"unknown event", frame(1, []byte{99}), UnknownEvent, 16, 0},
		{"truncated record", frame(1, unhex(t, "14 000000")), Truncated, 17, EventTimerFired},
		{"unknown status", frame(1, unhex(t, "5a 0007 3ff6666666666666 0a9011f2 1b84 00")), BadValue, 17, EventHealthCheckDone},
		{"list slot", frame(1, unhex(t, "32 00 00000010 0000000000000029")), BadValue, 18, EventEndpointsUpdated},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := decodeAll(tc.frame)
			var frameError *FrameError
			if !errors.As(err, &frameError) || frameError.Kind != tc.kind || frameError.Offset != tc.offset {
				t.Errorf("error %#v, want kind %d at offset %d", err, tc.kind, tc.offset)
			}
			var recordError *RecordError
			if errors.As(err, &recordError) != (tc.record != 0) {
				t.Fatalf("error %#v, is a RecordError: want %v", err, tc.record != 0)
			}
			if recordError != nil && (recordError.Code != tc.record || recordError.Offset != headerSize) {
				t.Errorf("record error %+v, want event code %d at offset %d", recordError, tc.record, headerSize)
			}
		})
	}
}

func TestReadFrame_ReturnsWholeFramesAndRejectsTruncated(t *testing.T) {
	var buf bytes.Buffer
	whole := frame(1, []byte{100})
	r := bytes.NewReader(append(bytes.Clone(whole), whole...))
	for range 2 {
		if err := ReadFrame(r, &buf); err != nil || !bytes.Equal(buf.Bytes(), whole) {
			t.Fatalf("got %x, error %v; want %x", buf.Bytes(), err, whole)
		}
	}
	if err := ReadFrame(r, &buf); !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil { // io.EOF itself, not wrapped
		t.Errorf("at the end: %v, want io.EOF", err)
	}
	for n := 1; n < len(whole); n++ {
		err := ReadFrame(bytes.NewReader(whole[:n]), &buf)
		if !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			t.Errorf("cut to %d bytes: %v", n, err)
		}
		var frameError *FrameError
		if !errors.As(err, &frameError) || frameError.Kind != Truncated || frameError.Offset != n {
			t.Errorf("cut to %d bytes: %#v, want kind Truncated and offset %d", n, err, n)
		}
	}
	huge := append([]byte{0xff, 0xff, 0xff, 0xff}, whole[4:]...)
	if err := ReadFrame(bytes.NewReader(huge), &buf); err == nil || !strings.Contains(err.Error(), "offset 0") {
		t.Errorf("oversized: %v", err)
	}
}

func TestReply_EncodesDocumentedFrame(t *testing.T) {
	var r Reply
	r.Reset()
	a, b := ActionWriter{&r, 3}, ActionWriter{&r, 5}
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

func TestActionWriter_EncodesEachAction(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		do         func(w ActionWriter)
	}{
		{"cancel", "0a 00098b635d3a91c4 0001", func(w ActionWriter) { w.Cancel(0x98b635d3a91c4, 1) }},
		{"reject", "1e 000243eb0e6f2b19 406f400000000000", func(w ActionWriter) {
			w.Reject(0x243eb0e6f2b19, 250*time.Millisecond)
		}},
		{"fail", "82 000243eb0e6f2b19", func(w ActionWriter) { w.Fail(0x243eb0e6f2b19) }},
		{"migrate", "8c 000243eb0e6f2b19", func(w ActionWriter) { w.Migrate(0x243eb0e6f2b19) }},
		{"check health", "6e 0a9011f2 1b84", func(w ActionWriter) { w.CheckHealth(0x0a9011f21b84) }},
		{"release health check", "50 0a9011f2 1b84", func(w ActionWriter) { w.ReleaseHealthCheck(0x0a9011f21b84) }},
		{"gossip to all", "78 ffff 0004 68692037", func(w ActionWriter) { w.SendGossip(-1, []byte("hi 7")) }},
		{"watch", "64 01", func(w ActionWriter) { w.WatchEndpoints() }},
		{"stop watching", "64 00", func(w ActionWriter) { writeWatch(w, false) }},
		{"fetch", "3c", func(w ActionWriter) { w.FetchEndpoints() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var r Reply
			r.Reset()
			tc.do(ActionWriter{&r, 1})
			if got, want := r.Bytes()[replyHeaderSize+5:], unhex(t, tc.want); !bytes.Equal(got, want) {
				t.Errorf("%x, want %x", got, want)
			}
		})
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(unhex(f, documentedFrame))
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
