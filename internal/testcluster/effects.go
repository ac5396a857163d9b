package testcluster

import "sync/atomic"

// effectCounters count the effects of one fault.
type effectCounters struct {
	lost, duplicated, delayed, held, refused, affected atomic.Int64
}

// counts returns the counters above zero, by the name that Result.Faults reports.
func (counters *effectCounters) counts() map[string]int {
	out := map[string]int{}
	for name, v := range map[string]int64{"datagrams lost": counters.lost.Load(), "datagrams doubled": counters.duplicated.Load(),
		"delayed": counters.delayed.Load(), "held": counters.held.Load(), "openings not let through": counters.refused.Load(), "struck": counters.affected.Load()} {
		if v > 0 {
			out[name] = int(v)
		}
	}
	return out
}
