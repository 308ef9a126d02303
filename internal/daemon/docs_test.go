package daemon

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// pagesOfRecord describe past measurements and findings in the names of that time.
var pagesOfRecord = []string{"docs/rounds.md"}

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	fileName   = regexp.MustCompile(`^[\w./*-]+\.(go|sh|md|json|toml|yml|txt)$`)
	identifier = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)*(\(\))?(…)?$`)
	innerUpper = regexp.MustCompile(`[a-z0-9][A-Z]`)
	word       = regexp.MustCompile(`\w+`)
)

// metricPrefix is the prefix of each metric name; counters also end in _total.
const metricPrefix = "otterchute_"

// exampleFiles are file names that pages use as examples; the repository doesn't contain them.
var exampleFiles = []string{"setup.json", "job.json"}

// namesInSources returns every identifier of the Go sources, each word of their string
// literals, and the folder name of each package.
func namesInSources(t *testing.T) (names map[string]bool) {
	t.Helper()
	names = map[string]bool{}
	for _, path := range sourceFiles(t) {
		names[filepath.Base(filepath.Dir(path))] = true
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		must.NoError(t, err)
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.Ident:
				names[n.Name] = true
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); err == nil {
					for _, w := range word.FindAllString(text, -1) {
						names[w] = true
					}
				}
			}
			return true
		})
	}
	return names
}

// filesOfRepository returns the paths of all files relative to the root.
func filesOfRepository(t *testing.T) (files []string) {
	t.Helper()
	must.NoError(t, filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && d.IsDir() && slices.Contains([]string{".git", "journal", "target", "bin", "fleet"}, d.Name()) {
			return filepath.SkipDir
		}
		if err == nil && !d.IsDir() {
			files = append(files, strings.TrimPrefix(filepath.ToSlash(path), "../../"))
		}
		return err
	}))
	return files
}

// namesFile reports whether a page's name for a file, which may contain a *, matches the end
// of a path in the repository.
func namesFile(files []string, pageName string) bool {
	pageName = strings.TrimPrefix(pageName, "./")
	return slices.ContainsFunc(files, func(path string) bool {
		whole, _ := filepath.Match(pageName, path)
		base, _ := filepath.Match(pageName, filepath.Base(path))
		return whole || base || strings.HasSuffix(path, "/"+pageName)
	})
}

// namesPrefix reports whether some name begins with a prefix, which pages write with a
// trailing ….
func namesPrefix(names map[string]bool, prefix string) bool {
	for name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

// checkSpan returns what is wrong with a code span of a page: a file that doesn't exist, or an
// identifier that isn't in the sources. Other spans are not checked.
func checkSpan(span string, files []string, names map[string]bool) string {
	if fileName.MatchString(span) {
		if !slices.Contains(exampleFiles, span) && !namesFile(files, span) {
			return "no such file"
		}
		return ""
	}
	if !identifier.MatchString(span) {
		return ""
	}
	if !innerUpper.MatchString(span) && !strings.Contains(span, "_") && !strings.Contains(span, ".") {
		return ""
	}
	if metric, ok := strings.CutPrefix(span, metricPrefix); ok {
		span = strings.TrimSuffix(metric, "_total")
	}
	for _, part := range strings.Split(strings.TrimSuffix(span, "()"), ".") {
		prefix, isPrefix := strings.CutSuffix(part, "…")
		if !names[part] && (!isPrefix || !namesPrefix(names, prefix)) {
			return "no such name in the sources"
		}
	}
	return ""
}

func TestDocsNameWhatExists(t *testing.T) {
	files, names := filesOfRepository(t), namesInSources(t)
	for _, page := range files {
		if !strings.HasSuffix(page, ".md") || strings.Contains(page, "testdata") || slices.Contains(pagesOfRecord, page) {
			continue
		}
		text, err := os.ReadFile(filepath.Join("../..", page))
		must.NoError(t, err)
		for at, line := range strings.Split(string(text), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if wrong := checkSpan(span[1], files, names); wrong != "" {
					t.Errorf("%s:%d: %s: %s", page, at+1, span[1], wrong)
				}
			}
		}
	}
}

func TestDocsNameWhatExistsFindsStaleNames(t *testing.T) {
	files := []string{"internal/daemon/reduce.go", "docs/design.md"}
	names := map[string]bool{"reduce": true, "startShard": true, "lease": true, "Manager": true, "TestLeaseEnds": true, "role_taken": true}
	for span, stale := range map[string]bool{
		"reduce.go": false, "internal/daemon/reduce.go": false, "shell.go": true, "docs/*.md": false, "setup.json": false,
		"startShard": false, "startSlice": true, "lease.Manager": false, "lease.Holder": true, "TestLease…": false, "TestDuty…": true,
		"role_taken": false, "otterchute_role_taken_total": false, "otterchute_duty_taken": true, "duty_taken": true, "plain": false, "two words": false, "startShard()": false,
	} {
		t.Run(span, func(t *testing.T) { must.Eq(t, stale, checkSpan(span, files, names) != "") })
	}
}
