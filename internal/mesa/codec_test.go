package mesa

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
)

var update = flag.Bool("update", false, "write the golden files anew")

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

// recorded is a run of frames, each of events: a start, a list, requests, ends, and the exit. Every code and every
// outcome comes, and every field other than 0.
var recorded = [][]string{
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

// statuses are the words for outcomes here, with their codes on the wire.
var statuses = map[balance.Status]struct {
	word string
	code uint16
}{balance.StatusOK: {"ok", 0}, balance.StatusError: {"error", 5}, balance.StatusOverloaded: {"full", 11}, balance.StatusTimeout: {"timeout", 110},
	balance.StatusConnectFailed: {"connect failed", 111}, balance.StatusReset: {"reset", 104}, balance.StatusCancelled: {"cancelled", 125}, balance.StatusAbandoned: {"moot", 114}}

func requestWords(r *balance.Request) string {
	return fmt.Sprintf("id %x, class %d, tenant %d, key %x, left %v, load %v, group %x, repeat %v, mid-flow %v, back %v",
		r.ID, r.Class, r.Tenant, r.Key, r.TimeLeft, r.ExpectedLoad, r.Group, r.ClientRetry, r.MidStream, r.Reconnecting)
}

// words says all that an event holds.
func words(t *testing.T, e *Event) string {
	o, r := &e.Outcome, &e.Report
	switch e.Code {
	case About:
		return fmt.Sprintf("about: relay %d", e.Instance)
	case Configure:
		return fmt.Sprintf("configure: seed %x, settings %q", e.Seed, e.Info)
	case View:
		kind := map[balance.EndpointUpdateKind]string{balance.UpdateDelta: "delta", balance.UpdateFull: "full", balance.UpdateCached: "cached", balance.UpdateFailed: "failed"}
		return fmt.Sprintf("view: %s, slot %d, version %d", kind[e.Kind], e.Slot, e.Version)
	case Inventory:
		s := fmt.Sprintf("inventory: slot %d", e.Slot)
		state := map[balance.BackendState]string{balance.StateRemoved: "gone", balance.StateReady: "ready", balance.StateDraining: "draining"}
		for _, b := range e.List {
			s += fmt.Sprintf("; %x %s, zone %d, cell %d, weight %v, kind %d, ready at %v", uint64(b.ID), state[b.State], b.Zone, b.Cell, b.Weight, b.Kind, b.ReadyAt)
		}
		return s
	case Call:
		return "call: " + requestWords(&e.Request)
	case Resumed:
		return fmt.Sprintf("resumed: %s, at %x", requestWords(&e.Request), uint64(e.Backend))
	case Begun:
		return fmt.Sprintf("begun: id %x, attempt %d, at %x, after %v", o.ID, o.Attempt, uint64(o.Backend), o.Latency)
	case Note:
		kind := map[balance.LoadSignal]string{balance.SignalConnectionLoad: "load", balance.SignalMessageDelay: "delay"}
		return fmt.Sprintf("note: id %x, attempt %d, at %x, %s %v", o.ID, o.Attempt, uint64(e.Backend), kind[e.NoteKind], e.Value)
	case Settled:
		return fmt.Sprintf("settled: id %x, attempt %d, at %x, %s after %v, closed %v, load %v", o.ID, o.Attempt, uint64(o.Backend),
			statuses[o.Status].word, o.Latency, o.Closed, o.Load)
	case Dropped:
		return fmt.Sprintf("dropped: id %x", o.ID)
	case Fired:
		return fmt.Sprintf("fired: token %d", e.Token)
	case Probed:
		return fmt.Sprintf("probed: %x, %s after %v, load %v", uint64(r.Backend), statuses[r.Status].word, r.Latency, r.Load)
	case Datagram:
		return fmt.Sprintf("datagram: from %d, %q", e.From, e.Data)
	case Exit:
		return "exit"
	}
	t.Fatalf("no words for %d", e.Code)
	return ""
}

// record writes an event as the simulator would, from what was read of it alone: what is lost in reading differs. A hint
// without its flag and flags that nothing reads are not kept by design, so none are recorded.
func record(t *testing.T, e *Event) []byte {
	b := []byte{byte(e.Code)}
	u8 := func(v uint8) { b = append(b, v) }
	u16 := func(v uint16) { b = binary.BigEndian.AppendUint16(b, v) }
	u32 := func(v uint32) { b = binary.BigEndian.AppendUint32(b, v) }
	u64 := func(v uint64) { b = binary.BigEndian.AppendUint64(b, v) }
	f64 := func(v float64) { u64(math.Float64bits(v)) }
	ms := func(d time.Duration) { f64(float64(d) / 1e6) }
	bit := func(on bool, v uint8) uint8 {
		if on {
			return v
		}
		return 0
	}
	backend := func(id balance.BackendID) { u32(uint32(id >> 16)); u16(uint16(id)) }
	load := func(l []float32) {
		u8(uint8(len(l)))
		for _, v := range l {
			u32(math.Float32bits(v))
		}
	}
	request := func(r *balance.Request) {
		u64(r.ID)
		u8(uint8(r.Class))
		u32(uint32(r.Tenant))
		u64(r.Key)
		ms(r.TimeLeft)
		f64(r.ExpectedLoad / 1000)
		u64(r.Group)
		u8(bit(r.ExpectedLoad > 0, 1) | bit(r.ClientRetry, 2) | bit(r.MidStream, 8) | bit(r.Reconnecting, 16))
	}
	o, r := &e.Outcome, &e.Report
	switch e.Code {
	case About:
		u32(e.Instance)
	case Configure:
		u64(e.Seed)
		u32(uint32(len(e.Info)))
		b = append(b, e.Info...)
	case View:
		u8(uint8(e.Kind))
		u32(e.Slot)
		u64(e.Version)
	case Inventory:
		u32(e.Slot)
		u32(uint32(len(e.List)))
		for _, x := range e.List {
			u8(uint8(x.State))
			u16(uint16(x.Zone))
			u16(uint16(x.Cell))
			u32(math.Float32bits(float32(x.Weight)))
			backend(x.ID)
			u16(uint16(x.Kind))
			ms(x.ReadyAt)
		}
	case Call, Resumed:
		request(&e.Request)
		if e.Code == Resumed {
			backend(e.Backend)
		}
	case Begun:
		u64(o.ID)
		ms(o.Latency)
		backend(o.Backend)
		u16(uint16(o.Attempt))
	case Note:
		u64(o.ID)
		u16(uint16(o.Attempt))
		backend(e.Backend)
		u8(uint8(e.NoteKind))
		u32(math.Float32bits(float32(e.Value)))
	case Settled:
		u64(o.ID)
		u16(uint16(o.Attempt))
		backend(o.Backend)
		u16(statuses[o.Status].code)
		ms(o.Latency)
		u8(bit(o.Closed, 1))
		load(o.Load)
	case Dropped:
		u64(o.ID)
	case Fired:
		u64(e.Token)
	case Probed:
		u16(statuses[r.Status].code)
		ms(r.Latency)
		backend(r.Backend)
		load(r.Load)
	case Datagram:
		u32(uint32(e.From))
		u16(uint16(len(e.Data)))
		b = append(b, e.Data...)
	case Exit:
	default:
		t.Fatalf("no record for %d", e.Code)
	}
	return b
}

// unhexed reads a golden file's lines of nothing but hexadecimal digits.
func unhexed(t *testing.T, name string) (out [][]byte) {
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

// Frames of the simulator as recorded are read to the same events, and those written again are the same bytes.
func TestCodec_Golden(t *testing.T) {
	if *update {
		var all strings.Builder
		for _, events := range recorded {
			fmt.Fprintf(&all, "%x\n", frame(uint32(len(events)), unhex(t, strings.Join(events, " "))))
		}
		golden(t, "frames.txt", all.String())
	}
	frames := unhexed(t, "frames.txt")
	if len(frames) != len(recorded) {
		t.Fatalf("%d frames, %d were recorded", len(frames), len(recorded))
	}
	var out strings.Builder
	seen := map[Code]bool{}
	var buf bytes.Buffer
	stream := bytes.NewReader(slices.Concat(frames...))
	for _, f := range frames {
		if err := ReadFrame(stream, &buf); err != nil || !bytes.Equal(buf.Bytes(), f) {
			t.Fatalf("%x, %v: read as a frame it is %x", f, err, buf.Bytes())
		}
		events, now, err := decodeAll(f)
		if err != nil {
			t.Fatalf("%x: %v", f, err)
		}
		fmt.Fprintf(&out, "frame at %v\n", now)
		var again []byte
		for i := range events {
			seen[events[i].Code] = true
			fmt.Fprintf(&out, "%s\n", words(t, &events[i]))
			again = append(again, record(t, &events[i])...)
		}
		if again = frame(uint32(len(events)), again); !bytes.Equal(again, f) {
			t.Errorf("written again\n%x, was\n%x", again, f)
		}
	}
	if err := ReadFrame(stream, &buf); err != io.EOF {
		t.Errorf("after the last frame: %v", err)
	}
	golden(t, "events.txt", out.String())
	for _, c := range []Code{Note, Fired, Configure, Dropped, View, Datagram, Inventory, Resumed, Probed, Exit, Settled, About, Call, Begun} {
		if !seen[c] {
			t.Errorf("no event %d is recorded", c)
		}
	}
}

// How each frame that is torn or spoilt is refused stays as it is.
func TestCodec_GoldenRefusals(t *testing.T) {
	var out strings.Builder
	for i, f := range unhexed(t, "frames.txt") {
		for n := range f {
			cut := slices.Clone(f[:n])
			if n >= headerSize { // a header that is as long as it says
				binary.BigEndian.PutUint32(cut, uint32(n))
			}
			if _, _, err := decodeAll(cut); err == nil {
				t.Errorf("frame %d cut to %d bytes is taken", i, n)
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
	golden(t, "refusals.txt", out.String())
}

// actions has every action with figures other than 0, of two instances that take turns.
func actions(r *Reply) {
	a, b := Writer{r, 3}, Writer{r, 0xfffffffe}
	a.WatchEndpoints(true)
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
	a.WatchEndpoints(false)
	r.Fatal(9, "broken")
	b.Log(strings.Repeat("x", maxText+1))
}

// replay reads a reply's records and has each one written again.
func replay(t *testing.T, reply []byte, to *Reply) {
	t.Helper()
	records, b := binary.BigEndian.Uint32(reply), reply[replyHeader:]
	if n := binary.BigEndian.Uint32(reply[4:]); int(n) != len(reply) {
		t.Fatalf("a reply of %d bytes says %d", len(reply), n)
	}
	take := func(n int) []byte { p := b[:n]; b = b[n:]; return p }
	u16 := func() int { return int(binary.BigEndian.Uint16(take(2))) }
	u64 := func() uint64 { return binary.BigEndian.Uint64(take(8)) }
	wait := func() time.Duration { return time.Duration(math.Float64frombits(u64()) * 1e6) }
	backend := func() balance.BackendID {
		return balance.BackendID(uint64(binary.BigEndian.Uint32(take(4)))<<16 | uint64(u16()))
	}
	to.Reset()
	w := Writer{Reply: to}
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
			w.Reject(id, wait())
		case 50:
			w.Log(string(take(u16())))
		case 60:
			w.FetchEndpoints()
		case 70:
			id, at := u64(), backend()
			w.Send(id, at, wait())
		case 80:
			w.ReleaseHealthCheck(backend())
		case 90:
			token := u64()
			w.SetTimer(token, wait())
		case 100:
			w.WatchEndpoints(take(1)[0] == 1)
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
			t.Fatalf("code %d", code)
		}
	}
	if records != 0 {
		t.Fatalf("%d records are missing", int32(records))
	}
}

// A reply has the bytes that it had, and its records written again are the same.
func TestCodec_GoldenReply(t *testing.T) {
	var r Reply
	r.Reset()
	actions(&r)
	// The text that is cut to the longest is left out of the file but for its first bytes.
	got, tail := r.Bytes(), bytes.Repeat([]byte("x"), maxText)
	short, ok := bytes.CutSuffix(got, tail)
	if !ok {
		t.Fatal("the long text is not at the end")
	}
	golden(t, "reply.txt", fmt.Sprintf("%x\nand %d times 78\n", short, len(tail)))
	was := unhexed(t, "reply.txt")
	if len(was) != 1 {
		t.Fatalf("%d replies in the file", len(was))
	}
	whole := append(was[0], tail...)
	var again Reply
	replay(t, whole, &again)
	if !bytes.Equal(again.Bytes(), whole) {
		t.Error("written again the reply differs")
	}
}
