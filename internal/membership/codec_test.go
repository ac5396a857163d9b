package membership

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"aspenbarrow/internal/golden"
)

// goldenMembers is the length of the list of peers in the golden tests.
const goldenMembers = 5000

var goldenKinds = []struct {
	name string
	kind messageKind
}{{"ping", kindPing}, {"ack", kindAck}, {"ask", kindPingReq}, {"nack", kindNack}, {"news", kindGossip}}

// goldenMessages returns messages of all kinds with all fields and without the optional ones, and one with more updates
// than fit.
func goldenMessages() (names []string, messages []message) {
	add := func(name string, m message) { names, messages = append(names, name), append(messages, m) }
	updates := []memberUpdate{{0, Alive, 1}, {1, Suspect, 1700000000123}, {17, Dead, 1<<63 + 5}, {4999, Left, 0}, {128, Alive, 127}}
	for _, k := range goldenKinds {
		add(k.name+" bare", message{fleet: "f", name: "n", kind: k.kind})
		add(k.name+" full", message{fleet: "fleet-golden", name: "relay-7", startMillis: 1700000000000, incarnation: 1700000000001,
			kind: k.kind, sequence: 1<<40 + 3, target: 300, health: 5, updates: updates})
	}
	for _, s := range []State{Alive, Suspect, Dead, Left} {
		add("one "+s.String(), message{fleet: "fleet", name: "r", startMillis: 1, incarnation: 2, kind: kindGossip, sequence: 3, updates: []memberUpdate{{3, s, 9}}})
	}
	tooManyUpdates := message{fleet: strings.Repeat("f", maxNameLength), name: strings.Repeat("n", maxNameLength), startMillis: 1<<64 - 1, incarnation: 1<<64 - 1,
		kind: kindPing, sequence: 1<<64 - 1, target: goldenMembers, health: maxHealthScore}
	for i := range 200 {
		tooManyUpdates.updates = append(tooManyUpdates.updates, memberUpdate{i, Alive, uint64(1700000000000 + i)})
	}
	add("overfull", tooManyUpdates)
	return names, messages
}

// TestCodec_Golden checks that messages encode to the golden datagrams, that these decode and encode again to the same bytes,
// and that the lengths at which a truncated datagram is accepted do not change.
func TestCodec_Golden(t *testing.T) {
	var out strings.Builder
	names, messages := goldenMessages()
	for i, m := range messages {
		data, fitted := m.encode()
		fmt.Fprintf(&out, "%s: %d of %d updates\n%x\n", names[i], fitted, len(m.updates), data)
		accepted := 0
		for n := range data {
			if _, err := decodeMessage(data[:n], goldenMembers); err == nil {
				accepted++
				fmt.Fprintf(&out, "taken when cut to %d of %d\n", n, len(data))
			}
		}
		fmt.Fprintf(&out, "refused at %d other lengths\n", len(data)-accepted)
	}
	golden.Compare(t, "datagrams.txt", out.String())

	text, err := os.ReadFile("testdata/datagrams.txt")
	if err != nil {
		t.Fatal(err)
	}
	decoded := 0
	for line := range strings.Lines(string(text)) {
		data, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			continue
		}
		if decoded == len(messages) {
			t.Fatalf("more datagrams in the golden file than the %d messages", len(messages))
		}
		m, err := decodeMessage(data, goldenMembers)
		if err != nil {
			t.Fatalf("%s: %v", names[decoded], err)
		}
		want := messages[decoded]
		want.updates = want.updates[:min(len(want.updates), len(m.updates))]
		if !reflect.DeepEqual(m, want) {
			t.Errorf("%s: decoded to %+v, want %+v", names[decoded], m, want)
		}
		if again, fitted := m.encode(); !slices.Equal(again, data) || fitted != len(m.updates) {
			t.Errorf("%s: encoded again to %x, want %x", names[decoded], again, data)
		}
		decoded++
	}
	if decoded != len(messages) {
		t.Errorf("%d datagrams for %d messages", decoded, len(messages))
	}
}

