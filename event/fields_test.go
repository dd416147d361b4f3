package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/event"
)

// Guards against fields missing from Fields, listed twice or never emitted, and against events
// that repeat a field or reuse one of the fixed fields that begin every line.
func TestFieldsListedAndUnique(t *testing.T) {
	listed, used := map[string]bool{}, map[string]bool{}
	for _, f := range event.Fields() {
		check.Equal(t, f.Name+" is listed twice", listed[f.Name], false)
		listed[f.Name] = true
	}
	reserved := map[string]bool{"ts": true, "node": true, "event": true, "name": true, "level": true}
	calls := 0
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if sel, ok := call.Fun.(*ast.SelectorExpr); !ok || sel.Sel.Name != "Emit" || len(call.Args) == 0 {
				return true
			}
			calls++
			seen := map[string]bool{}
			for i := 1; i < len(call.Args); i += 2 {
				lit, ok := call.Args[i].(*ast.BasicLit)
				if !ok || lit.Kind != token.STRING {
					continue
				}
				key, err := strconv.Unquote(lit.Value)
				check.NoError(t, err)
				if reserved[key] || seen[key] {
					t.Errorf("%s: event repeats the field %q or uses a reserved name", path, key)
				}
				if !listed[key] {
					t.Errorf("%s: field %q is not listed in Fields", path, key)
				}
				seen[key], used[key] = true, true
			}
			return true
		})
		return nil
	})
	check.NoError(t, err)
	check.Equal(t, "more than 50 calls of Emit found", calls > 50, true)
	for name := range listed {
		check.Equal(t, name+" is emitted somewhere", used[name], true)
	}
}
