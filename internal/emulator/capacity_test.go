package emulator

import (
	"testing"
	"time"
)

func TestCapacity_ColdServerIsSlowAndCrashesUnderLoad(t *testing.T) {
	cfg := testConfig()
	cfg.ColdCapacity, cfg.WarmUpTime, cfg.WarmRequestRate, cfg.ColdCrashFactor, cfg.ColdCrashWindow = 0.25, 10*time.Second, 4, 2, 2*time.Second
	s := New(cfg, 1, 0)
	s.Restart(time.Second)
	s.Arrive(time.Second, Request{1, 0.1})
	if at := completionTimes(s, time.Minute); at[1] < 1350*ms || at[1] > 1400*ms { // 0.4 s at a quarter, a little less as it warms
		t.Errorf("request to a cold server done at %v, want 1.35s to 1.4s", at[1])
	}
	s.Restart(time.Minute)
	n := 0
	for ; s.Arrive(time.Minute+time.Duration(n)*ms, Request{uint64(n), 0.001}) != Crashed; n++ {
		if n > 100 {
			t.Fatal("the cold server still runs after 100 requests")
		}
	}
	if n != 4 || !s.Down() { // 2 x 0.25 x 4 a second x 2 s
		t.Errorf("the cold server crashed on request %d, want 4", n)
	}
	if v := s.Arrive(2*time.Minute, Request{1, 1}); v != Dropped {
		t.Errorf("admission %v while down, want %v", v, Dropped)
	}
	warm := New(cfg, 1, 0)
	for i := range uint64(50) {
		if v := warm.Arrive(0, Request{i, 0.001}); v != Accepted {
			t.Fatalf("admission %v to a warm server, want %v", v, Accepted)
		}
	}
}

func TestCapacity_SlowdownDegradationAndLeak(t *testing.T) {
	s := New(testConfig(), 1, 0)
	s.SetSlowdown(0, 5)
	s.Arrive(0, Request{1, 0.1})
	if at := completionTimes(s, time.Minute); !withinMillisecond(at[1], 500*ms) {
		t.Errorf("done at %v at a slowdown of 5, want 500ms", at[1])
	}
	s.SetSlowdown(time.Second, 1)
	s.SetDegradation(time.Second, 1) // half as fast a second later
	s.Arrive(2*time.Second, Request{2, 0.01})
	if at := completionTimes(s, time.Minute); at[2] < 2019*ms || at[2] > 2025*ms {
		t.Errorf("done at %v when degraded, want 2.019s to 2.025s", at[2])
	}
	cfg := testConfig()
	cfg.LeakLimit = 10
	s = New(cfg, 1, 0)
	s.SetConnection(0, 1, 0, 0)
	s.SetConnection(0, 2, 0, 0)
	if s.Complete(4900 * ms); s.Down() {
		t.Error("the server crashed before the leak limit")
	}
	if s.Complete(5100 * ms); !s.Down() {
		t.Error("the server still runs after two connections have leaked 10 connection-seconds in 5 s")
	}
}
