package scenario

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/fleet"
	"aspenbarrow/internal/world"
)

// linesOf finds the lines on which a table's headers stand, in their order.
func linesOf(text []byte, header string) (lines []int) {
	n := 0
	for line := range strings.Lines(string(text)) {
		n++
		if strings.HasPrefix(strings.ReplaceAll(line, " ", ""), header) {
			lines = append(lines, n)
		}
	}
	return lines
}

// numbers reads "0-39,77". All are under a bound.
func numbers(text string, under int) (out []int, err error) {
	for part := range strings.SplitSeq(text, ",") {
		first, last, span := strings.Cut(strings.TrimSpace(part), "-")
		a, err := strconv.Atoi(first)
		b := a
		if err == nil && span {
			b, err = strconv.Atoi(last)
		}
		if err != nil || a < 0 || b < a {
			return nil, fmt.Errorf("%q is no number from 0 and no span of them", part)
		}
		if b >= under {
			return nil, fmt.Errorf("there is no number %d, the last one is %d", b, under-1)
		}
		for i := a; i <= b; i++ {
			if !slices.Contains(out, i) {
				out = append(out, i)
			}
		}
	}
	return out, nil
}

// group is the relays and backends of a name; nil: none are named.
type group struct{ relays, backends []int }

// rejectFunc records what is wrong with one table of a script.
type rejectFunc func(format string, args ...any)

// resolve turns the incidents into faults and says all that is wrong with them.
func (s *Script) resolve(name string, text []byte) (faults []error) {
	groups := map[string]group{}
	lines := linesOf(text, "[[group]]")
	for i, g := range s.Groups {
		reject := func(format string, args ...any) {
			faults = append(faults, fmt.Errorf("%s:%d: group %q: %s", name, nth(lines, i), g.Name, fmt.Sprintf(format, args...)))
		}
		if _, ok := groups[g.Name]; ok || g.Name == "" {
			reject("a name of its own is wanted")
		}
		groups[g.Name] = s.group(g.Relays, g.Backends, reject)
	}
	lines = linesOf(text, "[[incident]]")
	for i := range s.Incidents {
		s.incident(&s.Incidents[i], nth(lines, i), groups, func(format string, args ...any) {
			faults = append(faults, fmt.Errorf("%s:%d: incident[%d].%s", name, nth(lines, i), i, fmt.Sprintf(format, args...)))
		})
	}
	return faults
}

// group reads the numbers of a group's relays and backends.
func (s *Script) group(relays, backends string, reject rejectFunc) (out group) {
	for _, part := range []struct {
		key, text string
		under     int
		to        *[]int
	}{{"relays", relays, s.Fleet.Relays, &out.relays}, {"backends", backends, s.Fleet.Backends, &out.backends}} {
		if part.text == "" {
			continue
		}
		v, err := numbers(part.text, part.under)
		if err != nil {
			reject("%s: %v", part.key, err)
		}
		*part.to = v
	}
	if out.relays == nil && out.backends == nil {
		reject("neither relays nor backends")
	}
	return out
}

// incident turns one incident into a fault.
func (s *Script) incident(in *incident, line int, groups map[string]group, reject rejectFunc) {
	f := fault.Fault{Kind: in.Kind, Start: time.Duration(in.Start), Duration: time.Duration(in.Duration), Target: in.Target, Severity: in.Severity, ScriptLine: line}
	if !slices.Contains(world.Scriptable(), in.Kind) && !slices.Contains(fleet.Kinds(), in.Kind) {
		reject("kind: there is no %q; one of %s", in.Kind, strings.Join(Kinds(), ", "))
	}
	if in.Start >= s.Length {
		reject("at: %v is past the end, %v", time.Duration(in.Start), time.Duration(s.Length))
	} else if in.Start+in.Duration > s.Length {
		reject("for: it would end at %v, after the run's end at %v", time.Duration(in.Start+in.Duration), time.Duration(s.Length))
	}
	if in.Severity < 0 || in.Severity > 1 || in.Target < 0 {
		reject("much is from 0 to 1, who from 0")
	}
	if in.Kind == "shared dependency slow" && s.Shared.Places == 0 {
		reject("kind: nothing is shared (shared.places)")
	}
	if in.Group != "" {
		f.Targets = in.hit(groups, reject)
	}
	if in.Kind == "link" {
		f.Link = in.link(groups, reject)
	} else if in.shapesLink() {
		reject("kind: only a link has from, to, both, cut, hold, loss, double, reorder, delay and jitter")
	}
	in.fault = f
}