// TestCodec_GoldenRefusals checks that invalid datagrams are rejected with the golden texts, and that fields of later
// versions are skipped.
func TestCodec_GoldenRefusals(t *testing.T) {
	var out strings.Builder
	for _, tc := range []struct{ name, hex string }{
		{"nothing", ""},
		{"an older version's notice", "b500000000000001"},
		{"another lead", "b40801120166 1a016e 2800 3001"},
		{"no fields", "b5"},
		{"fields of later versions", "b50801120166 1a016e 2001 2802 3005 3803 58ff01 62026869 6d01000000 710100000000000000"},
		{"version 2", "b50802120166 1a016e 2802 3005"},
		{"no version", "b5120166 1a016e 2802 3005"},
		{"no fleet", "b50801 1a016e 2802 3005 3803"},
		{"no name", "b50801120166 2802 3005 3803"},
		{"no incarnation", "b50801120166 1a016e 3005 3803"},
		{"no kind", "b50801120166 1a016e 2802 3803"},
		{"an empty fleet", "b508011200 1a016e 2802 3005"},
		{"a long name", "b50801120166 1a21" + strings.Repeat("6e", 33) + " 2802 3005"},
		{"kind 0", "b50801120166 1a016e 2802 3000"},
		{"kind 6", "b50801120166 1a016e 2802 3006"},
		{"a target beyond the list", "b50801120166 1a016e 2802 3003 408927"},
		{"the last target", "b50801120166 1a016e 2802 3003 408827"},
		{"a health beyond the worst", "b50801120166 1a016e 2802 3001 507f"},
		{"a text for a number", "b50801120166 1a016e 2a0131 3001"},
		{"a number for a text", "b508011001 1a016e 2802 3001"},
		{"a joining member", "b50801120166 1a016e 2802 3005 4a020001"},
		{"state 5", "b50801120166 1a016e 2802 3005 4a020501"},
		{"a member beyond the list", "b50801120166 1a016e 2802 3005 4a04c1b80201"},
		{"half an update", "b50801120166 1a016e 2802 3005 4a0109"},
		{"a torn update", "b50801120166 1a016e 2802 3005 4a0189"},
		{"a torn tag", "b50801120166 1a016e 2802 3005 80"},
		{"a torn number", "b50801120166 1a016e 2802 3005 3880"},
		{"field 0", "b50801120166 1a016e 2802 3005 0001"},
		{"the longest", "b50801120166 1a016e 2802 3005 62f001" + strings.Repeat("00", 240)},
		{"too long", "b50801120166 1a016e 2802 3005 62f101" + strings.Repeat("00", 241)},
	} {
		data, err := hex.DecodeString(strings.ReplaceAll(tc.hex, " ", ""))
		if err != nil {
			t.Fatalf("%s: %v", tc.name, err)
		}
		m, err := decodeMessage(data, goldenMembers)
		if err == nil {
			again, _ := m.encode()
			fmt.Fprintf(&out, "%s\n%x\ntaken, as %x\n", tc.name, data, again)
			continue
		}
		// Depending on the build, protowire's error texts contain a no-break space.
		fmt.Fprintf(&out, "%s\n%x\n%s\n", tc.name, data, strings.ReplaceAll(err.Error(), "\u00a0", " "))
	}
	golden.Compare(t, "refusals.txt", out.String())
}

// TestCodec_DecodeErrors checks the reason, field and offset in the error for an invalid datagram.
func TestCodec_DecodeErrors(t *testing.T) {
	const header = "b50801120166 1a016e 2802 3005" // 13 bytes
	for _, tc := range []struct {
		name   string
		hex    string
		reason error
		field  int
		offset int
		cause  error
	}{
		{"another protocol", "b408", errNotMessage, 0, 0, nil},
		{"truncated tag", header + "80", errMalformed, 0, 13, io.ErrUnexpectedEOF},
		{"truncated number", header + "3880", errMalformed, 7, 13, io.ErrUnexpectedEOF},
		{"number for text", "b50801 1001", errFieldType, 2, 3, nil},
		{"version 2", "b50802", errVersion, 1, 1, nil},
		{"empty name", "b50801120166 1a00 2802", errNameLength, 3, 6, nil},
		{"kind 6", "b50801120166 1a016e 2802 3006", errKind, 6, 11, nil},
		{"target 5001 of 5000", header + "408927", errTarget, 8, 13, nil},
		{"truncated update", header + "4a0189", errMalformed, 9, 15, io.ErrUnexpectedEOF},
		{"truncated incarnation", header + "4a0109", errMalformed, 9, 15, io.ErrUnexpectedEOF},
		{"second update with state 5", header + "4a0409010501", errUpdate, 9, 17, nil},
		{"no kind", "b50801120166 1a016e 2802 3803", errMissingField, 0, 13, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			data, err := hex.DecodeString(strings.ReplaceAll(tc.hex, " ", ""))
			if err != nil {
				t.Fatal(err)
			}
			_, err = decodeMessage(data, goldenMembers)
			var decodeErr *decodeError
			if !errors.As(err, &decodeErr) {
				t.Fatalf("%v is not a decodeError", err)
			}
			if !errors.Is(err, tc.reason) || int(decodeErr.field) != tc.field || decodeErr.offset != tc.offset {
				t.Errorf("%v: reason %v, field %d, offset %d", err, decodeErr.reason, decodeErr.field, decodeErr.offset)
			}
			if tc.cause != nil && !errors.Is(err, tc.cause) {
				t.Errorf("%v doesn't wrap %v", err, tc.cause)
			}
		})
	}
}

func FuzzCodec_Decode(f *testing.F) {
	valid, _ := (&message{fleet: "f", name: "n", startMillis: 3, incarnation: 4, kind: kindPingReq, sequence: 9, target: 2, health: 3, updates: []memberUpdate{{1, Suspect, 7}, {2, Left, 1 << 40}}}).encode()
	f.Add(valid)
	f.Add([]byte{magicByte})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data, 5)
		if err != nil {
			return
		}
		again, n := m.encode()
		decoded, err := decodeMessage(again, 5)
		if len(again) > MaxPacketSize || err != nil || fmt.Sprint(decoded.updates) != fmt.Sprint(m.updates[:n]) && n > 0 {
			t.Errorf("%+v encoded to %d bytes and decoded to %+v, error %v", m, len(again), decoded, err)
		}
		New(0, 1, DefaultSettings("f"), LocalNode{Index: 1, Name: "n"}, 5).HandlePacket(0, 2, data)
	})
}
