package main

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"aspenbarrow/internal/golden"
)

// stringLiteral returns the value of a string literal, or * for any other expression.
func stringLiteral(e ast.Expr) string {
	if l, ok := e.(*ast.BasicLit); ok && l.Kind == token.STRING {
		if s, err := strconv.Unquote(l.Value); err == nil {
			return s
		}
	}
	return "*"
}

// calledMethod returns the name of a called method and the last name of its receiver.
func calledMethod(c *ast.CallExpr) (on, name string) {
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	switch x := s.X.(type) {
	case *ast.Ident:
		on = x.Name
	case *ast.SelectorExpr:
		on = x.Sel.Name
	}
	return on, s.Sel.Name
}

// zapFieldKey returns the key of the zap field that a call makes; ok reports whether it makes one.
func zapFieldKey(e ast.Expr) (key string, ok bool) {
	c, isCall := e.(*ast.CallExpr)
	if !isCall {
		return "", false
	}
	on, name := calledMethod(c)
	switch {
	case on != "zap" || slices.Contains([]string{"New", "NewNop", "NewProductionEncoderConfig"}, name):
		return "", false
	case name == "Error":
		return "error", true
	case len(c.Args) == 0:
		return "*", true
	}
	return stringLiteral(c.Args[0]), true
}

// logCalls lists the log calls of a file: level, message and keys. Fields made outside of a log call have a line of
// their own.
func logCalls(f *ast.File) (lines []string) {
	inside := map[ast.Expr]bool{}
	ast.Inspect(f, func(n ast.Node) bool {
		c, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		on, level := calledMethod(c)
		message, fields := "", c.Args
		switch {
		case on == "zap" || len(c.Args) == 0:
			return true
		case slices.Contains([]string{"Debug", "Info", "Warn", "Error", "DPanic", "Panic", "Fatal"}, level):
			message, fields = stringLiteral(c.Args[0]), c.Args[1:]
			if !strings.HasPrefix(strings.ToLower(on), "log") && !slices.ContainsFunc(fields, func(e ast.Expr) bool { _, ok := zapFieldKey(e); return ok }) {
				return true
			}
		case level == "With" && slices.ContainsFunc(fields, func(e ast.Expr) bool { _, ok := zapFieldKey(e); return ok }):
		default:
			return true
		}
		var keys []string
		for _, e := range fields {
			key, ok := zapFieldKey(e)
			if !ok {
				key = "*"
			}
			inside[e] = true
			keys = append(keys, key)
		}
		lines = append(lines, strings.ToLower(level)+"\t"+message+"\t"+strings.Join(keys, ","))
		return true
	})
	ast.Inspect(f, func(n ast.Node) bool {
		if e, ok := n.(ast.Expr); ok && !inside[e] {
			if key, ok := zapFieldKey(e); ok {
				lines = append(lines, "field\t\t"+key)
			}
		}
		return true
	})
	return lines
}

// TestLog_KeysGolden compares all log messages, levels and keys in the source with the golden list, since log queries
// depend on them.
func TestLog_KeysGolden(t *testing.T) {
	root := "."
	for range 8 {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			break
		}
		root = filepath.Join(root, "..")
	}
	var lines []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if name := d.Name(); path != root && (name == "testdata" || strings.HasPrefix(name, ".")) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			lines = append(lines, logCalls(f)...)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(lines)
	got, name := []byte(strings.Join(lines, "\n")+"\n"), filepath.Join("testdata", "log_keys.txt")
	if golden.Updating() {
		if err := os.WriteFile(name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		old := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
		for _, l := range lines {
			if i := slices.Index(old, l); i >= 0 {
				old = slices.Delete(old, i, i+1)
			} else {
				t.Errorf("new: %q", l)
			}
		}
		for _, l := range old {
			t.Errorf("gone: %q", l)
		}
		t.Errorf("%s is not what the source logs", name)
	}
}
