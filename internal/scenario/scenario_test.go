package scenario

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func scripts(t *testing.T) map[string]Script {
	t.Helper()
	paths, err := filepath.Glob("../../example/rehearsals/*.toml")
	if err != nil || len(paths) < 3 {
		t.Fatalf("%v, %v", paths, err)
	}
	all := map[string]Script{}
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		s, err := Parse(p, text)
		if err != nil {
			t.Fatal(err)
		}
		all[filepath.Base(p)] = s
	}
	return all
}

// Each shipped script gives the same bytes twice, measures from the first second, breaks no rule, and its incident
// costs something: what costs nothing is not modelled.
func TestPlay_ShippedScriptsRepeatAndCost(t *testing.T) {
	for name, s := range scripts(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Play(s, 0)
			one, err := json.Marshal(o)
			if err != nil {
				t.Fatal(err)
			}
			two, _ := json.Marshal(Play(s, 0))
			if !bytes.Equal(one, two) {
				t.Error("two runs differ")
			}
			if len(o.Seconds) < 58 || o.Seconds[0].Requested == 0 && o.Seconds[3].Requested == 0 || len(o.Violations) > 0 {
				t.Errorf("%d seconds, broken %v", len(o.Seconds), o.Violations)
			}
			calm := s
			calm.Incidents = nil
			// Over the ten seconds from its begin on, paired, of the module or of hashing alone.
			const seeds = 4
			at := int(time.Duration(s.Incidents[0].Start) / time.Second)
			cost := map[string]float64{}
			for _, policy := range []string{"", "hash"} {
				for seed := uint64(1); seed <= seeds; seed++ {
					with, without := PlayWithPolicy(s, seed, policy), PlayWithPolicy(calm, seed, policy)
					if without.Service < 0.9 {
						t.Errorf("seed %d: service %.4f where nothing happens", seed, without.Service)
					}
					cost[policy] += (serviceOf(without.Seconds[at:at+10]) - serviceOf(with.Seconds[at:at+10])) / seeds
				}
			}
			if max(cost[""], cost["hash"]) < 0.01 {
				t.Errorf("the incident costs the module %.4f, hashing %.4f: it is not modelled", cost[""], cost["hash"])
			}
			t.Logf("%s: over %d seeds the incident costs the module %.4f, hashing alone %.4f", name, seeds, cost[""], cost["hash"])
		})
	}
}

func TestParse_RejectsInvalidScriptsWithReason(t *testing.T) {
	text, err := os.ReadFile("../../example/rehearsals/slow-backend.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ from, to, want string }{
		{`relays = 3`, `relais = 3`, "fleet.relais: no such key"},
		{`relays = 3`, `relays = 0`, "fleet.relays is 0"},
		{`at = "20s"`, `at = "2m"`, "past the end"},
		{`at = "20s"`, `at = "soon"`, "soon"},
		{`kind = "backends slow"`, `kind = "backends vanish"`, `there is no "backends vanish"`},
		{`kind = "backends slow"`, `kind = "shared dependency slow"`, "nothing is shared (shared.places)"},
		{`much = 0.8`, `much = 3`, "much is from 0 to 1"},
		{`cores = 4`, `cores = "four"`, ":"},
		{`length = "60s"`, `length = "1s"`, "length in seconds is 1"},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(string(text), tc.from, tc.to, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.HasPrefix(err.Error(), "s.toml:") {
			t.Errorf("%s: %v", tc.to, err)
		}
	}
}

func TestOutcome_WriteReportHasEverySecondAndIncident(t *testing.T) {
	s := scripts(t)["relays-die.toml"]
	o := Play(s, 7)
	var out bytes.Buffer
	o.WriteReport(&out, s)
	lines := strings.Split(out.String(), "\n")
	if o.Seed != 7 || len(lines) < len(o.Seconds)+5 || strings.Count(out.String(), "relays die together") != 4 {
		t.Errorf("%s", out.String())
	}
}
