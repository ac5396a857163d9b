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

// TestPlay_ShippedScriptsRepeatAndLowerService checks that each shipped script gives the same outcome twice, is measured from the
// first second and violates no rule, and that its incident lowers the service: one that doesn't is not modelled.
func TestPlay_ShippedScriptsRepeatAndLowerService(t *testing.T) {
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
				t.Errorf("%d seconds, want at least 58; violations %v", len(o.Seconds), o.Violations)
			}
			undisturbed := s
			undisturbed.Incidents = nil
			// Loss of service over the ten seconds from the incident's start, paired by seed, with package balance and with hashing alone.
			const seeds = 4
			at := int(time.Duration(s.Incidents[0].Start) / time.Second)
			serviceLoss := map[string]float64{}
			for _, policy := range []string{"", "hash"} {
				for seed := uint64(1); seed <= seeds; seed++ {
					with, without := PlayWithPolicy(s, seed, policy), PlayWithPolicy(undisturbed, seed, policy)
					if without.Service < 0.9 {
						t.Errorf("seed %d: service %.4f without incidents, want at least 0.9", seed, without.Service)
					}
					serviceLoss[policy] += (serviceOf(without.Seconds[at:at+10]) - serviceOf(with.Seconds[at:at+10])) / seeds
				}
			}
			if max(serviceLoss[""], serviceLoss["hash"]) < 0.01 {
				t.Errorf("the incident lowers the service of package balance by %.4f, of hashing by %.4f, want 0.01 for one of them: it is not modelled", serviceLoss[""], serviceLoss["hash"])
			}
			t.Logf("%s: over %d seeds the incident lowers the service of package balance by %.4f, of hashing alone by %.4f", name, seeds, serviceLoss[""], serviceLoss["hash"])
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
		{`at = "20s"`, `at = "2m"`, "expected a time before the run's end"},
		{`at = "20s"`, `at = "soon"`, "soon"},
		{`kind = "backends slow"`, `kind = "backends vanish"`, `unknown kind "backends vanish"`},
		{`kind = "backends slow"`, `kind = "shared dependency slow"`, `"shared dependency slow" needs a shared dependency, but shared.places is 0`},
		{`much = 0.8`, `much = 3`, "much is 3, expected 0 to 1"},
		{`cores = 4`, `cores = "four"`, ":"},
		{`length = "60s"`, `length = "1s"`, "length in seconds is 1"},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(string(text), tc.from, tc.to, 1)))
		if err == nil || !strings.Contains(err.Error(), tc.want) || !strings.HasPrefix(err.Error(), "s.toml:") {
			t.Errorf("%s: got error %v, want %q", tc.to, err, tc.want)
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
