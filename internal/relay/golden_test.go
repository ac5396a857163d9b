package relay

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"aspenbarrow/internal/shadow"
)

var update = flag.Bool("update", false, "write golden files")

// A running relay with five clients answers each call as it did, byte for byte.
func TestRelay_ManagementGolden(t *testing.T) {
	var out bytes.Buffer
	say := func(r *Relay, calls ...string) {
		for _, c := range calls {
			fmt.Fprintf(&out, "--- %q\n%s", c, call(t, r, c))
		}
	}
	bare := managed(t)
	until(t, "it serves", func() bool { return strings.HasPrefix(call(t, bare, "READY"), "SUCCESS") })
	say(bare, "READY", "WATCH", "MEMBERS", "", "ready")
	r := managedAs(t, "x0=0.1", func(cfg *Config) { cfg.Shadow = shadow.ShapeOf(&cfg.Settings.Settings) })
	for i := range 5 {
		upClient(t, r, i+1)
	}
	until(t, "five are compared", func() bool { return strings.Contains(call(t, r, "WATCH"), "watch.compared=5\n") })
	until(t, "the list is counted", func() bool { return strings.Contains(call(t, r, "STATS"), "\ntargets=1\n") })
	say(r, "STATS", "WATCH", "DRAIN", "READY", "UNDRAIN", "READY")

	name := filepath.Join("testdata", "management.txt")
	if *update {
		if err := os.WriteFile(name, out.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("%s:\n got %s\nwant %s", name, out.Bytes(), want)
	}
}
