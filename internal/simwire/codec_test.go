package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/golden"

	"aspenbarrow/balance"
)

// recordedFrames holds the events of a sequence of frames: configuration, endpoint lists, requests, ended attempts and the
// exit. Every event code and every status occurs, and every field has a value other than 0 at least once.
var recordedFrames = [][]string{
	{
		"78 00000003", "1e 0123456789abcdef 00000007 7b2261223a317d", "32 02 00000001 0000000000000029",
		"46 00000001 00000003 01 0001 0002 3f800000 0a124a07 1b5b 0001 40b7d40000000000 " +
			"02 0001 0003 3fc00000 0a9011f2 1b84 0003 0000000000000000 00 0000 0000 00000000 ffffffff ffff 0000 0000000000000000",
		"78 00000005", "1e 00000000000000ff 00000000", "32 00 0000000f 0000000000000001", "32 01 00000000 0000000000000002",
		"32 03 000000ff 0000000000000003", "46 0000000f 00000000",
	},
	{
		"78 00000003",
		"82 00098b635d3a91c4 02 00000004 91f03b7c55d20a64 406e000000000000 4028000000000000 2b8e6401d9f37c10 13",
		"82 00098b635d3a91c5 00 00000000 0000000000000000 4028800000000000 0000000000000000 0000000000000000 08",
		"50 000243eb0e6f2b19 01 00000001 91f03b7c55d20a64 406e000000000000 4028000000000000 2b8e6401d9f37c10 19 0a9011f2 1b84",
		"8c 00098b635d3a91c4 4022800000000000 0a124a07 1b5b 0001",
		"0a 00098b635d3a91c4 0001 0a124a07 1b5b 01 46c35000", "0a 00098b635d3a91c4 0001 0a124a07 1b5b 02 41480000",
		"14 000000000000004d", "28 000243eb0e6f2b19", "3c 00000002 0004 68692037", "3c 00010000 0000",
	},
	{
		"78 ffffffff",
		"6e 00098b635d3a91c4 0002 0a124a07 1b5b 0000 4032800000000000 01 02 3f000000 3e800000",
		"6e 00098b635d3a91c4 0003 0a124a07 1b5b 0005 4032800000000000 00 00",
		"6e 00098b635d3a91c4 0004 0a124a07 1b5b 000b 4032800000000000 00 00",
		"6e 00098b635d3a91c4 0005 0a124a07 1b5b 006e 4032800000000000 00 00",
		"6e 00098b635d3a91c4 0006 0a124a07 1b5b 006f 4032800000000000 00 00",
		"6e 00098b635d3a91c4 0007 0a124a07 1b5b 0068 4032800000000000 00 00",
		"6e 00098b635d3a91c4 0008 0a124a07 1b5b 007d 4032800000000000 00 00",
		"6e 00098b635d3a91c4 ffff 0a124a07 1b5b 0072 4032800000000000 01 00",
		"5a 0000 3ffc000000000000 0a9011f2 1b84 03 3f1eb8523f0000003ecccccd",
		"5a 006f 406f400000000000 0a9011f2 1b84 00",
		"64",
	},
	{},
}

// statuses holds the name of each status in events.txt and its code on the wire.
var statuses = map[balance.Status]struct {
	name string
	code uint16
}{balance.StatusOK: {"ok", 0}, balance.StatusError: {"error", 5}, balance.StatusOverloaded: {"full", 11}, balance.StatusTimeout: {"timeout", 110},
	balance.StatusConnectFailed: {"connect failed", 111}, balance.StatusReset: {"reset", 104}, balance.StatusCancelled: {"cancelled", 125}, balance.StatusAbandoned: {"moot", 114}}

func describeRequest(r *balance.Request) string {
	return fmt.Sprintf("id %x, class %d, tenant %d, key %x, left %v, load %v, group %x, repeat %v, mid-flow %v, back %v",
		r.ID, r.Class, r.Tenant, r.Key, r.TimeLeft, r.ExpectedLoad, r.Group, r.ClientRetry, r.MidStream, r.Reconnecting)
}

