package configuration

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	"otterchute/internal/codec"

	"github.com/shoenig/test/must"
)

// history is a record that changes are made to, with its configuration as daemons have it.
type history struct {
	record  Record
	current *Configuration
}

func (h *history) declare(t *testing.T, queues string) {
	t.Helper()
	doc := []byte(`{"queues":[` + queues + `]}`)
	version := h.record.Version + 1
	next, faults := Compile(version, doc)
	must.SliceEmpty(t, faults)
	h.record = h.record.Next(ChangeID{Version: version, Base: version - 1, Digest: sha256.Sum256(doc)}, doc, 0, h.current, next)
	decoded, err := DecodeRecord(h.record.Encode())
	must.NoError(t, err)
	must.Eq(t, h.record, decoded)
	h.current = decoded.Complete(next)
}

func queueAt(name, prefix, service string) string {
	return fmt.Sprintf(`{"name":%q,"urgency":7,"selector":{"service":[%q]},"addresses":[{"host":"h","prefix":%q}]}`, name, service, prefix)
}

// Guards against accepted jobs that never run once a change has removed their queue: their address keeps the rules of
// the queue that it had last, for jobs only, until a queue is declared there again.
func TestRemovedQueueIsRetired(t *testing.T) {
	h := &history{current: Empty()}
	h.declare(t, queueAt("a", "/a/", "s")+","+queueAt("b", "/b/", "s"))
	must.SliceEmpty(t, h.record.Retired)
	for range 2 { // it stays retired over later versions
		h.declare(t, queueAt("b", "/b/", "s"))
		must.Nil(t, h.current.DeclaredQueue("//h/a/"))
		retired := h.current.Queue("//h/a/")
		must.NotNil(t, retired)
		must.Eq(t, "a", retired.Name)
		must.Eq(t, 7, h.current.Urgency("//h/a/"))
		must.Eq(t, []LabelRequirement{{"service", []string{"s"}}}, retired.Selector)
		must.Eq(t, defaultQuota, retired.Quota)
		_, _, ok := h.current.Resolve("h", "/a/1")
		must.False(t, ok)
		must.Eq(t, retired, h.current.WithEmptiedZones([]string{"east"}).Queue("//h/a/"))
	}
	h.declare(t, queueAt("c", "/a", "other")+","+queueAt("b", "/b/", "s"))
	must.Eq(t, "c", h.current.QueueName("//h/a/"))
	must.SliceEmpty(t, h.record.Retired)
}

// The list of retired queues is bounded, and keeps the newest.
func TestRetiredQueuesAreBounded(t *testing.T) {
	h := &history{current: Empty()}
	for i := range MaxRetired + 5 {
		h.declare(t, queueAt("q", fmt.Sprintf("/%03d/", i), "s"))
	}
	must.Len(t, MaxRetired, unpackRetired(h.record.Retired))
	must.Nil(t, h.current.Queue("//h/003/"))
	must.NotNil(t, h.current.Queue("//h/004/"))
}

// Jobs of a removed batch queue wait: they must not run beside other work without its rules.
func TestRemovedBatchQueueIsNotRetired(t *testing.T) {
	batch := Configuration{queuesByAddress: map[string]*Queue{"//h/a/": {Name: "a", Batch: &BatchRules{}}}}
	must.SliceEmpty(t, retire(nil, &batch, Empty()))
}

// Records from before queues were retired keep their bytes, and damaged ones are refused.
func TestRecordWithoutRetiredQueues(t *testing.T) {
	type formerRecord struct {
		Version         int64
		Document        []byte
		PastVersions    []VersionInfo
		EmptiedZones    []string
		AcceptedChanges History
	}
	former := codec.Append(nil, formerRecord{Version: 3, Document: []byte("doc"), EmptiedZones: []string{"east"}})
	record, err := DecodeRecord(former)
	must.NoError(t, err)
	must.Eq(t, int64(3), record.Version)
	must.Eq(t, former, record.Encode())
	_, err = DecodeRecord(slices.Clone(former[:len(former)-1]))
	must.Error(t, err)
	record, err = DecodeRecord(nil)
	must.NoError(t, err)
	must.Eq(t, Record{}, record)
}
