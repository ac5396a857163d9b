// Package management is a relay's second address, where staff ask how it does and
// have it drained: one line to a connection, one answer, the end.
//
// This file owns the calls and their answers. It must never do what a call says
// by itself, wait for the relay, or answer what is not a whole call with SUCCESS.
package management

import (
	"fmt"
	"strings"

	"aspenbarrow/internal/metrics"
)

// State is how far a relay is in its life.
type State uint8

// The states. Only one that is Serving takes clients.
const (
	Starting State = iota // it has no list of backends yet, or does not listen
	Serving
	Drained
	Leaving
)

// Relay is what the calls need of one. No method may wait.
type Relay interface {
	State() State
	Figures() metrics.Snapshot
	Drain(on bool) // send clients away, or take them again; may be repeated
}

// MostLine is the longest call in bytes, its end included.
const MostLine = 256

// Answer answers one call, given without its line's end. Lines of the answer are ended by eol.
func Answer(call, eol string, r Relay) string {
	switch call {
	case "READY":
		switch r.State() {
		case Serving:
			return "SUCCESS serving" + eol
		case Starting:
			return "FAILURE starting: no list of backends yet" + eol
		case Drained:
			return "FAILURE drained: clients are sent away" + eol
		}
		return "FAILURE leaving: the process is about to end" + eol
	case "DRAIN":
		r.Drain(true)
		if r.State() == Leaving {
			return "SUCCESS leaving: clients are sent away already" + eol
		}
		return "SUCCESS draining" + eol
	case "UNDRAIN":
		if r.State() == Leaving {
			return "FAILURE leaving: this process takes no clients again" + eol
		}
		r.Drain(false)
		return "SUCCESS taking clients" + eol
	case "STATS":
		return stats(r.Figures(), eol)
	case "WATCH":
		return watching(r.Figures().Shadow, eol)
	case "MEMBERS":
		return members(r.Figures().Membership, eol)
	case "":
		return "FAILURE empty call" + eol
	}
	return "FAILURE unknown call, there are READY, STATS, WATCH, MEMBERS, DRAIN and UNDRAIN" + eol
}

// stats writes all figures, one a line.
func stats(f metrics.Snapshot, eol string) string {
	var b strings.Builder
	b.WriteString("SUCCESS" + eol)
	line := func(name string, v int64) { fmt.Fprintf(&b, "%s=%d%s", name, v, eol) }
	for _, c := range f.Classes {
		line("replies."+c.Name+".success", c.Success)
		line("replies."+c.Name+".overload", c.Overload)
		line("replies."+c.Name+".error", c.Error)
	}
	line("dispatches", f.Dispatches)
	line("concurrent", f.Concurrent)
	line("targets", f.Targets)
	line("targets_disabled", f.TargetsDisabled)
	line("reload_success", f.ReloadSuccess)
	line("reload_failure", f.ReloadFailure)
	if m := f.Membership; m != nil {
		states := map[string]int64{}
		for _, o := range m.Members {
			states[o.State]++
		}
		for _, s := range []string{"joining", "alive", "suspect", "dead", "left"} {
			line("members."+s, states[s])
		}
		line("members.here", int64(m.ActiveRelays))
		line("members.own_health", int64(m.Health))
		line("members.strangers", m.RejectedGossip)
		c := m.Counters
		for _, v := range []struct {
			name string
			v    uint64
		}{{"probes", c.Probes}, {"probes_failed", c.FailedProbes}, {"suspected", c.Suspicions}, {"died", c.Deaths}, {"returned", c.Recoveries}, {"refuted", c.Refutations},
			{"overslept", c.Stalls}, {"sent", c.PacketsSent}, {"sent_bytes", c.BytesSent}, {"heard", c.PacketsReceived}, {"bad", c.MalformedPackets}, {"foreign", c.ForeignPackets}, {"absurd", c.RejectedIncarnations}} {
			line("members."+v.name, int64(v.v))
		}
	}
	b.WriteString("EOT" + eol)
	return b.String()
}

// members writes who of the relays is there, one a line, by their numbers.
func members(f *metrics.Membership, eol string) string {
	if f == nil {
		return "FAILURE nobody finds out who is there: the configuration has no membership, or it has just begun" + eol
	}
	var b strings.Builder
	b.WriteString("SUCCESS" + eol)
	fmt.Fprintf(&b, "here=%d of=%d own_health=%d%s", f.ActiveRelays, len(f.Members), f.Health, eol)
	for _, m := range f.Members {
		name := m.Name
		if name == "" {
			name = "-"
		}
		fmt.Fprintf(&b, "member=%d name=%s state=%s since_ms=%d by=%d incarnation=%d round_trip_us=%d health=%d twice=%t%s", m.Index, name, m.State,
			m.Since.Milliseconds(), m.ReportedBy, m.Incarnation, m.RoundTrip.Microseconds(), m.Health, m.DuplicateName, eol)
	}
	b.WriteString("EOT" + eol)
	return b.String()
}

// watching writes what the settings of another shape would have decided otherwise, one kind a line.
func watching(f *metrics.ShadowSnapshot, eol string) string {
	if f == nil {
		return "FAILURE nothing is watched: the configuration has no shape to watch" + eol
	}
	var b strings.Builder
	b.WriteString("SUCCESS" + eol)
	f.Each(func(name string, v int64) { fmt.Fprintf(&b, "watch.%s=%d%s", name, v, eol) })
	b.WriteString("EOT" + eol)
	return b.String()
}