// describeEvent formats all fields of an event.
func describeEvent(t *testing.T, e *Event) string {
	result, check := &e.Result, &e.HealthCheck
	switch e.Code {
	case EventSelectInstance:
		return fmt.Sprintf("about: relay %d", e.Instance)
	case EventConfigure:
		return fmt.Sprintf("configure: seed %x, settings %q", e.Seed, e.Settings)
	case EventEndpointsUpdated:
		kind := map[balance.EndpointUpdateKind]string{balance.UpdateDelta: "delta", balance.UpdateFull: "full", balance.UpdateCached: "cached", balance.UpdateFailed: "failed"}
		return fmt.Sprintf("view: %s, slot %d, version %d", kind[e.UpdateKind], e.ListSlot, e.ListVersion)
	case EventEndpointList:
		s := fmt.Sprintf("inventory: slot %d", e.ListSlot)
		state := map[balance.BackendState]string{balance.StateRemoved: "gone", balance.StateReady: "ready", balance.StateDraining: "draining"}
		for _, b := range e.Backends {
			s += fmt.Sprintf("; %x %s, zone %d, cell %d, weight %v, kind %d, ready at %v", uint64(b.ID), state[b.State], b.Zone, b.Cell, b.Weight, b.Kind, b.ReadyAt)
		}
		return s
	case EventRequestArrived:
		return "call: " + describeRequest(&e.Request)
	case EventSessionAdopted:
		return fmt.Sprintf("resumed: %s, at %x", describeRequest(&e.Request), uint64(e.Backend))
	case EventAttemptSucceeded:
		return fmt.Sprintf("begun: id %x, attempt %d, at %x, after %v", result.ID, result.Attempt, uint64(result.Backend), result.Latency)
	case EventLoadReported:
		kind := map[balance.LoadSignal]string{balance.SignalConnectionLoad: "load", balance.SignalMessageDelay: "delay"}
		return fmt.Sprintf("note: id %x, attempt %d, at %x, %s %v", result.ID, result.Attempt, uint64(e.Backend), kind[e.Signal], e.SignalValue)
	case EventAttemptEnded:
		return fmt.Sprintf("settled: id %x, attempt %d, at %x, %s after %v, closed %v, load %v", result.ID, result.Attempt, uint64(result.Backend),
			statuses[result.Status].name, result.Latency, result.Closed, result.Load)
	case EventClientClosed:
		return fmt.Sprintf("dropped: id %x", result.ID)
	case EventTimerFired:
		return fmt.Sprintf("fired: token %d", e.TimerToken)
	case EventHealthCheckDone:
		return fmt.Sprintf("probed: %x, %s after %v, load %v", uint64(check.Backend), statuses[check.Status].name, check.Latency, check.Load)
	case EventGossipReceived:
		return fmt.Sprintf("datagram: from %d, %q", e.Peer, e.Payload)
	case EventExit:
		return "exit"
	}
	t.Fatalf("no description of event code %d", e.Code)
	return ""
}

// recordWriter encodes records as the simulator does.
type recordWriter struct{ bytes []byte }

func (w *recordWriter) uint8(v uint8)                { w.bytes = append(w.bytes, v) }
func (w *recordWriter) uint16(v uint16)              { w.bytes = binary.BigEndian.AppendUint16(w.bytes, v) }
func (w *recordWriter) uint32(v uint32)              { w.bytes = binary.BigEndian.AppendUint32(w.bytes, v) }
func (w *recordWriter) uint64(v uint64)              { w.bytes = binary.BigEndian.AppendUint64(w.bytes, v) }
func (w *recordWriter) float32(v float32)            { w.uint32(math.Float32bits(v)) }
func (w *recordWriter) float64(v float64)            { w.uint64(math.Float64bits(v)) }
func (w *recordWriter) milliseconds(d time.Duration) { w.float64(float64(d) / 1e6) }
func (w *recordWriter) status(s balance.Status)      { w.uint16(statuses[s].code) }

func (w *recordWriter) backend(id balance.BackendID) {
	w.uint32(uint32(id >> 16))
	w.uint16(uint16(id))
}

func (w *recordWriter) load(values []float32) {
	w.uint8(uint8(len(values)))
	for _, v := range values {
		w.float32(v)
	}
}

// flag8 returns bit if on is true and 0 otherwise.
func flag8(on bool, bit uint8) uint8 {
	if on {
		return bit
	}
	return 0
}

