package emulator

import (
	"testing"
	"time"
)

func TestConnections_ReduceCapacityForRequests(t *testing.T) {
	cfg := testConfig()
	cfg.GroupLoad = 0.5
	s := New(cfg, 1, 0)
	s.SetConnection(0, 1, 0.5, 7)
	s.SetConnection(0, 2, 0.0, 7) // same group: its load counts once
	for i := range uint64(2) {
		s.Arrive(0, Request{i, 0.1})
	}
	if at := completionTimes(s, time.Minute); !withinMillisecond(at[0], 200*ms) { // one of two cores is left for two requests
		t.Errorf("done at %v, want 200ms", at[0])
	}
	s.CloseConnection(time.Second, 1)
	s.CloseConnection(time.Second, 2)
	s.Arrive(time.Second, Request{9, 0.1})
	if at := completionTimes(s, time.Minute); !withinMillisecond(at[9], 1100*ms) {
		t.Errorf("done at %v after the connections closed, want 1.1s", at[9])
	}
	s.SetConnection(2*time.Second, 3, 50, 0) // overloaded: requests still make progress
	s.Arrive(2*time.Second, Request{10, 0.1})
	if at := completionTimes(s, time.Minute); !withinMillisecond(at[10], 3*time.Second) {
		t.Errorf("done at %v when overloaded, want 3s", at[10])
	}
}

// TestConnections_LagGrowsAndRecovers checks that the lag of an overloaded server grows for as long as the overload lasts, and
// shrinks only with spare capacity.
func TestConnections_LagGrowsAndRecovers(t *testing.T) {
	s := New(testConfig(), 1, 0)
	s.SetConnection(0, 1, 3, 0) // of two cores
	if d := s.MessageLatency(0, 0.002); !withinMillisecond(d, 3*ms) {
		t.Errorf("latency %v at once, want 3ms", d)
	}
	if d := s.MessageLatency(time.Second, 0.002); !withinMillisecond(d, 503*ms) {
		t.Errorf("latency %v after a second, want 503ms", d)
	}
	s.SetConnection(time.Second, 1, 1, 0)
	if d := s.MessageLatency(1500*ms, 0.002); !withinMillisecond(d, 252*ms) {
		t.Errorf("latency %v half caught up, want 252ms", d)
	}
	if d := s.MessageLatency(2100*ms, 0.002); !withinMillisecond(d, 2*ms) {
		t.Errorf("latency %v caught up, want 2ms", d)
	}
	s.SetConnection(3*time.Second, 1, 100, 0)
	if d := s.MessageLatency(time.Minute, 0.002); d > 11*time.Second {
		t.Errorf("latency %v under lasting overload, want at most 11s", d)
	}
}
