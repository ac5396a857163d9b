package testcluster

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

func TestRun_ValidatesOptionsBeforeStart(t *testing.T) {
	script := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho no such limit >&2; exit 3\n"), 0o755); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		opt  Options
		want string
	}{
		{"descriptors", Options{Program: program, Fleet: smallCluster(300, 90, 1<<20)}, "relays fit"},
		{"memory", Options{Program: program, Fleet: smallCluster(maxRelays, 10, 100)}, "fit"},
		{"too many relays", Options{Program: program, Fleet: smallCluster(maxRelays+1, 10, 100)}, "a test cluster has 1 to"},
		{"no program", Options{Program: filepath.Join(t.TempDir(), "none"), Fleet: smallCluster(2, 2, 4)}, "no such file"},
		{"not executable", Options{Program: t.TempDir(), Fleet: smallCluster(2, 2, 4)}, "cannot be executed"},
		{"program fails at once", Options{Program: script, Fleet: smallCluster(2, 2, 4)}, "no such limit"},
		{"unknown fault", Options{Program: program, Fleet: smallCluster(2, 2, 4), Faults: []fault.Fault{{Kind: "shared dependency slow"}}}, "can't play"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.name == "memory" && availableKB() > int64(maxRelays)*24<<10 {
				t.Skip("this machine has enough memory for the maximum number of relays")
			}
			tc.opt.Duration = time.Second
			_, err := Run(context.Background(), tc.opt)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one that contains %q", err, tc.want)
			}
		})
	}
}
