package membership

import (
	"flag"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "write the golden files anew")

// compareGolden compares text with a file in testdata, and writes the file with -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	g, w := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(g), len(w)) {
		switch {
		case i >= len(g):
			t.Fatalf("%s:%d: %q is missing", path, i+1, w[i])
		case i >= len(w):
			t.Fatalf("%s:%d: %q is too much", path, i+1, g[i])
		case g[i] != w[i]:
			t.Fatalf("%s:%d:\ngot  %q\nwant %q", path, i+1, g[i], w[i])
		}
	}
}

// accuracyRuns returns how many seeds the accuracy tests run, and for how long each; MEMBERSHIP_SEEDS asks for more.
func accuracyRuns() (seeds int, each time.Duration) {
	if n, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil && n > 0 {
		return n, time.Hour
	}
	return 4, 5 * time.Minute
}