// hit finds which relays or backends of its group the incident strikes.
func (in *incident) hit(groups map[string]group, reject rejectFunc) (hit []int) {
	g, ok := groups[in.Group]
	switch {
	case !ok:
		reject("group: there is none of the name %q", in.Group)
	case strings.HasPrefix(in.Kind, "backends") || strings.HasPrefix(in.Kind, "zone"):
		hit = g.backends
	default:
		hit = g.relays
	}
	if ok && hit == nil {
		reject("group: %q has none of those that are struck", in.Group)
	}
	return hit
}

// shapesLink says whether a key is set that only a link has.
func (in *incident) shapesLink() bool {
	return in.From != "" || in.To != "" || in.Partitioned || in.Buffered || in.LossRate+in.DuplicateRate+in.ReorderRate != 0 || in.Delay+in.Jitter != 0
}

// nth is the line of the i-th table; 0: not known.
func nth(lines []int, i int) int {
	if i < len(lines) {
		return lines[i]
	}
	return 0
}

// link reads what becomes of a way between parties, and which parties these are.
func (in *incident) link(groups map[string]group, reject rejectFunc) *fault.Link {
	l := &fault.Link{Bidirectional: in.Bidirectional, Partitioned: in.Partitioned, Buffered: in.Buffered, LossRate: in.LossRate, DuplicateRate: in.DuplicateRate, ReorderRate: in.ReorderRate,
		Delay: time.Duration(in.Delay), Jitter: time.Duration(in.Jitter)}
	for _, end := range []struct {
		key, text string
		to        *fault.NodeSet
	}{{"from", in.From, &l.From}, {"to", in.To, &l.To}} {
		word, name, named := strings.Cut(end.text, ":")
		kind := fault.NodeKind(word)
		if !slices.Contains([]fault.NodeKind{fault.Relays, fault.Backends, fault.Discovery, fault.Clients}, kind) {
			reject("%s: %q; one of relays, backends, discovery, clients is wanted, perhaps with a group behind a colon", end.key, end.text)
			continue
		}
		end.to.Kind = kind
		if !named {
			continue
		}
		g, ok := groups[name]
		if end.to.Indexes = g.relays; kind == fault.Backends {
			end.to.Indexes = g.backends
		}
		if !ok || end.to.Indexes == nil {
			reject("%s: there is no group %q with %s", end.key, name, kind)
		}
	}
	pair := [2]fault.NodeKind{l.From.Kind, l.To.Kind}
	if !slices.Contains(pair[:], fault.Relays) {
		reject("from, to: nothing passes between %s and %s", l.From.Kind, l.To.Kind)
	}
	for _, v := range []float64{in.LossRate, in.DuplicateRate, in.ReorderRate} {
		if v < 0 || v > 1 {
			reject("loss, double, reorder are from 0 to 1")
		}
	}
	if pair != [2]fault.NodeKind{fault.Relays, fault.Relays} && (in.DuplicateRate != 0 || in.ReorderRate != 0) {
		reject("double, reorder: only datagrams between relays come twice or overtake one another")
	}
	if !in.Partitioned && !in.Buffered && in.LossRate+in.DuplicateRate+in.ReorderRate == 0 && in.Delay+in.Jitter == 0 {
		reject("kind: a link wants one of cut, hold, loss, double, reorder, delay, jitter")
	}
	return l
}

// Kinds returns the names of all kinds of incident, of the virtual clock and of processes, sorted.
func Kinds() []string {
	all := append(world.Scriptable(), fleet.Kinds()...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Playable returns an error for each thing in the script that the chosen driver cannot do: processes on sockets, or
// else the virtual clock. The errors begin with the script's name, as given, and the line.
func (s *Script) CheckPlayable(name string, processes bool) (faults []error) {
	for i := range s.Incidents {
		f := &s.Incidents[i].fault
		var err error
		switch {
		case processes:
			err = fleet.Check(f)
		case !slices.Contains(world.Scriptable(), f.Kind):
			err = fmt.Errorf("the virtual clock can't play %q", f.Kind)
		case f.Targets != nil && !world.Groups(f.Kind):
			err = fmt.Errorf("the virtual clock can't strike a group with %q", f.Kind)
		}
		if err != nil {
			faults = append(faults, fmt.Errorf("%s:%d: %w", name, f.ScriptLine, err))
		}
	}
	if !processes && s.Fleet.Members {
		faults = append(faults, fmt.Errorf("%s: fleet.membership: relays on the virtual clock don't find out who is there", name))
	}
	if processes && s.Shared.Places > 0 {
		faults = append(faults, fmt.Errorf("%s: shared: processes have no shared dependency", name))
	}
	return faults
}
