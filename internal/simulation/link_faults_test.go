package simulation

import (
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// Jitter delays everything that a link carries. Connections were established without it, so that a fault with jitter alone did
// not affect them at all.
func TestEngine_JitterDelaysConnections(t *testing.T) {
	const jitter, connections = 40 * time.Millisecond, 1000
	e := newEngine(1, nil)
	relay := e.newHost("p-0", "").withNode(fault.Relays, 0)
	backend := e.newHost("s-0", "").withNode(fault.Backends, 0)
	e.linkFaults = []linkFault{{
		link:  &fault.Link{From: fault.NodeSet{Kind: fault.Relays}, To: fault.NodeSet{Kind: fault.Backends}, Jitter: jitter},
		until: e.now + time.Second,
	}}
	var total time.Duration
	for range connections {
		delay, blocked := e.connectDelay(relay, backend)
		if blocked || delay < 0 || delay >= jitter {
			t.Fatalf("got delay %v, blocked %v; want a delay of less than %v", delay, blocked, jitter)
		}
		total += delay
	}
	if mean := total / connections; mean < jitter*45/100 || mean > jitter*55/100 {
		t.Errorf("mean delay %v at a jitter of up to %v, want about half", mean, jitter)
	}
}
