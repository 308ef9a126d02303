package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/configuration"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"otterchute/internal/storage"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// The fixtures under testdata were written by the release of 2 December 2026, before its
// sources were renamed and split into packages. They hold what that release stored on disk and
// sent over the network; later revisions must read and write the same. They are rewritten,
// with -update-fixtures, only for an intended and announced change of a format.
var updateFixtures = flag.Bool("update-fixtures", false, "rewrite the files under testdata instead of comparing with them")

// compareFixture compares a file under testdata with the current output.
func compareFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", filepath.FromSlash(name))
	if *updateFixtures {
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, got, 0o600))
		return
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.True(t, bytes.Equal(want, got), must.Sprintf("%s differs, got %d bytes:\n%.2000s", name, len(got), got))
}

// sampleValue fills a value so that no two adjacent fields are equal.
func sampleValue(v reflect.Value, next *uint64) {
	*next++
	n := *next
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			sampleValue(v.Field(i), next)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte(fmt.Sprintf("bytes %d", n)))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			sampleValue(v.Index(i), next)
		}
	case reflect.String:
		v.SetString(fmt.Sprintf("text %d", n))
	case reflect.Bool:
		v.SetBool(n%2 == 1)
	case reflect.Int8:
		v.SetInt(int64(n%5) + 1)
	case reflect.Uint8:
		v.SetUint(n%5 + 1)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(n))
	case reflect.Uint64:
		v.SetUint(n << 32)
	case reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	default:
		panic("no sample for " + v.Type().String())
	}
}

// Frames of each kind that the release of the fixtures sent are decoded, and encoded again to
// the same bytes.
func TestFixtureFrames(t *testing.T) {
	for _, kind := range wire.Kinds() {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			sample, next := reflect.New(messageType(kind)), uint64(0)
			sampleValue(sample.Elem(), &next)
			head := wire.Header{Cluster: 11, From: "edge-1", Instance: 12, To: 13}
			name := fmt.Sprintf("frames/%02d.hex", kind)
			compareFixture(t, name, []byte(hex.EncodeToString(wire.EncodeFrame(head, sample.Interface()))+"\n"))

			text, err := os.ReadFile(filepath.Join("testdata", filepath.FromSlash(name)))
			must.NoError(t, err)
			frame, err := hex.DecodeString(strings.TrimSpace(string(text)))
			must.NoError(t, err)
			readHead, message, err := wire.DecodeFrame(frame)
			must.NoError(t, err)
			must.Eq(t, sample.Interface(), message)
			must.Eq(t, frame, wire.EncodeFrame(readHead, message))
		})
	}
}

// fixtureMembers are the core members whose data folders are kept as fixtures.
var fixtureMembers = []string{"d00", "d01", "d02"}

// storeSummary describes the state read from a data folder.
type storeSummary struct {
	Disk      string
	Cluster   string
	CoreSet   string
	Registers map[string]string
	Slices    map[string]shardSummary
	Dump      string // hash of all entries that rebuild the store
}

type shardSummary struct {
	Sealed, Served uint64
	Live           map[string]string
	Finished       []string
	Unsettled      []string
}

func summaryOf(identity string, st *statestore.Store) storeSummary {
	out := storeSummary{Disk: strings.Replace(strings.TrimSpace(identity), " ", " from ", 1), Cluster: fmt.Sprintf("%x", st.Cluster()),
		CoreSet: hashOf(st.CoreSet().Encode()), Registers: map[string]string{}, Slices: map[string]shardSummary{}}
	for _, name := range st.RegisterNames() {
		r := st.Register(name)
		out.Registers[name] = fmt.Sprintf("%s %s %s", ballotText(r.Promised), ballotText(r.Accepted), hashOf(r.Value))
	}
	for _, name := range st.ShardNames() {
		replica := st.Shard(name)
		s := shardSummary{Sealed: replica.SealedEpoch(), Served: replica.ServedEpoch(), Live: map[string]string{}, Finished: []string{}}
		finished := map[string]bool{}
		replica.EachFinished(func(r statestore.Record) { finished[r.ID] = true })
		s.Finished = append(s.Finished, sortedKeys(finished)...)
		for _, r := range replica.Unconfirmed() {
			s.Unsettled = append(s.Unsettled, r.ID)
		}
		for _, r := range replica.Live() {
			s.Live[r.ID] = fmt.Sprintf("epoch %d version %d value %s", r.Epoch, r.Version, hashOf(r.Value))
		}
		out.Slices[name] = s
	}
	all := sha256.New()
	for _, e := range st.Dump() {
		_, _ = all.Write(codec.Append(nil, e))
	}
	out.Dump = hex.EncodeToString(all.Sum(nil))
	return out
}