func (w *recordWriter) request(r *balance.Request) {
	w.uint64(r.ID)
	w.uint8(uint8(r.Class))
	w.uint32(uint32(r.Tenant))
	w.uint64(r.Key)
	w.milliseconds(r.TimeLeft)
	w.float64(r.ExpectedLoad / 1000)
	w.uint64(r.Group)
	w.uint8(flag8(r.ExpectedLoad > 0, 1) | flag8(r.ClientRetry, 2) | flag8(r.MidStream, 8) | flag8(r.Reconnecting, 16))
}

func (w *recordWriter) endpoint(b *balance.Backend) {
	w.uint8(uint8(b.State))
	w.uint16(uint16(b.Zone))
	w.uint16(uint16(b.Cell))
	w.float32(float32(b.Weight))
	w.backend(b.ID)
	w.uint16(uint16(b.Kind))
	w.milliseconds(b.ReadyAt)
}

// endpointEvent encodes the fields of an event about backends and reports whether e is one.
func (w *recordWriter) endpointEvent(e *Event) bool {
	switch e.Code {
	case EventEndpointsUpdated:
		w.uint8(uint8(e.UpdateKind))
		w.uint32(e.ListSlot)
		w.uint64(e.ListVersion)
	case EventEndpointList:
		w.uint32(e.ListSlot)
		w.uint32(uint32(len(e.Backends)))
		for i := range e.Backends {
			w.endpoint(&e.Backends[i])
		}
	case EventHealthCheckDone:
		w.status(e.HealthCheck.Status)
		w.milliseconds(e.HealthCheck.Latency)
		w.backend(e.HealthCheck.Backend)
		w.load(e.HealthCheck.Load)
	default:
		return false
	}
	return true
}

// requestEvent encodes the fields of an event about a request and reports whether e is one.
func (w *recordWriter) requestEvent(e *Event) bool {
	r := &e.Result
	switch e.Code {
	case EventRequestArrived:
		w.request(&e.Request)
	case EventSessionAdopted:
		w.request(&e.Request)
		w.backend(e.Backend)
	case EventAttemptSucceeded:
		w.uint64(r.ID)
		w.milliseconds(r.Latency)
		w.backend(r.Backend)
		w.uint16(uint16(r.Attempt))
	case EventLoadReported:
		w.uint64(r.ID)
		w.uint16(uint16(r.Attempt))
		w.backend(e.Backend)
		w.uint8(uint8(e.Signal))
		w.float32(float32(e.SignalValue))
	case EventAttemptEnded:
		w.uint64(r.ID)
		w.uint16(uint16(r.Attempt))
		w.backend(r.Backend)
		w.status(r.Status)
		w.milliseconds(r.Latency)
		w.uint8(flag8(r.Closed, 1))
		w.load(r.Load)
	case EventClientClosed:
		w.uint64(r.ID)
	default:
		return false
	}
	return true
}

// encodeEvent encodes a decoded event as the simulator does, so that a field that decoding loses shows as a difference. By
// design, decoding drops a load hint whose flag is not set and flags that the decoder does not read; recordedFrames has none.
func encodeEvent(t *testing.T, e *Event) []byte {
	w := &recordWriter{bytes: []byte{byte(e.Code)}}
	if w.endpointEvent(e) || w.requestEvent(e) {
		return w.bytes
	}
	switch e.Code {
	case EventSelectInstance:
		w.uint32(e.Instance)
	case EventConfigure:
		w.uint64(e.Seed)
		w.uint32(uint32(len(e.Settings)))
		w.bytes = append(w.bytes, e.Settings...)
	case EventTimerFired:
		w.uint64(e.TimerToken)
	case EventGossipReceived:
		w.uint32(uint32(e.Peer))
		w.uint16(uint16(len(e.Payload)))
		w.bytes = append(w.bytes, e.Payload...)
	case EventExit:
	default:
		t.Fatalf("no encoding of event code %d", e.Code)
	}
	return w.bytes
}

// readHexLines decodes the lines of a golden file that consist of hexadecimal digits and skips the others.
func readHexLines(t *testing.T, name string) (out [][]byte) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if b, err := hex.DecodeString(strings.TrimSpace(line)); err == nil {
			out = append(out, b)
		}
	}
	return out
}

