package balance

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
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

// teller keeps what is told beside the other actions.
type teller struct {
	recorder
	told []string
}

func (r *teller) SendGossip(peer int, data []byte) {
	r.told = append(r.told, fmt.Sprintf("%d %x", peer, data))
}

// The notice of a slow server has the bytes that it had, and another relay that hears those asks that server and no other.
func TestCodec_Golden(t *testing.T) {
	const slow, well = BackendID(0x0a124a071b5b), BackendID(0x0a9011f21b84)
	relay := func() (*Balancer, *teller) {
		s := untold()
		s.Gossip = true
		r := &teller{}
		b := New(sec, 1, s, r)
		b.EndpointsUpdated(sec, UpdateCached, []Backend{{ID: slow, State: StateReady, Weight: 1}, {ID: well, State: StateReady, Zone: 1, Weight: 1}})
		for range minLatencySamples + 1 {
			for _, id := range []BackendID{slow, well} {
				b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.3}})
			}
		}
		opened(t, b, &r.recorder, 12)
		r.clear()
		return b, r
	}
	b, r := relay()
	for i := range 3 {
		b.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	}
	golden(t, "notice.txt", strings.Join(r.told, "\n")+"\n")

	text, err := os.ReadFile("testdata/notice.txt")
	if err != nil {
		t.Fatal(err)
	}
	to, digits, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	data, err := hex.DecodeString(digits)
	if err != nil || to != "-1" || len(data) != 8 {
		t.Fatalf("%q: %v", text, err)
	}
	other, seen := relay()
	for n := range data { // cut short, it is none
		other.GossipReceived(4*sec, 1, data[:n])
	}
	other.GossipReceived(4*sec, 1, append(slices.Clone(data), 0))
	if asked := seen.take("probe"); len(asked) != 0 {
		t.Errorf("%v is asked for what is no notice", asked)
	}
	other.GossipReceived(4*sec, 1, data)
	if asked := seen.take("probe"); len(asked) != 1 || asked[0].to != slow {
		t.Errorf("asked is %v, the notice names %x", asked, slow)
	}
	other.HealthCheckDone(4*sec+2*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	if len(seen.take("move")) == 0 {
		t.Error("the notice moves nobody")
	}
}
