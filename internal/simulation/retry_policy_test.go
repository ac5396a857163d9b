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

// With any retry policies that a configuration may contain, on any seed: no more attempts than allowed, never two at
// once, and none past the policy's total timeout or the client's. The checker has the limits of each class.
func TestRun_ValidRetryPoliciesKeepInvariants(t *testing.T) {
	if raceEnabled {
		t.Skip("one goroutine a run: the race detector has nothing to find")
	}
	held := map[string]int{}
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
			maybe := func(key string, values ...string) {
				if !rapid.Bool().Draw(t, key) {
					return
				}
				line := fmt.Sprintf("%s = %s\n", key, rapid.SampledFrom(values).Draw(t, "its value"))
				if _, err := parse(head + class + line); err == nil { // what would make the file unsound is left out
					class += line
				}
			}
			maybe("total", `"60ms"`, `"600ms"`, `"1500ms"`)
			maybe("attempts", "2", "3", "4")
			maybe("attempt-timeout", `"30ms"`, `"200ms"`, `"450ms"`)
			maybe("backoff", `"5ms"`, `"80ms"`)
			maybe("second-after", `"20ms"`, `"150ms"`)
			maybe("budget", "0.05", "0.9")
			maybe("connect-timeout", `"20ms"`, `"100ms"`)
			maybe("attempts", "1")
			text += class
		}
		cfg, err := parse(text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		for _, r := range []string{"attempt", "backoff", "second"} {
			if strings.Contains(text, r) {
				held[r]++
			}
		}
		options := Options{Seed: rapid.Uint64().Draw(t, "seed"), Duration: 15 * time.Second}
		for _, name := range []string{"watch", "fetch", "submit"} {
			q, err := cfg.RoutingRequest(config.RequestDescription{Class: name, Protocol: "line"})
			if err != nil {
				t.Fatal(err)
			}
			timing := balance.RetryPolicy{}
			if r := cfg.Relay.Routes.Lookup(q); r != nil {
				timing = r.RetryPolicy
			}
			options.RetryPolicies = append(options.RetryPolicies, timing)
		}
		if res := Run(options); len(res.Violations) > 0 {
			t.Fatalf("%v\n%s", res.Violations[0], text)
		}
	})
	if held["attempt"] < 10 || held["backoff"] < 10 || held["second"] < 10 {
		t.Errorf("the files hold too little: %v", held)
	}
}

// The checker detects a relay that ignores its retry policies.
func TestRun_IgnoredRetryPolicyIsDetected(t *testing.T) {
	once := balance.RetryPolicy{MaxAttempts: 1}
	for seed := uint64(0); seed < 40; seed++ {
		for _, b := range Run(Options{Seed: seed, Mutation: MutationRetryPolicyIgnored, RetryPolicies: []balance.RetryPolicy{once, once, once}}).Violations {
			if b.Rule == "attempt-limit" {
				return
			}
		}
	}
	t.Error("a second attempt where the timing allows one is not caught in 40 seeds")
}
