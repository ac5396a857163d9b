package loadstats

import (
	"testing"
	"time"
)

func TestRecorder_DownBackendIsNotIdle(t *testing.T) {
	r := recordConnections(100, 5, func(i int) int { return i % 5 })
	r.BackendDown(2*time.Second, 0)
	r.BackendUp(6*time.Second, 0, 2)
	s := r.PerSecond(8 * time.Second)
	if s[3].IdleSeconds != 0 || s[3].Loads[0] != -1 || s[3].Variation > 1e-9 {
		t.Errorf("second 3, one backend down: %+v", s[3])
	}
	if s[7].IdleSeconds != 1 || s[7].MinOverMean != 0 {
		t.Errorf("up again without connections: %+v", s[7])
	}
	r.ConnectionClosed(7*time.Second, 1)
	if c := r.Connections()[1]; c.Closed != 7*time.Second || r.Connections()[0].Closed != 2*time.Second {
		t.Errorf("closed: %+v, %+v", c, r.Connections()[0])
	}
}
