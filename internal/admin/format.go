package admin

import (
	"fmt"
	"strings"

	"aspenbarrow/internal/metrics"
)

// response builds a multi-line response.
type response struct {
	strings.Builder
	lineEnd string
}

func newResponse(lineEnd string) *response {
	r := &response{lineEnd: lineEnd}
	r.line(success)
	return r
}

// line adds a line.
func (r *response) line(format string, args ...any) {
	fmt.Fprintf(r, format, args...)
	r.WriteString(r.lineEnd)
}

// value adds a line with a name and its value.
func (r *response) value(name string, value int64) { r.line("%s=%d", name, value) }

// end adds the last line and returns the response.
func (r *response) end() string {
	r.line(endOfText)
	return r.String()
}

// formatStats returns the response with all counters and gauges, one per line.
func formatStats(snapshot metrics.Snapshot, lineEnd string) string {
	r := newResponse(lineEnd)
	for _, class := range snapshot.Classes {
		r.value("replies."+class.Name+".success", class.Success)
		r.value("replies."+class.Name+".overload", class.Overload)
		r.value("replies."+class.Name+".error", class.Error)
	}
	r.value("dispatches", snapshot.Dispatches)
	r.value("concurrent", snapshot.Concurrent)
	r.value("targets", snapshot.Backends)
	r.value("targets_disabled", snapshot.UnavailableBackends)
	r.value("reload_success", snapshot.ReloadSuccess)
	r.value("reload_failure", snapshot.ReloadFailure)
	if snapshot.Membership != nil {
		r.membershipValues(snapshot.Membership)
	}
	return r.end()
}

// memberStates are the states of membership.Member in the order of the response.
var memberStates = []string{"joining", "alive", "suspect", "dead", "left"}

// membershipValues adds the number of members in each state and the counters of the failure detector.
func (r *response) membershipValues(membership *metrics.Membership) {
	inState := map[string]int64{}
	for _, member := range membership.Members {
		inState[member.State]++
	}
	for _, state := range memberStates {
		r.value("members."+state, inState[state])
	}
	r.value("members.here", int64(membership.ActiveRelays))
	r.value("members.own_health", int64(membership.Health))
	r.value("members.strangers", membership.RejectedGossip)
	counters := &membership.Counters
	for _, counter := range []struct {
		name  string
		value uint64
	}{
		{"probes", counters.Probes},
		{"probes_failed", counters.FailedProbes},
		{"suspected", counters.Suspicions},
		{"died", counters.Deaths},
		{"returned", counters.Recoveries},
		{"refuted", counters.Refutations},
		{"overslept", counters.Stalls},
		{"sent", counters.PacketsSent},
		{"sent_bytes", counters.BytesSent},
		{"heard", counters.PacketsReceived},
		{"bad", counters.MalformedPackets},
		{"foreign", counters.ForeignPackets},
		{"absurd", counters.RejectedIncarnations},
	} {
		r.value("members."+counter.name, int64(counter.value))
	}
}

// formatMembers returns the response with the relays of the fleet, one per line in the order of their numbers; membership
// is nil if it is off or not started.
func formatMembers(membership *metrics.Membership, lineEnd string) string {
	if membership == nil {
		return failure + " nobody finds out who is there: the configuration has no membership, or it has just begun" + lineEnd
	}
	r := newResponse(lineEnd)
	r.line("here=%d of=%d own_health=%d", membership.ActiveRelays, len(membership.Members), membership.Health)
	for _, member := range membership.Members {
		name := member.Name
		if name == "" {
			name = "-"
		}
		r.line("member=%d name=%s state=%s since_ms=%d by=%d incarnation=%d round_trip_us=%d health=%d twice=%t",
			member.Index, name, member.State, member.Since.Milliseconds(), member.ReportedBy, member.Incarnation,
			member.RoundTrip.Microseconds(), member.Health, member.DuplicateName)
	}
	return r.end()
}

// formatShadow returns the response with the differences that the shadow evaluation has counted, one kind per line; shadow
// is nil if there is no shadow evaluation.
func formatShadow(shadow *metrics.ShadowSnapshot, lineEnd string) string {
	if shadow == nil {
		return failure + " nothing is watched: the configuration has no shape to watch" + lineEnd
	}
	r := newResponse(lineEnd)
	shadow.Each(func(name string, value int64) { r.value("watch."+name, value) })
	return r.end()
}
