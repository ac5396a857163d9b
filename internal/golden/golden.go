// Package golden compares what a test produced with a file that an earlier version wrote, in the testdata folder of the
// test's package. With the flag -update it writes the file instead. Only tests import it.
package golden

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	// folder holds the golden files of a package.
	folder = "testdata"

	// fileMode is the mode of a golden file that is written.
	fileMode = 0o644
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Updating reports whether golden files are to be rewritten.
func Updating() bool { return *update }

// Compare fails the test at the first line in which got differs from the golden file of that name.
func Compare(t testing.TB, name, got string) {
	t.Helper()
	path := filepath.Join(folder, name)
	if Updating() {
		if err := os.WriteFile(path, []byte(got), fileMode); err != nil {
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
	t.Fatal(firstDifference(path, got, string(want)))
}

// firstDifference describes the first line in which two texts differ.
func firstDifference(path, got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			return fmt.Sprintf("%s:%d:\ngot  %q\nwant %q", path, i+1, gotLines[i], wantLines[i])
		}
	}
	if n := len(gotLines); n < len(wantLines) {
		return fmt.Sprintf("%s:%d: %q is missing", path, n+1, wantLines[n])
	}
	n := len(wantLines)
	return fmt.Sprintf("%s:%d: %q is not in the file", path, n+1, gotLines[n])
}
