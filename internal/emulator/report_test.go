package emulator

import (
	"math"
	"testing"
	"time"
)

func TestLoadReport_DelayedRoundedAndNoisy(t *testing.T) {
	cfg := testConfig()
	cfg.ReportInterval, cfg.ReportQuantum = time.Second, 0.05
	s := New(cfg, 1, 0)
	s.SetConnection(0, 1, 1.03, 0)
	if r := s.LoadReport(500 * ms); r != 0 {
		t.Errorf("load %v reported before the interval", r)
	}
	if r := s.LoadReport(time.Second); math.Abs(r-0.5) > 1e-9 { // 1.03 of 2 cores, in steps of 0.05
		t.Errorf("load %v reported, want 0.5", r)
	}
	s.CloseConnection(1100*ms, 1)
	if r := s.LoadReport(1900 * ms); math.Abs(r-0.5) > 1e-9 {
		t.Errorf("load %v reported before the interval, want 0.5", r)
	}
	cfg.ReportNoise, cfg.ReportQuantum = 0.2, 0
	a, b := New(cfg, 1, 0), New(cfg, 2, 0)
	a.SetConnection(0, 1, 1, 0)
	b.SetConnection(0, 1, 1, 0)
	if x, y := a.LoadReport(time.Second), b.LoadReport(time.Second); x == y || x < 0.1 || x > 0.9 {
		t.Errorf("two seeds report %v and %v, want different loads, the first one from 0.1 to 0.9", x, y)
	}
}
