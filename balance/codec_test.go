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

// gossipRecorder also records the messages to other relays.
type gossipRecorder struct {
	recorder
	messages []string
}

func (rec *gossipRecorder) SendGossip(peer int, data []byte) {
	rec.messages = append(rec.messages, fmt.Sprintf("%d %x", peer, data))
}

// The overload notice keeps its encoding, and a relay that receives those bytes checks that backend and no
// other.
func TestCodec_Golden(t *testing.T) {
	const slow, healthy = BackendID(0x0a124a071b5b), BackendID(0x0a9011f21b84)
	newRelay := func() (*Balancer, *gossipRecorder) {
		settings := settingsWithoutMessageDelay()
		settings.Gossip = true
		rec := &gossipRecorder{}
		balancer := New(sec, 1, settings, rec)
		balancer.EndpointsUpdated(sec, UpdateCached, []Backend{{ID: slow, State: StateReady, Weight: 1}, {ID: healthy, State: StateReady, Zone: 1, Weight: 1}})
		for range minLatencySamples + 1 {
			for _, id := range []BackendID{slow, healthy} {
				balancer.HealthCheckDone(sec, HealthCheckResult{Backend: id, Latency: ms, Load: []float32{0.3}})
			}
		}
		openConnections(t, balancer, &rec.recorder, 12)
		rec.clear()
		return balancer, rec
	}
	balancer, rec := newRelay()
	for i := range 3 {
		balancer.HealthCheckDone(4*sec+time.Duration(i)*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	}
	golden.Compare(t, "notice.txt", strings.Join(rec.messages, "\n")+"\n")

	text, err := os.ReadFile("testdata/notice.txt")
	if err != nil {
		t.Fatal(err)
	}
	to, digits, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	data, err := hex.DecodeString(digits)
	if err != nil || to != "-1" || len(data) != 8 {
		t.Fatalf("%q: %v", text, err)
	}
	other, otherRec := newRelay()
	for n := range data { // a truncated notice is invalid
		other.GossipReceived(4*sec, 1, data[:n])
	}
	other.GossipReceived(4*sec, 1, append(slices.Clone(data), 0))
	if checked := otherRec.take(actionCheckHealth); len(checked) != 0 {
		t.Errorf("an invalid message causes health checks: %v", checked)
	}
	other.GossipReceived(4*sec, 1, data)
	if checked := otherRec.take(actionCheckHealth); len(checked) != 1 || checked[0].to != slow {
		t.Errorf("health checks %v, want one of backend %x", checked, slow)
	}
	other.HealthCheckDone(4*sec+2*ms, HealthCheckResult{Backend: slow, Latency: 2 * ms, Load: []float32{0.3}})
	if len(otherRec.take(actionMigrate)) == 0 {
		t.Error("no connection is migrated after the notice and a late answer")
	}
}
