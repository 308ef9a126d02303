package daemon

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"otterchute/internal/configuration"

	"github.com/shoenig/test/must"
)

func reflectPtr(t reflect.Type) reflect.Type { return reflect.PointerTo(t) }

func TestSettingsAreChecked(t *testing.T) {
	good := []string{"-name", "d1", "-addr", "127.0.0.1:7000", "-http", "127.0.0.1:8000", "-site", "east", "-seeds", "127.0.0.1:7001,127.0.0.1:7002,127.0.0.1:7003"}
	load := func(args ...string) error {
		f, fs := &settingsFlags{}, flag.NewFlagSet("run", flag.ContinueOnError)
		f.bindFlags(fs)
		must.NoError(t, fs.Parse(args))
		_, err := f.load(fs)
		return err
	}
	must.NoError(t, load(good...))
	for key, args := range map[string][]string{
		"site: ": {"-site", "no good"}, "addr: ": {"-addr", "localhost:7000"}, "http: ": {"-http", "127.0.0.1:7000"}, "seeds: ": {"-seeds", "here"},
		"data: ": {"-data", "/proc/nowhere"}, "log_level: ": {"-log-level", "loud"}, "disable-policy: ": {"-disable-policy", "recall,sure_room"}, "keep_hours": {"-keep-hours", "0"},
	} {
		err := load(append(append([]string{}, good...), args...)...)
		must.Error(t, err)
		must.StrHasPrefix(t, key, err.Error())
		must.Eq(t, 1, len(strings.Split(err.Error(), "\n")))
	}
	must.Error(t, load(good[:8]...)) // no seeds
	file := filepath.Join(t.TempDir(), "s.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"name":"d1","sight":"east"}`), 0o600))
	err := load("-settings", file)
	must.Error(t, err)
	must.StrHasPrefix(t, "sight: is not a known field", err.Error())
}

// Every fault of a job is reported with its path.
func TestJobFaults(t *testing.T) {
	for body, path := range map[string]string{
		`{`:                        "",
		`{"queue":"q","steps":[]}`: "steps",
		`{"queue":"q","colour":1,"steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`:              "colour",
		`{"queue":"q","steps":[{"name":"a","tasks":[{"name":"t","room":-1}]}]}`:                        "steps.0.tasks.0.room",
		`{"queue":"q","steps":[{"name":"a","after":["b"],"tasks":[{"name":"t","room":1}]}]}`:           "steps.0.after.0",
		`{"queue":"q","steps":[{"name":"a","after":["a"],"tasks":[{"name":"t","room":1}]}]}`:           "steps.0.after",
		`{"queue":"q","steps":[{"name":"a","tasks":[{"name":"t","room":1},{"name":"t","room":1}]}]}`:   "steps.0.tasks.1.name",
		`{"queue":"q","steps":[{"name":"a","tasks":[{"name":"t","room":1,"labels":{"x":3}}]}]}`:        "steps.0.tasks.0.labels.x",
		`{"queue":"q","due_ms":1,"delay_ms":1,"steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`: "delay_ms",
		`{"queue":"q","steps":[{"name":"a","tasks":[{"name":"t","room":1.5}]}]}`:                       "steps.0.tasks.0.room",
		`{"queue":"q","queue":"r","steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`:             "queue",
		`{"queue":"q","steps":[{"name":"a","tasks":[{"name":"t","room":1,"estimate_ms":"x"}]}]}`:       "steps.0.tasks.0.estimate_ms",
	} {
		_, faults := parseJob("id", "", []byte(body))
		must.SliceNotEmpty(t, faults, must.Sprint(body))
		must.Eq(t, path, faults[0].Path, must.Sprint(body))
	}
}

func TestDoctorChecks(t *testing.T) {
	healthy := `{"core_size":3,"core_live":3,"core_contact_ms":100,"setup_confirmed":true,"setup_version":2}`
	must.SliceEmpty(t, runHealthChecks(map[string][]byte{"d1": []byte(healthy)}))
	for check, word := range map[string]string{
		"core below majority":   `{"core_size":3,"core_live":1,"setup_confirmed":true,"setup_version":1}`,
		"core member missing":   `{"core_size":3,"core_live":2,"setup_confirmed":true,"setup_version":1}`,
		"core out of reach":     `{"core_size":3,"core_live":3,"core_contact_ms":9000,"setup_confirmed":true,"setup_version":1}`,
		"siblings unreachable":  `{"core_size":3,"core_live":3,"siblings_lost":["d9"],"setup_confirmed":true,"setup_version":1}`,
		"clock spread":          `{"core_size":3,"core_live":3,"clock_spread_ms":{"d2":-4000},"setup_confirmed":true,"setup_version":1}`,
		"slow sync":             `{"core_size":3,"core_live":3,"sync_ms":{"d2":900},"setup_confirmed":true,"setup_version":1}`,
		"disk failed":           `{"core_size":3,"core_live":3,"disk_failed":"full","setup_confirmed":true,"setup_version":1}`,
		"setup not confirmed":   `{"core_size":3,"core_live":3,"setup_confirmed":false}`,
		"no setup":              `{"core_size":3,"core_live":3,"setup_confirmed":true,"setup_version":0}`,
		"unmatched queues":      `{"core_size":3,"core_live":3,"unmatched_queues":["q"],"setup_confirmed":true,"setup_version":1}`,
		"unsettled tasks":       `{"core_size":3,"core_live":3,"slices":{"east":{"unsettled":{"w3":2}}},"setup_confirmed":true,"setup_version":1}`,
		"duties without holder": `{"core_size":3,"core_live":3,"without_holder":["central"],"setup_confirmed":true,"setup_version":1}`,
	} {
		got := runHealthChecks(map[string][]byte{"d1": []byte(word)})
		must.Len(t, 1, got, must.Sprint(check))
		must.Eq(t, check, got[0].Check)
		must.NotEq(t, "", got[0].Remedy)
	}
}

// docs/settings.md and the code agree on every key, its flag and its default.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	must.NoError(t, err)
	f, fs := &settingsFlags{}, flag.NewFlagSet("run", flag.ContinueOnError)
	f.bindFlags(fs)
	listed := map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) < 6 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		key, name := strings.Trim(cells[1], " `"), strings.Trim(cells[2], " `-")
		listed[key] = true
		_, known := settingsSchema.Fields[key]
		must.True(t, known, must.Sprint(key))
		fl := fs.Lookup(name)
		must.NotNil(t, fl, must.Sprint(name))
		if def := strings.TrimSpace(cells[4]); def != "none" {
			must.Eq(t, fl.DefValue, def, must.Sprint(key))
		}
	}
	for key := range settingsSchema.Fields {
		must.True(t, listed[key], must.Sprint(key, " is not on the page"))
	}
}

