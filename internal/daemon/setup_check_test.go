package daemon

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/shoenig/test/must"
)

// Guards against tenants that an operator's offline check calls sound and the fleet refuses, or
// the other way round.
func TestSetupCheckJudgesTenants(t *testing.T) {
	key := `"` + digestOf("key") + `"`
	for tenants, status := range map[string]subcommands.ExitStatus{
		`[]`: exitOK,
		`[{"name":"a","key_digests":[` + key + `],"weight":2,"limit":{"cpu":4}},{"name":"b","limit":{}}]`: exitOK,
		`[{"name":"a","key_digests":[` + key + `]},{"name":"b","key_digests":[` + key + `]}]`:             exitFound,
		`[{"name":"a","key_digests":["` + strings.Repeat("x", len(key)-2) + `"]}]`:                        exitFound,
		`[{"name":"a"},{"name":"a"}]`: exitFound, `null`: exitFound, `[{"name":"a","limit":{"cpu":-1}}]`: exitFound,
	} {
		path := filepath.Join(t.TempDir(), "setup.json")
		must.NoError(t, os.WriteFile(path, []byte(`{"queues":[{"name":"q"}],"tenants":`+tenants+`}`), 0o600))
		must.Eq(t, status, checkConfigFile(context.Background(), nil, []string{path}), must.Sprint(tenants))
	}
}
