package emulator

import (
	"flag"
	"time"
)

const ms = time.Millisecond

// init makes property tests draw the same cases every time; -rapid.seed=N draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func testConfig() Config { return Config{Cores: 2, Speed: 1, MaxRequests: 100, Backlog: 10} }

// completionTimes runs a server until its requests are done, and returns when each was.
func completionTimes(s *Server, until time.Duration) map[uint64]time.Duration {
	at := map[uint64]time.Duration{}
	for {
		next, ok := s.NextCompletion()
		if !ok || next > until {
			return at
		}
		for _, id := range s.Complete(next) {
			at[id] = next
		}
	}
}

// withinMillisecond reports whether two times differ by at most a millisecond.
func withinMillisecond(got, want time.Duration) bool { return got >= want-ms && got <= want+ms }
