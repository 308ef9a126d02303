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

// withdrawnWords are terms private to this project or to the users' pages; docs/glossary.md
// has the standard term for each.
var withdrawnWords = regexp.MustCompile(`(^| )(asks?|aside|beats?|bounced?|courier|door|downstream|duty|duties|grant entry|guise|hand over|lap|mapping|mend|seats?|siblings?|sites?|soundness|told|verdict|wants)( |$)`)

// identifierWords splits a name at its changes of case.
//
// Example: identifierWords("HTTPAskID") == "http ask id"
func identifierWords(name string) string {
	name = regexp.MustCompile(`([a-z0-9])([A-Z])`).ReplaceAllString(name, "$1 $2")
	name = regexp.MustCompile(`([A-Z])([A-Z][a-z])`).ReplaceAllString(name, "$1 $2")
	return strings.ToLower(strings.ReplaceAll(name, "_", " "))
}

// withdrawnLeft counts the identifiers in a folder that still use such a word, for sources and
// tests separately. A folder that isn't listed has none. The numbers only go down, see
// docs/ROADMAP.md: after an improvement the number is lowered at once.
var withdrawnLeft = map[string]int{}

// folderOf returns the key under which a file is counted.
func folderOf(path string) string {
	folder := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, "../../")))
	if strings.HasSuffix(path, "_test.go") {
		return folder + " tests"
	}
	return folder
}

// sourceFiles returns all Go files of the repository, including tests.
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

// Checks the rules for the code: no new identifier with a withdrawn word, an example in the
// comment of each exported function, no child processes in the daemon, and no library that
// does the cluster's own work.
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
		checkName := func(id *ast.Ident) {
			if withdrawnWords.MatchString(identifierWords(id.Name)) {
				key := folderOf(path)
				found[key] = append(found[key], id.Name)
			}
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.FuncDecl:
				checkName(x.Name)
				if x.Recv == nil && x.Name.IsExported() && !test {
					must.StrContains(t, x.Doc.Text(), "Example:", must.Sprint(set.Position(x.Pos())))
				}
			case *ast.TypeSpec:
				checkName(x.Name)
			case *ast.Field:
				for _, id := range x.Names {
					checkName(id)
				}
			case *ast.ValueSpec:
				for _, id := range x.Names {
					checkName(id)
				}
			case *ast.AssignStmt:
				if x.Tok == token.DEFINE {
					for _, e := range x.Lhs {
						if id, ok := e.(*ast.Ident); ok {
							checkName(id)
						}
					}
				}
			}
			return true
		})
	}
	now := ""
	for _, file := range sortedKeys(found) {
		now += fmt.Sprintf("\t%q: %d,\n", file, len(found[file]))
		if len(found[file]) > withdrawnLeft[file] {
			t.Errorf("%s declares %d identifiers with withdrawn words, not %d: %v", file, len(found[file]), withdrawnLeft[file], found[file])
		}
	}
	for _, file := range sortedKeys(withdrawnLeft) {
		if len(found[file]) < withdrawnLeft[file] {
			t.Errorf("%s got better, %d of %d are left: lower the number", file, len(found[file]), withdrawnLeft[file])
		}
	}
	if t.Failed() {
		t.Log("current numbers:\n" + now)
	}
	mod, err := os.ReadFile("../../go.mod")
	must.NoError(t, err)
	must.False(t, regexp.MustCompile(`(?i)raft|paxos|etcd|consul|zookeeper|memberlist|serf|gossip|nats|redis|kafka|envoy|traefik|caddy|haproxy`).Match(mod))
}
