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
func stringLiteral(expression ast.Expr) string {
	if literal, ok := expression.(*ast.BasicLit); ok && literal.Kind == token.STRING {
		if value, err := strconv.Unquote(literal.Value); err == nil {
			return value
		}
	}
	return "*"
}

// calledMethod returns the name of a called method and the last name of its receiver.
func calledMethod(call *ast.CallExpr) (receiver, name string) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", ""
	}
	switch operand := selector.X.(type) {
	case *ast.Ident:
		receiver = operand.Name
	case *ast.SelectorExpr:
		receiver = operand.Sel.Name
	}
	return receiver, selector.Sel.Name
}

// zapFieldKey returns the key of the zap field that a call makes; ok reports whether it makes one.
func zapFieldKey(expression ast.Expr) (key string, ok bool) {
	call, isCall := expression.(*ast.CallExpr)
	if !isCall {
		return "", false
	}
	receiver, name := calledMethod(call)
	switch {
	case receiver != "zap" || slices.Contains([]string{"New", "NewNop", "NewProductionEncoderConfig"}, name):
		return "", false
	case name == "Error":
		return "error", true
	case len(call.Args) == 0:
		return "*", true
	}
	return stringLiteral(call.Args[0]), true
}

// logCalls returns a line with level, message and keys for each log call of a file, and one for each field that is made
// outside of a log call.
func logCalls(file *ast.File) (lines []string) {
	logged := map[ast.Expr]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok {
			return true
		}
		receiver, level := calledMethod(call)
		message, fields := "", call.Args
		switch {
		case receiver == "zap" || len(call.Args) == 0:
			return true
		case slices.Contains([]string{"Debug", "Info", "Warn", "Error", "DPanic", "Panic", "Fatal"}, level):
			message, fields = stringLiteral(call.Args[0]), call.Args[1:]
			if !strings.HasPrefix(strings.ToLower(receiver), "log") && !slices.ContainsFunc(fields, func(expression ast.Expr) bool { _, ok := zapFieldKey(expression); return ok }) {
				return true
			}
		case level == "With" && slices.ContainsFunc(fields, func(expression ast.Expr) bool { _, ok := zapFieldKey(expression); return ok }):
		default:
			return true
		}
		var keys []string
		for _, expression := range fields {
			key, ok := zapFieldKey(expression)
			if !ok {
				key = "*"
			}
			logged[expression] = true
			keys = append(keys, key)
		}
		lines = append(lines, strings.ToLower(level)+"\t"+message+"\t"+strings.Join(keys, ","))
		return true
	})
	ast.Inspect(file, func(node ast.Node) bool {
		if expression, ok := node.(ast.Expr); ok && !logged[expression] {
			if key, ok := zapFieldKey(expression); ok {
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
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			if name := entry.Name(); path != root && (name == "testdata" || strings.HasPrefix(name, ".")) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			lines = append(lines, logCalls(file)...)
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
		missing := strings.Split(strings.TrimSuffix(string(want), "\n"), "\n")
		for _, line := range lines {
			if i := slices.Index(missing, line); i >= 0 {
				missing = slices.Delete(missing, i, i+1)
			} else {
				t.Errorf("log call missing in %s: %q", name, line)
			}
		}
		for _, line := range missing {
			t.Errorf("log call missing in the source: %q", line)
		}
		t.Errorf("%s differs from the log calls in the source", name)
	}
}
