package discovery

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden holds what was made now to what an earlier version wrote.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
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

// testSettings know two zones and one kind of backend.
var testSettings = &settings.Settings{ClassNames: []string{"chat", "order"}, TenantNames: []string{"acme", "bolt"},
	ZoneNames: []string{"east", "west"}, KindNames: []string{"k"}, ReportFieldNames: []string{"utilization", "x0"},
	Settings: balance.Settings{PassThrough: true, Classes: []balance.Class{{ClientTimeout: 2 * time.Second}, {}}}}
