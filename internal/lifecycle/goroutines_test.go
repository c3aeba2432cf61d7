package lifecycle

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGoroutinesReportTheirPanics requires that no package of the broker starts a goroutine without this package: its panic
// would end the process without the last line.
func TestGoroutinesReportTheirPanics(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}} {{.Dir}}", "gullstair/internal/router").Output()
	require.NoError(t, err)
	files := 0
	for line := range strings.Lines(string(out)) {
		path, dir, _ := strings.Cut(strings.TrimSpace(line), " ")
		if !strings.HasPrefix(path, "gullstair/") || path == "gullstair/internal/lifecycle" {
			continue
		}
		names, err := filepath.Glob(filepath.Join(dir, "*.go"))
		require.NoError(t, err)
		for _, name := range names {
			if !strings.HasSuffix(name, "_test.go") {
				files++
				checkFile(t, name)
			}
		}
	}
	require.Greater(t, files, 50)
}

func checkFile(t *testing.T, name string) {
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, name, nil, 0)
	require.NoError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: a goroutine without lifecycle.Go", set.Position(n.Pos()))
		case *ast.CallExpr:
			callee, is := n.Fun.(*ast.SelectorExpr)
			if !is || len(n.Args) == 0 || callee.Sel.Name != "AfterFunc" && callee.Sel.Name != "Go" || isLifecycle(callee.X) {
				return true
			}
			if guard, is := n.Args[len(n.Args)-1].(*ast.CallExpr); !is || !isGuard(guard) {
				t.Errorf("%s: a callback without lifecycle.Guard", set.Position(n.Pos()))
			}
		}
		return true
	})
}

func isLifecycle(x ast.Expr) bool {
	name, is := x.(*ast.Ident)
	return is && name.Name == "lifecycle"
}

func isGuard(call *ast.CallExpr) bool {
	callee, is := call.Fun.(*ast.SelectorExpr)
	return is && isLifecycle(callee.X) && callee.Sel.Name == "Guard"
}
