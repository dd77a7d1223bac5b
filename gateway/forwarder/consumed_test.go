package forwarder

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

// What backend servers said in fields that were decoded, or could have been, was used by nothing:
// their request limits, their backoffs and their departures.
func TestAllDecodedFieldsOfAnswersAreUsed(t *testing.T) {
	c := qt.New(t)
	used := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if f, ok := n.(*ast.FuncDecl); ok {
				collectUsedFields(f, used)
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	for field := range reflect.TypeFor[platform.Response]().Fields() {
		c.Check(used[field.Name], qt.IsTrue, qt.Commentf("nothing uses %s", field.Name))
	}
}

// collectUsedFields adds the fields of decoded answers that a function reads.
func collectUsedFields(f *ast.FuncDecl, used map[string]bool) {
	answers := map[string]bool{}
	for _, param := range f.Type.Params.List {
		if isPlatform(param.Type, "Response") {
			for _, name := range param.Names {
				answers[name.Name] = true
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.AssignStmt:
			call, ok := n.Rhs[0].(*ast.CallExpr)
			if ok && isPlatform(call.Fun, "DecodeResponse") {
				answers[n.Lhs[0].(*ast.Ident).Name] = true
			}
		case *ast.SelectorExpr:
			if x, ok := n.X.(*ast.Ident); ok && answers[x.Name] {
				used[n.Sel.Name] = true
			}
		}
		return true
	})
}

// isPlatform reports whether an expression is a name of the platform package.
func isPlatform(e ast.Expr, name string) bool {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	x, ok := s.X.(*ast.Ident)
	return ok && x.Name == "platform" && s.Sel.Name == name
}
