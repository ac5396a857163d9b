package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenbarrow/balance"
	"aspenbarrow/internal/config"
)

// Whatever retry policies a configuration contains, on any seed: a request gets no more attempts than allowed, never two at
// once, and none past the policy's total timeout or the client's. The checker has the limits of each class.
func TestRun_ValidRetryPoliciesKeepInvariants(t *testing.T) {
	if raceEnabled {
		t.Skip("a run is a single goroutine, in which the race detector can find nothing")
	}
	fileCounts := map[string]int{} // of the files that set such a key
	rapid.Check(t, func(t *rapid.T) {
		const head = "[relay]\nlisten = \"127.0.0.1:1\"\n[discovery]\naddress = \"127.0.0.1:2\"\n"
		parse := func(text string) (config.Config, error) {
			return config.Parse("g.toml", []byte(text), func(string) string { return "" }, false)
		}
		text := head
		for _, c := range []string{"name = \"watch\"\ngive-up = \"2s\"\neffect = \"safe\"\n",
			"name = \"fetch\"\ngive-up = \"1800ms\"\neffect = \"keyed\"\nscope = \"cell\"\nwindow = \"3s\"\n",
			"name = \"submit\"\ngive-up = \"3s\"\neffect = \"unsafe\"\n"} {
			class := "[[class]]\n" + c
			maybeAdd := func(key string, values ...string) {
				if !rapid.Bool().Draw(t, key) {
					return
				}
				line := fmt.Sprintf("%s = %s\n", key, rapid.SampledFrom(values).Draw(t, "value"))
				if _, err := parse(head + class + line); err == nil { // a line that would make the file invalid is left out
					class += line
				}
			}
			maybeAdd("total", `"60ms"`, `"600ms"`, `"1500ms"`)
			maybeAdd("attempts", "2", "3", "4")
			maybeAdd("attempt-timeout", `"30ms"`, `"200ms"`, `"450ms"`)
			maybeAdd("backoff", `"5ms"`, `"80ms"`)
			maybeAdd("second-after", `"20ms"`, `"150ms"`)
			maybeAdd("budget", "0.05", "0.9")
			maybeAdd("connect-timeout", `"20ms"`, `"100ms"`)
			maybeAdd("attempts", "1")
			text += class
		}
		cfg, err := parse(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		for _, key := range []string{"attempt", "backoff", "second"} {
			if strings.Contains(text, key) {
				fileCounts[key]++
			}
		}
		options := Options{Seed: rapid.Uint64().Draw(t, "seed"), Duration: 15 * time.Second}
		for _, name := range []string{"watch", "fetch", "submit"} {
			request, err := cfg.RoutingRequest(config.RequestDescription{Class: name, Protocol: "line"})
			if err != nil {
				t.Fatal(err)
			}
			policy := balance.RetryPolicy{}
			if route := cfg.Relay.Routes.Lookup(request); route != nil {
				policy = route.RetryPolicy
			}
			options.RetryPolicies = append(options.RetryPolicies, policy)
		}
		if result := Run(options); len(result.Violations) > 0 {
			t.Fatalf("%v\n%s", result.Violations[0], text)
		}
	})
	if fileCounts["attempt"] < 10 || fileCounts["backoff"] < 10 || fileCounts["second"] < 10 {
		t.Errorf("number of files with each key: got %v, want at least 10", fileCounts)
	}
}

// The checker detects a relay that ignores its retry policies.
func TestRun_IgnoredRetryPolicyIsDetected(t *testing.T) {
	once := balance.RetryPolicy{MaxAttempts: 1}
	for seed := uint64(0); seed < 40; seed++ {
		for _, v := range Run(Options{Seed: seed, Mutation: MutationRetryPolicyIgnored, RetryPolicies: []balance.RetryPolicy{once, once, once}}).Violations {
			if v.Rule == "attempt-limit" {
				return
			}
		}
	}
	t.Error("a second attempt is not detected in 40 seeds, although the retry policies allow only one")
}