// Recorded frames of the simulator decode to the recorded events, and those encode to the same bytes.
func TestCodec_MatchesGoldenFrames(t *testing.T) {
	if golden.Updating() {
		var all strings.Builder
		for _, events := range recordedFrames {
			fmt.Fprintf(&all, "%x\n", frame(uint32(len(events)), unhex(t, strings.Join(events, " "))))
		}
		golden.Compare(t, "frames.txt", all.String())
	}
	frames := readHexLines(t, "frames.txt")
	if len(frames) != len(recordedFrames) {
		t.Fatalf("frames.txt has %d frames, want %d", len(frames), len(recordedFrames))
	}
	var out strings.Builder
	seen := map[EventCode]bool{}
	var buf bytes.Buffer
	stream := bytes.NewReader(slices.Concat(frames...))
	for _, f := range frames {
		if err := ReadFrame(stream, &buf); err != nil || !bytes.Equal(buf.Bytes(), f) {
			t.Fatalf("ReadFrame: %v, got %x, want %x", err, buf.Bytes(), f)
		}
		events, now, err := decodeAll(f)
		if err != nil {
			t.Fatalf("%x: %v", f, err)
		}
		fmt.Fprintf(&out, "frame at %v\n", now)
		var encoded []byte
		for i := range events {
			seen[events[i].Code] = true
			fmt.Fprintf(&out, "%s\n", describeEvent(t, &events[i]))
			encoded = append(encoded, encodeEvent(t, &events[i])...)
		}
		if encoded = frame(uint32(len(events)), encoded); !bytes.Equal(encoded, f) {
			t.Errorf("encoded again\n%x, want\n%x", encoded, f)
		}
	}
	if err := ReadFrame(stream, &buf); !errors.Is(err, io.EOF) || errors.Unwrap(err) != nil {
		t.Errorf("after the last frame: %v", err)
	}
	golden.Compare(t, "events.txt", out.String())
	for _, c := range []EventCode{EventLoadReported, EventTimerFired, EventConfigure, EventClientClosed, EventEndpointsUpdated, EventGossipReceived, EventEndpointList, EventSessionAdopted, EventHealthCheckDone, EventExit, EventAttemptEnded, EventSelectInstance, EventRequestArrived, EventAttemptSucceeded} {
		if !seen[c] {
			t.Errorf("no recorded frame has event code %d", c)
		}
	}
}

// The errors for truncated and malformed frames match the golden file.
func TestDecoder_ErrorTextsMatchGolden(t *testing.T) {
	var out strings.Builder
	for i, f := range readHexLines(t, "frames.txt") {
		for n := range f {
			cut := slices.Clone(f[:n])
			if n >= headerSize { // set the header's length to that of the truncated frame
				binary.BigEndian.PutUint32(cut, uint32(n))
			}
			if _, _, err := decodeAll(cut); err == nil {
				t.Errorf("frame %d cut to %d bytes is accepted", i, n)
			} else if n%37 == 0 {
				fmt.Fprintf(&out, "frame %d cut to %d: %v\n", i, n, err)
			}
		}
	}
	for _, body := range []string{"63", "5a 0007 3ff6666666666666 0a9011f2 1b84 00", "46 00000000 ffffffff", "46 00000010 00000000",
		"46 00000000 00000001 03 0000 0000 3f800000 0a124a07 1b5b 0000 0000000000000000", "32 04 00000000 0000000000000029",
		"32 00 00000010 0000000000000029", "1e 0000000000000001 ffffffff", "64 64"} {
		_, _, err := decodeAll(frame(1, unhex(t, body)))
		fmt.Fprintf(&out, "%s: %v\n", body, err)
	}
	for _, f := range [][]byte{frame(9000, []byte{100}), append(frame(1, []byte{100}), 1)} {
		_, _, err := decodeAll(f)
		fmt.Fprintf(&out, "%x: %v\n", f, err)
	}
	golden.Compare(t, "refusals.txt", out.String())
}

// writeWatch writes either form of the record that WatchEndpoints writes with the flag 1.
func writeWatch(w ActionWriter, on bool) {
	w.Reply.record(w.Instance, actionWatchEndpoints)
	w.Reply.flag(on)
}