// ballotText returns a ballot in the notation of the fixtures.
func ballotText(b register.Ballot) string {
	return fmt.Sprintf("{Round:%d Proposer:%s Life:%d}", b.Round, b.Proposer, b.Instance)
}

func discardLog(string, ...any) {}

func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	return fmt.Sprintf("%d bytes %x", len(b), sum[:8])
}

// writeFixtureFolder writes a member's entries as its daemon would: a segment, a snapshot of
// everything before it, and more segments.
func writeFixtureFolder(t *testing.T, folder string, member *simNode) {
	t.Helper()
	must.NoError(t, os.MkdirAll(folder, 0o755))
	d, _, err := storage.Open(folder, member.DiskID, discardLog)
	must.NoError(t, err)
	go d.Run(diskListener{func(do func(*executor)) { do(&executor{node: newNode(nodeConfig{}, nil)}) }})
	st := statestore.New()
	add := func(packed [][]byte) {
		for _, b := range packed {
			var e statestore.Entry
			must.NoError(t, codec.Unmarshal(b, &e))
			st.Apply(e)
			synced := make(chan bool)
			d.Append([]statestore.Entry{e}, func() { close(synced) })
			<-synced
		}
	}
	entries := member.disk.entries
	add(entries[:len(entries)/2])
	d.Snapshot(st.Dump())
	add(entries[len(entries)/2:])
	d.Close()
	must.NoError(t, os.Remove(filepath.Join(folder, "lock")))
}

// lastSegment returns the path of the newest segment that is not empty.
func lastSegment(t *testing.T, dir string) (path string) {
	t.Helper()
	list, err := filepath.Glob(filepath.Join(dir, "log-*"))
	must.NoError(t, err)
	for _, f := range list {
		if s, err := os.Stat(f); err == nil && s.Size() > 0 {
			path = f
		}
	}
	must.NotEq(t, "", path)
	return path
}

// writeFixtureFolders runs a short simulation and writes the core members' disks.
func writeFixtureFolders(t *testing.T, root string) {
	t.Helper()
	w := formed(t, 1, "hakata")
	w.traffic(700)
	w.run(3000)
	w.killHolder("slice/east")
	w.run(4000)
	w.traffic(300)
	w.run(600) // some jobs are live at the end
	for _, name := range fixtureMembers {
		writeFixtureFolder(t, filepath.Join(root, name), w.nodes[name])
	}
	damaged := filepath.Join(root, "damaged")
	writeFixtureFolder(t, damaged, w.nodes["d00"])
	path := lastSegment(t, damaged)
	b, err := os.ReadFile(path)
	must.NoError(t, err)
	b[len(b)/2] ^= 0xff
	must.NoError(t, os.WriteFile(path, b, 0o600))
	d, _, err := storage.Open(damaged, 99, discardLog) // quarantines the files
	must.NoError(t, err)
	go d.Run(diskListener{})
	d.Close()
	must.NoError(t, os.Remove(filepath.Join(damaged, "lock")))
}

// copyOfFixture returns a copy of a member's data folder, because opening a folder writes to
// it.
func copyOfFixture(t *testing.T, name string) (dir string) {
	t.Helper()
	dir = t.TempDir()
	must.NoError(t, os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "data", name))))
	return dir
}

