package daemon

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Words of our own that hide a standard term of the field.
var hidingWords = regexp.MustCompile(`(^| )(downstream|hand over|sibling|bounce|soundness|mapping|grant entry|asks?( |$))`)

// identifierWords parts a name where the language's own case does.
//
// Example: identifierWords("HTTPAskID") == "http ask id"
func identifierWords(name string) string {
	name = regexp.MustCompile(`([a-z0-9])([A-Z])`).ReplaceAllString(name, "$1 $2")
	name = regexp.MustCompile(`([A-Z])([A-Z][a-z])`).ReplaceAllString(name, "$1 $2")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}

// hidingLeft is how many identifiers declared in a file still use such a word.
// The numbers only go down: a file that isn't named here has none, and one
// that got better gets the lower number at once.
var hidingLeft = map[string]int{
	"cmd/otterchute-standin/downstream.go":       3,
	"cmd/otterchute-standin/main.go":             1,
	"internal/daemon/archive_test.go":            1,
	"internal/daemon/errors.go":                  1,
	"internal/daemon/process_test.go":            1,
	"internal/daemon/scenario_test.go":           2,
	"internal/daemon/world_test.go":              3,
	"internal/historycheck/historycheck.go":      1,
	"internal/historycheck/historycheck_test.go": 1,
}

// sourceFiles gives all Go files of the repository, tests too.
func sourceFiles(t *testing.T) (files []string) {
	t.Helper()
	for _, root := range []string{"cmd", "internal", "platform"} {
		err := filepath.WalkDir(filepath.Join("../..", root), func(path string, _ fs.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") {
				files = append(files, path)
			}
			return err
		})
		must.NoError(t, err)
	}
	return files
}

// The code keeps to its own rules: no new name that hides a term of the field,
// an example in the comment of each public function, no child processes in the
// daemon, and no library that would do the fleet's own work.
func TestOwnRules(t *testing.T) {
	files := sourceFiles(t)
	must.Greater(t, 30, len(files))
	must.SliceContains(t, files, "../../platform/platform.go")
	found := map[string][]string{}
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
		named := func(id *ast.Ident) {
			if hidingWords.MatchString(identifierWords(id.Name)) {
				key := strings.TrimPrefix(path, "../../")
				found[key] = append(found[key], id.Name)
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.FuncDecl:
				named(x.Name)
				if x.Recv == nil && x.Name.IsExported() && !test {
					must.StrContains(t, x.Doc.Text(), "Example:", must.Sprint(set.Position(x.Pos())))
				}
			case *ast.TypeSpec:
				named(x.Name)
			case *ast.Field:
				for _, id := range x.Names {
					named(id)
				}
			case *ast.ValueSpec:
				for _, id := range x.Names {
					named(id)
				}
			case *ast.AssignStmt:
				if x.Tok == token.DEFINE {
					for _, e := range x.Lhs {
						if id, ok := e.(*ast.Ident); ok {
							named(id)
						}
					}
				}
			}
			return true
		})
	}
	now := ""
	for _, file := range sorted(found) {
		now += fmt.Sprintf("\t%q: %d,\n", file, len(found[file]))
		if len(found[file]) > hidingLeft[file] {
			t.Errorf("%s declares %d such names, not %d: %v", file, len(found[file]), hidingLeft[file], found[file])
		}
	}
	for _, file := range sorted(hidingLeft) {
		if len(found[file]) < hidingLeft[file] {
			t.Errorf("%s got better, %d of %d are left: lower the number", file, len(found[file]), hidingLeft[file])
		}
	}
	if t.Failed() {
		t.Log("as it is:\n" + now)
	}
	mod, err := os.ReadFile("../../go.mod")
	must.NoError(t, err)
	must.False(t, regexp.MustCompile(`(?i)raft|paxos|etcd|consul|zookeeper|memberlist|serf|gossip|nats|redis|kafka|envoy|traefik|caddy|haproxy`).Match(mod))
}
