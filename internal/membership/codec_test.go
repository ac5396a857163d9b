package membership

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
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

// goldenMembers is how many can be there in what is decoded here.
const goldenMembers = 5000

var goldenKinds = []struct {
	name string
	kind messageKind
}{{"ping", kindPing}, {"ack", kindAck}, {"ask", kindPingReq}, {"nack", kindNack}, {"news", kindGossip}}

// goldenMessages are all kinds with all fields, with none that may be left out, and an overfull one.
func goldenMessages() (names []string, all []message) {
	add := func(name string, m message) { names, all = append(names, name), append(all, m) }
	updates := []memberUpdate{{0, Alive, 1}, {1, Suspect, 1700000000123}, {17, Dead, 1<<63 + 5}, {4999, Left, 0}, {128, Alive, 127}}
	for _, k := range goldenKinds {
		add(k.name+" bare", message{fleet: "f", name: "n", kind: k.kind})
		add(k.name+" full", message{fleet: "fleet-golden", name: "relay-7", startMillis: 1700000000000, incarnation: 1700000000001,
			kind: k.kind, sequence: 1<<40 + 3, target: 300, health: 5, updates: updates})
	}
	for _, s := range []State{Alive, Suspect, Dead, Left} {
		add("one "+s.String(), message{fleet: "fleet", name: "r", startMillis: 1, incarnation: 2, kind: kindGossip, sequence: 3, updates: []memberUpdate{{3, s, 9}}})
	}
	over := message{fleet: strings.Repeat("f", maxNameLength), name: strings.Repeat("n", maxNameLength), startMillis: 1<<64 - 1, incarnation: 1<<64 - 1,
		kind: kindPing, sequence: 1<<64 - 1, target: goldenMembers, health: maxHealthScore}
	for i := range 200 {
		over.updates = append(over.updates, memberUpdate{i, Alive, uint64(1700000000000 + i)})
	}
	add("overfull", over)
	return names, all
}

// What an older version wrote is read, and written again to the same bytes; cut short it is taken or refused as it was.
func TestCodec_Golden(t *testing.T) {
	var out strings.Builder
	names, all := goldenMessages()
	for i, m := range all {
		data, fitted := m.encode()
		fmt.Fprintf(&out, "%s: %d of %d updates\n%x\n", names[i], fitted, len(m.updates), data)
		whole := 0
		for n := range data {
			if _, err := decodeMessage(data[:n], goldenMembers); err == nil {
				whole++
				fmt.Fprintf(&out, "taken when cut to %d of %d\n", n, len(data))
			}
		}
		fmt.Fprintf(&out, "refused at %d other lengths\n", len(data)-whole)
	}
	golden(t, "datagrams.txt", out.String())

	text, err := os.ReadFile("testdata/datagrams.txt")
	if err != nil {
		t.Fatal(err)
	}
	at := 0
	for line := range strings.Lines(string(text)) {
		data, err := hex.DecodeString(strings.TrimSpace(line))
		if err != nil {
			continue
		}
		if at == len(all) {
			t.Fatal("more datagrams than messages")
		}
		m, err := decodeMessage(data, goldenMembers)
		if err != nil {
			t.Fatalf("%s: %v", names[at], err)
		}
		want := all[at]
		want.updates = want.updates[:min(len(want.updates), len(m.updates))]
		if !reflect.DeepEqual(m, want) {
			t.Errorf("%s: read as %+v, was %+v", names[at], m, want)
		}
		if again, fitted := m.encode(); !slices.Equal(again, data) || fitted != len(m.updates) {
			t.Errorf("%s: written again %x, was %x", names[at], again, data)
		}
		at++
	}
	if at != len(all) {
		t.Errorf("%d datagrams for %d messages", at, len(all))
	}
}

// What is refused stays refused, in the same words; fields of later versions are passed over.
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
		// protowire writes its first space as one of two kinds, by the build.
		fmt.Fprintf(&out, "%s\n%x\n%s\n", tc.name, data, strings.ReplaceAll(err.Error(), "\u00a0", " "))
	}
	golden(t, "refusals.txt", out.String())
}