// Data folders of the release of the fixtures are read as the same state.
func TestFixtureDataFolders(t *testing.T) {
	root := filepath.Join("testdata", "data")
	if *updateFixtures {
		must.NoError(t, os.RemoveAll(root))
		writeFixtureFolders(t, root)
	}
	for _, name := range append([]string{"damaged"}, fixtureMembers...) {
		t.Run(name, func(t *testing.T) {
			dir := copyOfFixture(t, name)
			d, st, err := storage.Open(dir, 77, discardLog)
			must.NoError(t, err)
			go d.Run(diskListener{func(func(*executor)) {}})
			defer d.Close()
			identity, err := os.ReadFile(filepath.Join(dir, "disk-id"))
			must.NoError(t, err)
			must.StrHasPrefix(t, fmt.Sprintf("%x ", d.ID()), string(identity))
			got, err := json.MarshalIndent(summaryOf(string(identity), st), "", " ")
			must.NoError(t, err)
			compareFixture(t, "data-"+name+".json", append(got, '\n'))
		})
	}
}

// fixtureCalls are requests of callers, workers and operators, in order.
var fixtureCalls = []evRequest{
	{Op: "job.put", Key: "fix-1", Body: []byte(`{"queue":"confirm","steps":[{"name":"a","tasks":[{"name":"t","room":1,"payload":{"ms":300}}]}]}`)},
	{Op: "job.put", Key: "fix-1", Body: []byte(`{"queue":"confirm","steps":[{"name":"a","tasks":[{"name":"t","room":2,"payload":{"ms":300}}]}]}`)},
	{Op: "job.put", Key: "fix-2", Body: []byte(`{"queue":"nowhere","steps":[{"name":"a","tasks":[{"name":"t","room":1}]}]}`)},
	{Op: "job.put", Key: "fix-3", Body: []byte(`{"queue":"confirm","steps":[]}`)},
	{Op: "job.get", Key: "fix-1"},
	{Op: "job.get", Key: "nobody"},
	{Op: "job.cancel", Key: "fix-1"},
	{Op: "job.cancel", Key: "nobody"},
	{Op: "setup.put", Key: "1", Body: []byte(`{"queues":[{"name":"other"}]}`)},
	{Op: "setup.put", Key: "7", Body: []byte(`{"queues":[{"name":"other"}]}`)},
	{Op: "setup.put", Key: "2", Body: []byte(`{"queues":[{"name":"other","urgency":"high"}]}`)},
	{Op: "setup.get"},
	{Op: "members"},
	{Op: "workers"},
	{Op: "soundness"},
	{Op: "site.empty", Key: "east"},
	{Op: "site.open", Key: "east"},
	{Op: "nothing", Key: "x"},
}

// Requests get the same answers as from the release of the fixtures.
func TestFixtureAnswers(t *testing.T) {
	w := formed(t, 1, "hakata")
	w.run(2000)
	var out bytes.Buffer
	for _, call := range fixtureCalls {
		if call.Op != "setup.put" {
			call.Base = -1
		}
		answered := false
		w.call("caller", w.nodes["d04"], call, 5000, func(status int, retryMs int64, body []byte) {
			answered = true
			fmt.Fprintf(&out, "%s %s\n%d retry %d\n%s\n\n", call.Op, call.Key, status, retryMs, body)
		})
		must.True(t, w.until(6000, func() bool { return answered }))
		w.run(300)
	}
	compareFixture(t, "answers.txt", out.Bytes())
}

// Names in settings and configuration documents stay the same.
func TestFixtureNames(t *testing.T) {
	var out bytes.Buffer
	for _, key := range sortedKeys(settingsSchema.Fields) {
		fmt.Fprintln(&out, "setting", key)
	}
	for _, key := range sortedKeys(configuration.DocumentSchema.Fields) {
		fmt.Fprintln(&out, "setup", key)
	}
	for _, key := range sortedKeys(configuration.DocumentSchema.Fields["queues"].Elem.Fields) {
		fmt.Fprintln(&out, "queue", key)
	}
	compareFixture(t, "names.txt", out.Bytes())
}