// Each text that guards.sh replaces still occurs in the code.
func TestGuardsAreNotStale(t *testing.T) {
	script, err := os.ReadFile("../../guards.sh")
	must.NoError(t, err)
	_, list, _ := strings.Cut(string(script), "cat << 'G'\n")
	list, _, _ = strings.Cut(list, "\nG\n")
	for _, line := range strings.Split(list, "\n") {
		parts := strings.Split(strings.ReplaceAll(line, `\|`, "\x00"), "|")
		must.Len(t, 4, parts, must.Sprint(line))
		code, err := os.ReadFile(filepath.Join("../..", filepath.FromSlash(parts[1])))
		must.NoError(t, err)
		old := strings.NewReplacer("\x00", "|", `\n`, "\n", `\t`, "\t").Replace(parts[2])
		must.True(t, strings.Contains(string(code), old), must.Sprint(parts[0]))
	}
}

// An upstream becomes a queue, settings that can't be imported are listed by line, and a
// broken file gives one line that names the position.
func TestImport(t *testing.T) {
	d, err := draftFromNginx("worker_processes 4;\nhttp {\n upstream seats { server 10.0.0.1; queue 100; }\n server {\n  location / { proxy_pass http://seats/x; proxy_read_timeout 5s; proxy_next_upstream_tries 3; gzip on; }\n }\n}\n")
	must.NoError(t, err)
	must.Eq(t, []*draftQueue{{Name: "seats", Selector: map[string][]string{"upstream": {"seats"}}, Urgency: 1, LiveJobs: 100, LimitMs: 5000, Failures: 3}}, d.queues)
	must.Len(t, 3, d.skipped)
	must.StrHasPrefix(t, "line 1: worker_processes", d.skipped[0])
	must.StrHasPrefix(t, "line 5: gzip", d.skipped[2])
	_, faults := configuration.Compile(1, mustJSON(map[string]any{"queues": d.queues}))
	must.SliceEmpty(t, faults)
	for _, bad := range []string{"", "http {", "a \"b", "upstream \"x y\" { }", "upstream a { }\nupstream a { }", "http {\n upstream a { server x }\n}",
		"upstream a { }\nhttp { server { location / { proxy_pass http://a; proxy_read_timeout x; } } }"} {
		_, err := draftFromNginx(bad)
		must.ErrorIs(t, err, errDraft, must.Sprint(bad))
		must.RegexMatch(t, regexp.MustCompile(`^line \d+: [^\n]+$`), err.Error())
	}
}
