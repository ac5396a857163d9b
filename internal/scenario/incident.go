package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
	"aspenbarrow/internal/testcluster"
)

// Kinds of incidents that need special handling.
const (
	kindLink             = "link"
	kindSharedDependency = "shared dependency slow"
)

// Kinds returns the names of all kinds of incidents, of the virtual clock and of processes, sorted.
func Kinds() []string {
	all := append(simulation.ScriptableFaultKinds(), testcluster.FaultKinds()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// CheckPlayable returns an error for each part of the script that the chosen driver cannot play: processes on sockets,
// or else the virtual clock. The errors begin with the script's name, as given, and the line.
func (s *Script) CheckPlayable(name string, processes bool) (errs []error) {
	for i := range s.Incidents {
		f := &s.Incidents[i].fault
		check := checkSimulated
		if processes {
			check = testcluster.CheckFault
		}
		if err := check(f); err != nil {
			errs = append(errs, fmt.Errorf("%s:%d: %w", name, f.ScriptLine, err))
		}
	}
	if !processes && s.Fleet.MidStreamShare > 0 {
		errs = append(errs, fmt.Errorf("%s: fleet.mid-stream: %v, expected 0: connections on the virtual clock end with their relay", name, s.Fleet.MidStreamShare))
	}
	if processes && s.Shared.Slots > 0 {
		errs = append(errs, fmt.Errorf("%s: shared.places: %d, expected 0: processes have no shared dependency", name, s.Shared.Slots))
	}
	return errs
}

// checkSimulated returns an error if the virtual clock cannot play a fault.
func checkSimulated(f *fault.Fault) error {
	switch {
	case !slices.Contains(simulation.ScriptableFaultKinds(), f.Kind):
		return fmt.Errorf("the virtual clock can't play %q", f.Kind)
	case f.Targets != nil && !simulation.AcceptsTargets(f.Kind):
		return fmt.Errorf("the virtual clock can't apply %q to a group", f.Kind)
	}
	return nil
}

// rejectFunc records an error in one table of a script.
type rejectFunc func(format string, args ...any)

// members are the relays and backends of a group; nil: the group lists none.
type members struct{ relays, backends []int }

// resolveIncidents turns the incidents into faults and returns an error for each invalid value in groups and incidents.
func (s *Script) resolveIncidents(name string, text []byte) (errs []error) {
	groups := map[string]members{}
	lines := tableLines(text, "[[group]]")
	for i, g := range s.Groups {
		reject := func(format string, args ...any) {
			errs = append(errs, fmt.Errorf("%s:%d: group %q: %s", name, lineOf(lines, i), g.Name, fmt.Sprintf(format, args...)))
		}
		if _, ok := groups[g.Name]; ok || g.Name == "" {
			reject("empty or duplicate name, expected a unique one")
		}
		groups[g.Name] = s.parseGroup(&g, reject)
	}
	lines = tableLines(text, "[[incident]]")
	for i := range s.Incidents {
		s.resolve(&s.Incidents[i], lineOf(lines, i), groups, func(format string, args ...any) {
			errs = append(errs, fmt.Errorf("%s:%d: incident[%d].%s", name, lineOf(lines, i), i, fmt.Sprintf(format, args...)))
		})
	}
	return errs
}

// parseGroup reads the indexes of a group's relays and backends.
func (s *Script) parseGroup(g *Group, reject rejectFunc) (m members) {
	for _, part := range []struct {
		key, text string
		count     int
		indexes   *[]int
	}{{"relays", g.Relays, s.Fleet.Relays, &m.relays}, {"backends", g.Backends, s.Fleet.Backends, &m.backends}} {
		if part.text == "" {
			continue
		}
		indexes, err := parseIndexes(part.text, part.count)
		if err != nil {
			reject("%s: %v", part.key, err)
		}
		*part.indexes = indexes
	}
	if m.relays == nil && m.backends == nil {
		reject("neither relays nor backends, expected at least one of them")
	}
	return m
}

// parseIndexes reads a list such as "0-39,77". All indexes are below count.
func parseIndexes(text string, count int) (indexes []int, err error) {
	for part := range strings.SplitSeq(text, ",") {
		first, last, err := parseRange(part)
		if err != nil {
			return nil, err
		}
		if last >= count {
			return nil, fmt.Errorf("index %d, expected 0 to %d", last, count-1)
		}
		for i := first; i <= last; i++ {
			if !slices.Contains(indexes, i) {
				indexes = append(indexes, i)
			}
		}
	}
	return indexes, nil
}

// parseRange reads "77" or "0-39".
func parseRange(text string) (first, last int, err error) {
	from, to, isRange := strings.Cut(strings.TrimSpace(text), "-")
	first, err = strconv.Atoi(from)
	last = first
	if err == nil && isRange {
		last, err = strconv.Atoi(to)
	}
	if err != nil || first < 0 || last < first {
		return 0, 0, fmt.Errorf("%q, expected an index from 0 or a range such as 0-39", text)
	}
	return first, last, nil
}

// resolve turns one incident into a fault.
func (s *Script) resolve(in *Incident, line int, groups map[string]members, reject rejectFunc) {
	f := fault.Fault{Kind: in.Kind, Start: time.Duration(in.Start), Duration: time.Duration(in.Duration), Target: in.Target,
		Severity: in.Severity, ScriptLine: line}
	s.validateIncident(in, reject)
	if in.Group != "" {
		f.Targets = in.targets(groups, reject)
	}
	if in.Kind == kindLink {
		f.Link = in.link(groups, reject)
	} else if in.hasLinkKeys() {
		reject("kind: %q, expected \"link\": only a link has from, to, both, cut, hold, loss, double, reorder, delay and jitter", in.Kind)
	}
	in.fault = f
}

// validateIncident rejects an unknown kind and values out of range.
func (s *Script) validateIncident(in *Incident, reject rejectFunc) {
	if !slices.Contains(Kinds(), in.Kind) {
		reject("kind: unknown kind %q, expected one of %s", in.Kind, strings.Join(Kinds(), ", "))
	}
	switch end := in.Start + in.Duration; {
	case in.Start >= s.Length:
		reject("at: %v, expected a time before the run's end at %v", time.Duration(in.Start), time.Duration(s.Length))
	case end > s.Length:
		reject("for: the incident ends at %v, expected at most the run's end at %v", time.Duration(end), time.Duration(s.Length))
	}
	if in.Severity < 0 || in.Severity > 1 || in.Target < 0 {
		reject("much is %v, expected 0 to 1; who is %d, expected at least 0", in.Severity, in.Target)
	}
	if in.Kind == kindSharedDependency && s.Shared.Slots == 0 {
		reject("kind: %q needs a shared dependency, but shared.places is 0", in.Kind)
	}
}

// targets returns which relays or backends of its group the incident affects.
func (in *Incident) targets(groups map[string]members, reject rejectFunc) (targets []int) {
	group, ok := groups[in.Group]
	if !ok {
		reject("group: there is no group %q", in.Group)
		return nil
	}
	targets = group.relays
	if strings.HasPrefix(in.Kind, "backends") || strings.HasPrefix(in.Kind, "zone") {
		targets = group.backends
	}
	if targets == nil {
		reject("group: %q has no nodes that %q affects", in.Group, in.Kind)
	}
	return targets
}

// hasLinkKeys reports whether a key is set that only a link has.
func (in *Incident) hasLinkKeys() bool {
	return in.From != "" || in.To != "" || in.changesLink()
}

// changesLink reports whether the incident does anything to a link.
func (in *Incident) changesLink() bool {
	return in.Partitioned || in.Buffered || in.LossRate+in.DuplicateRate+in.ReorderRate != 0 || in.Delay+in.Jitter != 0
}

// link returns the fault of a link, with its nodes resolved.
func (in *Incident) link(groups map[string]members, reject rejectFunc) *fault.Link {
	l := &fault.Link{
		From: parseNodes("from", in.From, groups, reject), To: parseNodes("to", in.To, groups, reject),
		Bidirectional: in.Bidirectional, Partitioned: in.Partitioned, Buffered: in.Buffered,
		LossRate: in.LossRate, DuplicateRate: in.DuplicateRate, ReorderRate: in.ReorderRate,
		Delay: time.Duration(in.Delay), Jitter: time.Duration(in.Jitter),
	}
	if l.From.Kind != fault.Relays && l.To.Kind != fault.Relays {
		reject("from, to: no link between %s and %s, expected relays at one end", l.From.Kind, l.To.Kind)
	}
	for _, rate := range []float64{in.LossRate, in.DuplicateRate, in.ReorderRate} {
		if rate < 0 || rate > 1 {
			reject("loss, double, reorder: %v, expected 0 to 1", rate)
		}
	}
	betweenRelays := l.From.Kind == fault.Relays && l.To.Kind == fault.Relays
	if !betweenRelays && (in.DuplicateRate != 0 || in.ReorderRate != 0) {
		reject("double, reorder: %v and %v, expected 0: only datagrams between relays are duplicated or reordered", in.DuplicateRate, in.ReorderRate)
	}
	if !in.changesLink() {
		reject("kind: a link needs at least one of cut, hold, loss, double, reorder, delay, jitter")
	}
	return l
}

// parseNodes reads one end of a link: a kind of nodes, optionally followed by a colon and a group.
func parseNodes(key, text string, groups map[string]members, reject rejectFunc) (nodes fault.NodeSet) {
	word, name, named := strings.Cut(text, ":")
	kind := fault.NodeKind(word)
	if !slices.Contains([]fault.NodeKind{fault.Relays, fault.Backends, fault.Discovery, fault.Clients}, kind) {
		reject("%s: %q, expected relays, backends, discovery or clients, optionally with a colon and a group", key, text)
		return nodes
	}
	nodes.Kind = kind
	if !named {
		return nodes
	}
	group, ok := groups[name]
	nodes.Indexes = group.relays // also for discovery and clients: the group selects those of its relays
	if kind == fault.Backends {
		nodes.Indexes = group.backends
	}
	if !ok || nodes.Indexes == nil {
		reject("%s: there is no group %q with %s", key, name, kind)
	}
	return nodes
}

// tableLines returns the line numbers of a table's headers, in order.
func tableLines(text []byte, header string) (lines []int) {
	n := 0
	for line := range strings.Lines(string(text)) {
		n++
		if strings.HasPrefix(strings.ReplaceAll(line, " ", ""), header) {
			lines = append(lines, n)
		}
	}
	return lines
}

// lineOf returns the line number of the i-th table; 0: unknown.
func lineOf(lines []int, i int) int {
	if i < len(lines) {
		return lines[i]
	}
	return 0
}
