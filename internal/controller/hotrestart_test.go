package controller

import (
	"strings"
	"testing"
	"time"
)

func TestABequestIsTakenWholeOrNotAtAll(t *testing.T) {
	old, _ := node(t, testConfig())
	old.SetDrained(true)
	text, err := old.ExportState(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	cfg := testConfig()
	cfg.CachedEndpoints = nil
	for _, c := range []struct {
		name, from, to string
		late           time.Duration
		taken          bool
	}{
		{"as it was", "", "", 0, true},
		{"another version", `"version":1`, `"version":2`, 0, false},
		{"another relay's", `"name":"n0"`, `"name":"n9"`, 0, false},
		{"an old one", "", "", time.Minute, false},
		{"a backend without a name", `"members":[{"name":"`, `"members":[{"name":"x`, 0, false},
		{"cut short", good[len(good)/2:], "", 0, false},
		{"empty", good, "", 0, false},
	} {
		n, _ := node(t, cfg)
		changed := strings.Replace(good, c.from, c.to, 1)
		if c.from != "" && changed == good {
			t.Fatalf("%s: %q is not in %s", c.name, c.from, good)
		}
		err := n.RestoreState(time.Second+c.late, []byte(changed))
		if taken := len(n.Backends()) > 0; taken != c.taken || taken != (err == nil) || n.Drained() != c.taken {
			t.Errorf("%s: %d backends, drained %v, %v", c.name, len(n.Backends()), n.Drained(), err)
		}
	}
}

// Both processes together stay within the descriptors: what the old one holds the new one has not.
func TestTheLimitsAreOnBothProcesses(t *testing.T) {
	n, h := node(t, testConfig())
	n.SetDescriptors(256)
	n.SetOtherProcessDescriptors(time.Second, 120)
	n.SetOtherProcessDescriptors(time.Second, 0)
	if len(h.shares) != 2 || h.shares[0] != AllocateDescriptors(136, 64, false) || h.shares[1] != AllocateDescriptors(256, 64, false) {
		t.Errorf("%+v", h.shares)
	}
}
