package controller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The core runs in a relay and in the deterministic simulation. So it may not use a socket, a file, a clock, a goroutine or
// randomness of its own, directly or through a package of this module.
func TestCore_HasNoIO(t *testing.T) {
	allowed := map[string]bool{"net/netip": true, "math/rand/v2": true}
	for _, dir := range []string{".", "../protocol", "../discovery", "../session", "../upstream", "../handshake", "../healthcheck",
		"../metrics", "../hotrestart", "../shadow", "../decision", "../../balance", "../membership", "../routing", "../settings", "../emulator"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			set := token.NewFileSet()
			f, err := parser.ParseFile(set, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range f.Imports {
				p := strings.Trim(i.Path.Value, `"`)
				root, _, _ := strings.Cut(p, "/")
				if !allowed[p] && (slices.Contains([]string{"net", "os", "syscall", "bufio", "context", "sync"}, root) &&
					p != "sync/atomic" || p == "math/rand" || p == "crypto/rand") {
					t.Errorf("%s imports %s", name, p)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
					t.Errorf("%s: a goroutine or a channel", set.Position(n.Pos()))
				case *ast.SelectorExpr:
					x, ok := n.X.(*ast.Ident)
					if ok && x.Obj == nil && (x.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "After",
						"AfterFunc", "NewTimer", "NewTicker", "Sleep", "Tick"}, n.Sel.Name) ||
						x.Name == "rand" && !slices.Contains([]string{"New", "NewPCG", "Rand"}, n.Sel.Name)) {
						t.Errorf("%s: %s.%s", set.Position(n.Pos()), x.Name, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}
