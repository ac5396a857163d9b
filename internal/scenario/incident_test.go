package scenario

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

const validScript = `name = "x"
length = "30s"
[fleet]
relays = 10
backends = 4
clients = 40
[server]
cores = 4
speed = 1.0
queue = 10
backlog = 10
set-up-work = "4ms"
`

func TestParse_ResolvesGroupsAndLinks(t *testing.T) {
	s, err := Parse("s", []byte(validScript+`[[group]]
name = "east"
relays = "0-2, 7"
backends = "1"
[[incident]]
kind = "link"
from = "relays:east"
to = "backends:east"
cut = true
at = "3s"
for = "4s"
[[incident]]
kind = "relays paused"
group = "east"
at = "9s"
for = "2s"
`))
	if err != nil {
		t.Fatal(err)
	}
	f := s.faults()
	if l := f[0].Link; f[0].ScriptLine != 17 || !l.Affects(fault.Relays, 7, fault.Backends, 1) || l.Affects(fault.Relays, 3, fault.Backends, 1) ||
		l.Affects(fault.Relays, 7, fault.Backends, 0) || l.Affects(fault.Backends, 1, fault.Relays, 7) {
		t.Errorf("line %d, %+v", f[0].ScriptLine, l)
	}
	if f[1].ScriptLine != 24 || !slices.Equal(f[1].Targets, []int{0, 1, 2, 7}) || f[1].Start != 9*time.Second {
		t.Errorf("%+v", f[1])
	}
	if errs := s.CheckPlayable("s", true); errs != nil {
		t.Errorf("errors for processes: %v, want none", errs)
	}
	if errs := s.CheckPlayable("s", false); len(errs) != 1 || !strings.Contains(errs[0].Error(), "s:24: ") {
		t.Errorf("errors for the virtual clock: %v, want one for line 24", errs)
	}
}

func TestParse_RejectsInvalidIncidentsWithLine(t *testing.T) {
	for _, tc := range []struct{ text, want string }{
		{"[[incident]]\nkind = \"lnik\"\n", "s:13: incident[0].kind: unknown kind \"lnik\""},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays\"\nto = \"backends\"\ncutt = true\n", "cutt: no such key"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays:west\"\nto = \"backends\"\ncut = true\n", "there is no group \"west\" with relays"},
		{"[[group]]\nname = \"g\"\nrelays = \"3-12\"\n", "s:13: group \"g\": relays: index 12, expected 0 to 9"},
		{"[[group]]\nname = \"g\"\nrelays = \"5-2\"\n", "relays: \"5-2\", expected an index from 0 or a range"},
		{"[[group]]\nname = \"g\"\nrelays = \"1\"\n[[group]]\nname = \"g\"\nrelays = \"2\"\n", "s:16: group \"g\": empty or duplicate name"},
		{"[[group]]\nname = \"g\"\n", "neither relays nor backends"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"clients\"\nto = \"backends\"\ncut = true\n", "no link between clients and backends"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays\"\nto = \"fleet\"\ncut = true\n", "to: \"fleet\", expected relays, backends"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays\"\nto = \"backends\"\ndouble = 0.5\n", "only datagrams between relays"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays\"\nto = \"backends\"\n", "a link needs at least one of"},
		{"[[incident]]\nkind = \"link\"\nfrom = \"relays\"\nto = \"backends\"\nloss = 1.5\n", "loss, double, reorder: 1.5, expected 0 to 1"},
		{"[[incident]]\nkind = \"relay killed\"\ncut = true\n", "only a link has"},
		{"[[incident]]\nkind = \"relay killed\"\nat = \"31s\"\n", "at: 31s, expected a time before the run's end at 30s"},
		{"[[incident]]\nkind = \"relay killed\"\nat = \"25s\"\nfor = \"6s\"\n", "the incident ends at 31s, expected at most the run's end at 30s"},
		{"[[incident]]\nkind = \"relays paused\"\ngroup = \"none\"\n", "group: there is no group \"none\""},
		{"[[group]]\nname = \"b\"\nbackends = \"1\"\n[[incident]]\nkind = \"relays paused\"\ngroup = \"b\"\n", "group: \"b\" has no nodes that \"relays paused\" affects"},
	} {
		_, err := Parse("s", []byte(validScript+tc.text))
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: got error %v, want %q", tc.text, err, tc.want)
		}
	}
}

func TestScript_ShippedScriptsArePlayableOnProcesses(t *testing.T) {
	paths, err := filepath.Glob("../../example/rehearsals/fleet/*.toml")
	if err != nil || len(paths) < 6 {
		t.Fatalf("%v, %v", paths, err)
	}
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(p, text)
		if err != nil {
			t.Error(err)
		}
		for _, err := range s.CheckPlayable(p, true) {
			t.Error(err)
		}
	}
}

// TestPlay_PartitionsLinkOnVirtualClock checks that a partition between some relays and their clients lowers the service on
// the virtual clock and violates no rule.
func TestPlay_PartitionsLinkOnVirtualClock(t *testing.T) {
	text := validScript + "connection-load = 0.1\nreport-every = \"1s\"\n" + `[[group]]
name = "some"
relays = "0-4"
[[incident]]
kind = "link"
from = "relays:some"
to = "clients"
both = true
cut = true
at = "12s"
for = "8s"
`
	s, err := Parse("s", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	o := Play(s, 3)
	before, during := serviceOf(o.Seconds[8:12]), serviceOf(o.Seconds[14:19])
	if before < 0.9 || during > before-0.1 || len(o.Violations) > 0 {
		t.Errorf("service %.3f before and %.3f during the partition, violations %v", before, during, o.Violations)
	}
}
