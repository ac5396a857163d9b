package testcluster

import "sync/atomic"

// effectCounters is what a fault really did.
type effectCounters struct {
	lost, duplicated, delayed, held, refused, struck atomic.Int64
}

func (counters *effectCounters) counts() map[string]int {
	out := map[string]int{}
	for name, v := range map[string]int64{"datagrams lost": counters.lost.Load(), "datagrams doubled": counters.duplicated.Load(),
		"delayed": counters.delayed.Load(), "held": counters.held.Load(), "openings not let through": counters.refused.Load(), "struck": counters.struck.Load()} {
		if v > 0 {
			out[name] = int(v)
		}
	}
	return out
}
