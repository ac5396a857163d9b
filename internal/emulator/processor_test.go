package emulator

import (
	"testing"
	"time"
)

func TestProcessor_SharesCores(t *testing.T) {
	for _, tc := range []struct {
		name  string
		cores float64
		speed float64
		work  []float64
		want  []time.Duration
	}{
		{"one request uses one core", 4, 1, []float64{0.1}, []time.Duration{100 * ms}},
		{"two requests on two cores", 2, 1, []float64{0.1, 0.1}, []time.Duration{100 * ms, 100 * ms}},
		{"two requests on one core", 1, 1, []float64{0.1, 0.1}, []time.Duration{200 * ms, 200 * ms}},
		{"a short request overtakes", 1, 1, []float64{0.3, 0.1}, []time.Duration{400 * ms, 200 * ms}},
		{"a fast core", 1, 2, []float64{0.1}, []time.Duration{50 * ms}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Cores, cfg.Speed = tc.cores, tc.speed
			s := New(cfg, 1, 0)
			for i, w := range tc.work {
				if v := s.Arrive(0, Request{uint64(i), w}); v != Accepted {
					t.Fatalf("admission %v", v)
				}
			}
			at := completionTimes(s, time.Minute)
			for i, want := range tc.want {
				if !withinMillisecond(at[uint64(i)], want) {
					t.Errorf("request %d done at %v, want %v", i, at[uint64(i)], want)
				}
			}
		})
	}
}
