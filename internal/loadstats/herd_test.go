package loadstats

import (
	"testing"
	"time"
)

func TestHerd_RatioAndExpectedShare(t *testing.T) {
	const backends = 10
	r := recordConnections(200, backends, func(i int) int { return i % backends }) // 20 each at the start
	for i := range 40 {                                                            // 40 more later, all but 4 of them at one backend
		b := 7
		if i%10 == 0 {
			b = i / 10
		}
		r.ConnectionOpened(uint64(1000+i), Connection{Backend: b, Load: 0.01, Opened: 5 * time.Second})
	}
	for i := range 100 {
		r.ConnectionOpened(uint64(2000+i), Connection{Backend: max(0, i%20-10), Load: 0.01, Opened: 8 * time.Second})
	}
	s := r.PerSecond(10 * time.Second)
	if s[0].HerdRatio != 1 || s[0].HerdExpected != 20 {
		t.Errorf("even arrivals: herd ratio %v of %v expected, want 1 of 20", s[0].HerdRatio, s[0].HerdExpected)
	}
	if s[5].HerdRatio != 0 {
		t.Errorf("4 expected arrivals: herd ratio %v, want 0", s[5].HerdRatio)
	}
	if s[8].HerdRatio != 5.5 || s[8].Arrivals != 100 {
		t.Errorf("55 of 100 at one of ten backends: herd ratio %v of %d arrivals, want 5.5 of 100", s[8].HerdRatio, s[8].Arrivals)
	}
}
