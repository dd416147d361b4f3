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
)

// Every line begins with fields of its own; no event may use their names for another thing.
func TestNoEventReusesTheNamesOfEveryLine(t *testing.T) {
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
				check.Good(t, err)
				if reserved[key] || seen[key] {
					t.Errorf("%s: an event names a field %q that the line has already", path, key)
				}
				seen[key] = true
			}
			return true
		})
		return nil
	})
	check.Good(t, err)
	check.Equal(t, "calls were found", calls > 50, true)
}
