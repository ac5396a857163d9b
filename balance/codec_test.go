package balance

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/golden"
)

// gossipRecorder keeps the messages to other relays as well.
type gossipRecorder struct {
	recorder
	messages []string
}

func (r *gossipRecorder) SendGossip(peer int, data []byte) {
	r.messages = append(r.messages, fmt.Sprintf("%d %x", peer, data))
}

// The overload notice keeps its encoding, and a relay that receives those bytes checks that backend and no
// other.
func TestCodec_Golden(t *testing.T) {
	const slow, well = BackendID(0x0a124a071b5b), BackendID(0x0a9011f21b84)
	relay := func() (*Balancer, *gossipRecorder) {
		s := settingsWithoutMessageDelay()
		s.Gossip = true
		r := &gossipRecorder{}
		b := New(sec, 1, s, r)
		b.EndpointsUpdated(sec, UpdateCached, []Backend{{ID: slow, State: StateReady, Weight: 1}, {ID: well, State: StateReady, Zone: 1, Weight: 1}})
		for range minLatencySamples + 1 {
			for _, id := range []BackendID{slow, well} {
				b.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.3}})
			}
		}
		openConnections(t, b, &r.recorder, 12)
		r.clear()
		return b, r
	}
	b, r := relay()
	for i := range 3 {
		b.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	}
	golden.Compare(t, "notice.txt", strings.Join(r.messages, "\n")+"\n")

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
	for n := range data { // truncated, it is invalid
		other.GossipReceived(4*sec, 1, data[:n])
	}
	other.GossipReceived(4*sec, 1, append(slices.Clone(data), 0))
	if checked := seen.take(actionCheckHealth); len(checked) != 0 {
		t.Errorf("%v is checked by an invalid message", checked)
	}
	other.GossipReceived(4*sec, 1, data)
	if checked := seen.take(actionCheckHealth); len(checked) != 1 || checked[0].to != slow {
		t.Errorf("checked are %v, the notice names %x", checked, slow)
	}
	other.HealthCheckDone(4*sec+2*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	if len(seen.take(actionMigrate)) == 0 {
		t.Error("the notice migrates nothing")
	}
}
