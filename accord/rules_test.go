package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The code keeps to its own rules: our words in identifiers, an example in the
// comment of each public function, no child processes in the daemon, and no
// library that would do the fleet's own work.
func TestOwnRules(t *testing.T) {
	words := regexp.MustCompile(`(?i)admit|client|zone|timer|request|deadline|choose|forward|peer|refuse|health|route`)
	files, err := filepath.Glob("../*/*.go")
	must.NoError(t, err)
	must.Greater(t, 30, len(files))
	for _, path := range files {
		set := token.NewFileSet()
		f, err := parser.ParseFile(set, path, nil, parser.ParseComments)
		must.NoError(t, err)
		test := strings.HasSuffix(path, "_test.go")
		for _, imp := range f.Imports {
			if !test {
				must.NotEq(t, `"os/exec"`, imp.Path.Value, must.Sprint(path))
				must.NotEq(t, `"plugin"`, imp.Path.Value, must.Sprint(path))
			}
		}
		ours := func(id *ast.Ident) {
			must.False(t, words.MatchString(id.Name), must.Sprint(set.Position(id.Pos()), " ", id.Name))
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.FuncDecl:
				ours(x.Name)
				if x.Recv == nil && x.Name.IsExported() && !test {
					must.StrContains(t, x.Doc.Text(), "Example:", must.Sprint(set.Position(x.Pos())))
				}
			case *ast.TypeSpec:
				ours(x.Name)
			case *ast.Field:
				for _, id := range x.Names {
					ours(id)
				}
			case *ast.ValueSpec:
				for _, id := range x.Names {
					ours(id)
				}
			case *ast.AssignStmt:
				if x.Tok == token.DEFINE {
					for _, e := range x.Lhs {
						if id, ok := e.(*ast.Ident); ok {
							ours(id)
						}
					}
				}
			}
			return true
		})
	}
	mod, err := os.ReadFile("../go.mod")
	must.NoError(t, err)
	must.False(t, regexp.MustCompile(`(?i)raft|paxos|etcd|consul|zookeeper|memberlist|serf|gossip|nats|redis|kafka|envoy|traefik|caddy|haproxy`).Match(mod))
}