// writeEveryAction writes every action, with values other than 0, for several instances in turn.
func writeEveryAction(r *Reply) {
	a, b := ActionWriter{r, 3}, ActionWriter{r, 0xfffffffe}
	a.WatchEndpoints()
	a.FetchEndpoints()
	a.Send(0x98b635d3a91c4, 0x0a124a071b5b, 80*time.Millisecond)
	a.Cancel(0x98b635d3a91c4, 1)
	a.Reject(0x243eb0e6f2b19, 250*time.Millisecond)
	b.Fail(0x243eb0e6f2b19)
	b.Migrate(0x243eb0e6f2b19)
	b.CheckHealth(0x0a9011f21b84)
	b.ReleaseHealthCheck(0x0a9011f21b84)
	b.SendGossip(-1, []byte("hi 7"))
	b.SendGossip(2, nil)
	a.SetTimer(0x4d, 1500*time.Microsecond)
	a.Log("two servers known")
	writeWatch(a, false)
	r.Fatal(9, "broken")
	b.Log(strings.Repeat("x", maxTextSize+1))
}

// reencodeReply decodes the records of a reply and encodes each one into to.
func reencodeReply(t *testing.T, reply []byte, to *Reply) {
	t.Helper()
	records, b := binary.BigEndian.Uint32(reply), reply[replyHeaderSize:]
	if n := binary.BigEndian.Uint32(reply[4:]); int(n) != len(reply) {
		t.Fatalf("reply of %d bytes has length %d in its header", len(reply), n)
	}
	take := func(n int) []byte { p := b[:n]; b = b[n:]; return p }
	u16 := func() int { return int(binary.BigEndian.Uint16(take(2))) }
	u64 := func() uint64 { return binary.BigEndian.Uint64(take(8)) }
	milliseconds := func() time.Duration { return time.Duration(math.Float64frombits(u64()) * 1e6) }
	backend := func() balance.BackendID {
		return balance.BackendID(uint64(binary.BigEndian.Uint32(take(4)))<<16 | uint64(u16()))
	}
	to.Reset()
	w := ActionWriter{Reply: to}
	for ; len(b) > 0; records-- {
		switch code := take(1)[0]; code {
		case 40:
			w.Instance = binary.BigEndian.Uint32(take(4))
		case 10:
			id := u64()
			w.Cancel(id, u16())
		case 20:
			to.Fatal(w.Instance, string(take(u16())))
		case 30:
			id := u64()
			w.Reject(id, milliseconds())
		case 50:
			w.Log(string(take(u16())))
		case 60:
			w.FetchEndpoints()
		case 70:
			id, at := u64(), backend()
			w.Send(id, at, milliseconds())
		case 80:
			w.ReleaseHealthCheck(backend())
		case 90:
			token := u64()
			w.SetTimer(token, milliseconds())
		case 100:
			writeWatch(w, take(1)[0] == 1)
		case 110:
			w.CheckHealth(backend())
		case 120:
			peer := u16()
			if peer == math.MaxUint16 {
				peer = -1
			}
			w.SendGossip(peer, take(u16()))
		case 130:
			w.Fail(u64())
		case 140:
			w.Migrate(u64())
		default:
			t.Fatalf("unknown action code %d", code)
		}
	}
	if records != 0 {
		t.Fatalf("record count in the header is %d too high", int32(records))
	}
}

// A reply with every action matches the golden bytes, and its records, decoded and encoded again, are the same bytes.
func TestReply_MatchesGoldenBytes(t *testing.T) {
	var r Reply
	r.Reset()
	writeEveryAction(&r)
	// The golden file holds only the size of the last text, which is truncated to maxTextSize.
	got, tail := r.Bytes(), bytes.Repeat([]byte("x"), maxTextSize)
	short, ok := bytes.CutSuffix(got, tail)
	if !ok {
		t.Fatal("the reply does not end with the truncated text")
	}
	golden.Compare(t, "reply.txt", fmt.Sprintf("%x\nand %d times 78\n", short, len(tail)))
	stored := readHexLines(t, "reply.txt")
	if len(stored) != 1 {
		t.Fatalf("reply.txt has %d replies, want 1", len(stored))
	}
	whole := append(stored[0], tail...)
	var again Reply
	reencodeReply(t, whole, &again)
	if !bytes.Equal(again.Bytes(), whole) {
		t.Error("the reply differs after decoding and encoding")
	}
}
