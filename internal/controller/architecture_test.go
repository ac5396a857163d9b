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

// The core runs in a relay and in the deterministic simulation, so it must not use a socket, a file, a clock, a goroutine or
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
			fileSet := token.NewFileSet()
			file, err := parser.ParseFile(fileSet, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, spec := range file.Imports {
				importPath := strings.Trim(spec.Path.Value, `"`)
				root, _, _ := strings.Cut(importPath, "/")
				if !allowed[importPath] && (slices.Contains([]string{"net", "os", "syscall", "bufio", "context", "sync"}, root) &&
					importPath != "sync/atomic" || importPath == "math/rand" || importPath == "crypto/rand") {
					t.Errorf("%s imports %s", name, importPath)
				}
			}
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
					t.Errorf("%s: goroutine, select or channel", fileSet.Position(n.Pos()))
				case *ast.SelectorExpr:
					pkg, ok := n.X.(*ast.Ident)
					if ok && pkg.Obj == nil && (pkg.Name == "time" && slices.Contains([]string{"Now", "Since", "Until", "After",
						"AfterFunc", "NewTimer", "NewTicker", "Sleep", "Tick"}, n.Sel.Name) ||
						pkg.Name == "rand" && !slices.Contains([]string{"New", "NewPCG", "Rand"}, n.Sel.Name)) {
						t.Errorf("%s: use of %s.%s", fileSet.Position(n.Pos()), pkg.Name, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
}
