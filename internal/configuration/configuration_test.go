package configuration

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"otterchute/internal/codec"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

const nightContract = `{"name":"night","utc_offset_minutes":120,"price":0.12,"hours":[
	{"from":"22:00","to":"06:00","price":0.04},{"from":"06:00","to":"08:00","days":["mon","tue","wed","thu","fri"],"price":0.08}]}`

func batchDocument(contracts, batch string) string {
	return fmt.Sprintf(`{"contracts":[%s],"queues":[{"name":"confirm","urgency":90},{"name":"refresh","urgency":5,"batch":%s}]}`, contracts, batch)
}

func mustContract(t *testing.T, doc string) *Contract {
	t.Helper()
	c, faults := Compile(1, []byte(`{"contracts":[`+doc+`],"queues":[]}`))
	must.SliceEmpty(t, faults)
	for _, k := range c.Contracts {
		return k
	}
	return nil
}

func TestContractFaults(t *testing.T) {
	good := `{"contract":"night","finish_by_hours":20,"share_percent":30}`
	c, faults := Compile(1, []byte(batchDocument(nightContract, good)))
	must.SliceEmpty(t, faults)
	must.Eq(t, int64(20*msPerHour), c.Queues["refresh"].Batch.FinishByMs)
	must.Eq(t, "night", c.Queues["refresh"].Batch.Contract.Name)
	must.Less(t, c.Urgency("gone"), c.Urgency("refresh")) // below even a queue that is not configured any more
	must.Eq(t, int64(90), c.LowestUrgency)
	must.Nil(t, c.Queues["confirm"].Batch)
	with := func(hours string) string {
		return `{"name":"night","utc_offset_minutes":0,"price":1,"hours":[` + hours + `]}`
	}
	for _, x := range []struct{ contracts, batch, path, reason string }{
		{nightContract, `{"contract":"day","finish_by_hours":20,"share_percent":30}`, "queues.1.batch.contract", "is not among"},
		{nightContract, `{"contract":"night","share_percent":30}`, "queues.1.batch.finish_by_hours", "is missing"},
		{nightContract, `{"contract":"night","finish_by_hours":0,"share_percent":30}`, "queues.1.batch.finish_by_hours", "must be a minute"},
		{nightContract, `{"contract":"night","finish_by_hours":721,"share_percent":30}`, "queues.1.batch.finish_by_hours", "must be a minute"},
		{nightContract, `{"contract":"night","finish_by_hours":-1,"share_percent":30}`, "queues.1.batch.finish_by_hours", "0 or more"},
		{nightContract, `{"contract":"night","finish_by_hours":20}`, "queues.1.batch.share_percent", "is missing"},
		{nightContract, `{"contract":"night","finish_by_hours":20,"share_percent":101}`, "queues.1.batch.share_percent", "1 to 100"},
		{nightContract, `{"contract":"night","finish_by_hours":20,"share_percent":3,"share":1}`, "queues.1.batch.share", "not a known field"},
		{nightContract + "," + nightContract, good, "contracts.1.name", "stands twice"},
		{`{"name":"night","price":1}`, good, "contracts.0.utc_offset_minutes", "is missing"},
		{`{"name":"night","utc_offset_minutes":1440,"price":1}`, good, "contracts.0.utc_offset_minutes", "must be -1439 to 1439"},
		{`{"name":"night","utc_offset_minutes":0}`, good, "contracts.0.price", "is missing"},
		{with(`{"from":"22:00","to":"06:00","price":-1}`), good, "contracts.0.hours.0.price", "0 or more"},
		{with(`{"from":"25:00","to":"06:00","price":1}`), good, "contracts.0.hours.0.from", "time of day"},
		{with(`{"from":"24:00","to":"06:00","price":1}`), good, "contracts.0.hours.0.from", "time of day"},
		{with(`{"from":"22:00","to":"6:000","price":1}`), good, "contracts.0.hours.0.to", "time of day"},
		{with(`{"from":"22:00","to":"22:00","price":1}`), good, "contracts.0.hours.0.to", "same as from"},
		{with(`{"from":"22:00","to":"06:00","days":["mon","moon"],"price":1}`), good, "contracts.0.hours.0.days.1", "bytes"},
		{with(`{"from":"22:00","to":"06:00","days":["mon","mon"],"price":1}`), good, "contracts.0.hours.0.days.1", "once"},
		{with(`{"from":"22:00","to":"06:00","price":1},{"from":"05:00","to":"07:00","price":2}`), good, "contracts.0.hours.1", "overlap hours.0"},
		{with(`{"from":"00:00","to":"01:00","days":["mon"],"price":1},{"from":"23:00","to":"00:30","days":["sun"],"price":2}`), good, "contracts.0.hours.1", "overlap hours.0"},
	} {
		_, faults := Compile(1, []byte(batchDocument(x.contracts, x.batch)))
		must.Positive(t, len(faults), must.Sprint(x))
		must.Eq(t, x.path, faults[0].Path, must.Sprint(faults))
		must.StrContains(t, faults[0].Reason, x.reason, must.Sprint(x.path))
	}
	_, faults = Compile(1, []byte(batchDocument(with(`{"from":"00:00","to":"24:00","days":["mon"],"price":1},{"from":"00:00","to":"01:00","days":["tue"],"price":2}`), good)))
	must.SliceEmpty(t, faults) // adjacent spans don't overlap
}

// monday is Monday 4 January 2027, 00:00 UTC, in ms.
const monday = int64(1_799_020_800_000)

func TestPriceWindows(t *testing.T) {
	at := func(day, hour int64) int64 { return monday + (day*24+hour-2)*msPerHour } // on the contract's clock
	c := mustContract(t, nightContract)
	must.Eq(t, 0.04, c.Cheapest)
	must.Eq(t, "Mon 2027-01-04 22:00 +02:00", time.UnixMilli(at(0, 22)).In(c.Location()).Format("Mon 2006-01-02 15:04 -07:00"))
	must.Eq(t, []PriceWindow{{at(0, 8), at(0, 22), 0.12}, {at(0, 22), at(1, 6), 0.04}, {at(1, 6), at(1, 8), 0.08}}, c.PriceWindows(at(0, 12), at(1, 7)))
	// past the end of the week, where Sunday's night continues into Monday morning
	must.Eq(t, []PriceWindow{{at(6, 22), at(7, 6), 0.04}, {at(7, 6), at(7, 8), 0.08}}, c.PriceWindows(at(6, 23), at(7, 7)))
	must.Eq(t, []PriceWindow{{at(6, 22), at(7, 6), 0.04}}, c.PriceWindows(at(7, 3), at(7, 3)))
	must.Eq(t, []PriceWindow{{at(5, 6), at(5, 22), 0.12}}, c.PriceWindows(at(5, 7), at(5, 9))) // the early hours don't apply on a Saturday
	flat := mustContract(t, `{"name":"flat","utc_offset_minutes":-300,"price":3}`)
	must.Len(t, 1, flat.PriceWindows(at(0, 0), at(30, 0)))
	must.LessEq(t, 6*3*(MaxFinishHours/24+14), len(c.PriceWindows(at(0, 8), at(7000, 8))))
}

func TestExplainContracts(t *testing.T) {
	c, faults := Compile(1, []byte(batchDocument(`{"name":"night","utc_offset_minutes":-210,"price":0.12,"hours":[{"from":"22:00","to":"06:00","days":["sat"],"price":0.04}]}`,
		`{"contract":"night","finish_by_hours":20.5,"share_percent":30}`)))
	must.SliceEmpty(t, faults)
	must.Eq(t, []string{"contract night, clock UTC-03:30 all year:", "  mon 00:00 to sat 22:00: 0.12 a core hour", "  sat 22:00 to sun 06:00: 0.04 a core hour, the cheapest",
		"  sun 06:00 to mon 00:00: 0.12 a core hour", "queue refresh: batches by contract night, complete within 20.5 hours, at most 30 percent of each worker"}, c.ExplainContracts())
}

func TestResolve(t *testing.T) {
	doc := `{"queues":[{"name":"a","addresses":[{"host":"One.example","prefix":"/x/"},{"host":"two.example","prefix":"/"}]},
		{"name":"b","addresses":[{"host":"one.example","prefix":"/x/y/"}],"latency_ms":1500,"stretch":2.5},{"name":"c","addresses":[{"host":"one.example","prefix":"/x/yz"}]}],"source":{"any":[1]}}`
	c, faults := Compile(1, []byte(doc))
	must.SliceEmpty(t, faults)
	must.Eq(t, int64(1500), c.Queues["b"].LatencyMs)
	must.Eq(t, 2.5, c.Queues["b"].Stretch)
	for _, x := range []struct{ host, path, queue, rest string }{
		{"one.example", "/x/1", "a", "1"}, {"ONE.example", "/x/y/2", "b", "2"}, {"one.example:8080", "/x/y", "a", "y"}, {"one.example", "/x/", "a", ""},
		{"one.example", "/x/yz/3", "c", "3"}, {"one.example", "/x", "", ""}, {"two.example", "/x/y/4", "a", "x/y/4"}, {"three.example", "/x/1", "", ""}, {"one.example", "", "", ""},
	} {
		key, rest, ok := c.Resolve(x.host, x.path)
		must.Eq(t, x.queue != "", ok, must.Sprint(x))
		must.Eq(t, ok, IsAddressKey(key), must.Sprint(x))
		must.Eq(t, x.queue, c.QueueName(key), must.Sprint(x))
		must.Eq(t, x.rest, rest, must.Sprint(x))
	}
	_, faults = Compile(1, []byte(`{"queues":[{"name":"a","addresses":[{"host":"h","prefix":"/a"}]},{"name":"b","addresses":[{"host":"g","prefix":"/a"},{"host":"H","prefix":"/a"}]}]}`))
	must.Eq(t, []schema.Fault{{Path: "queues.1.addresses.1", Reason: "stands twice"}}, faults)
}

// Guards against work that goes to another queue once queues are renamed, swap their names or reuse one: an
// address key names the queue that has the address in each version.
func TestAddressKeysFollowTheAddress(t *testing.T) {
	compile := func(doc string) *Configuration {
		c, faults := Compile(1, []byte(doc))
		must.SliceEmpty(t, faults)
		return c
	}
	queue := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"addresses":[{"host":"H","prefix":%q}]}`, name, prefix)
	}
	for _, x := range []struct{ setup, ofA, ofB string }{
		{queue("a", "/a/") + "," + queue("b", "/b/"), "a", "b"},
		{queue("b", "/a/") + "," + queue("a", "/b/"), "b", "a"},
		{queue("c", "/a/") + "," + queue("a", "/d/"), "c", "//h/b/"},
		{queue("a", "/c/"), "//h/a/", "//h/b/"},
		{queue("a", "/a") + "," + queue("b", "/"), "a", "//h/b/"},
		{queue("c", "/a") + "," + queue("a", "/a/"), "a", "//h/b/"},
	} {
		c := compile(`{"queues":[` + x.setup + `]}`)
		must.Eq(t, x.ofA, c.QueueName("//h/a/"), must.Sprint(x))
		must.Eq(t, x.ofB, c.QueueName("//h/b/"), must.Sprint(x))
		must.Eq(t, c.Queue("//h/a/") == nil, IsAddressKey(x.ofA))
		must.False(t, c.SameQueue("//h/a/", "//h/b/"))
		must.True(t, c.SameQueue("//h/b/", "//h/b/"))
	}
	c := compile(`{"queues":[` + queue("a", "/a") + `]}`)
	must.Eq(t, "a", c.QueueName("//h/a/"))
	must.True(t, c.SameQueue("a", "//h/a"))
	must.Nil(t, c.Queue("//h"))
	must.Eq(t, int64(-1), c.Urgency("//h/b/"))
}

// Compiles thousands of queues, as in the largest documents in use.
func TestThousandsOfQueuesCompile(t *testing.T) {
	var b strings.Builder
	b.WriteString(`{"queues":[`)
	for i := range 8000 {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"q%d","urgency":%d,"latency_ms":2000,"stretch":2.2,"selector":{"service":["s%d"]},"addresses":[{"host":"h%d.example","prefix":"/p%d/"}]}`, i, i%3, i%40, i%200, i)
	}
	b.WriteString(`]}`)
	start := time.Now()
	c, faults := Compile(1, []byte(b.String()))
	t.Logf("%d bytes, %d queues in %v", b.Len(), len(c.Queues), time.Since(start))
	must.SliceEmpty(t, faults)
	key, rest, _ := c.Resolve("h17.example", "/p7817/abc")
	must.Eq(t, "//h17.example/p7817/", key)
	must.Eq(t, "q7817", c.QueueName(key))
	must.Eq(t, "abc", rest)
}

// All faults of a document are listed, not only the first.
func TestFaults(t *testing.T) {
	_, faults := Compile(1, []byte(`{"queues":[{"name":"a","urgency":-1},{"urgency":"x","selector":{"t":[]}}],"empty":1}`))
	paths := map[string]bool{}
	for _, f := range faults {
		paths[f.Path] = true
	}
	for _, p := range []string{"queues.0.urgency", "queues.1.urgency", "queues.1.selector.t", "queues.1.name", "empty"} {
		must.MapContainsKey(t, paths, p)
	}
	_, faults = Compile(1, []byte(`{"queues":[{"name":"a"},{"name":"a"}]}`))
	must.Eq(t, []schema.Fault{{Path: "queues.1.name", Reason: "stands twice"}}, faults)
}

func TestHistory(t *testing.T) {
	var h History
	id := func(version, base int64) ChangeID {
		return ChangeID{Version: version, Base: base, Digest: sha256.Sum256(fmt.Append(nil, version))}
	}
	last := int64(0)
	var all []ChangeID
	for i := range int64(MaxHistory + 10) {
		next := last + 1 + i%5
		all = append(all, id(next, last))
		h = h.With(all[i])
		last = next
	}
	must.Eq(t, int64(MaxHistory), h.Count)
	for i, o := range all {
		must.Eq(t, i >= 10, h.Contains(o), must.Sprint(i))
		must.Eq(t, i >= 10, h.Covers(o), must.Sprint(i))
		changed := o
		changed.Digest[31] ^= 1
		must.False(t, h.Contains(changed))
		changed = o
		changed.Base--
		must.False(t, h.Contains(changed))
	}
	must.LessEq(t, 33*MaxHistory, len(h.Packed))
	must.True(t, h.each(func(ChangeID) bool { return true }))
	h.Packed = h.Packed[:len(h.Packed)-1]
	must.False(t, h.each(func(ChangeID) bool { return true }))
}

func TestParse(t *testing.T) {
	c, faults := Parse("3", []byte(`{"queues":[]}`))
	must.SliceEmpty(t, faults)
	must.Eq(t, int64(3), c.Version)
	must.Eq(t, sha256.Sum256([]byte(`{"queues":[]}`)), c.Digest())
	for _, version := range []string{"", "0", "-1", "x", "1125899906842625"} {
		_, faults := Parse(version, []byte(`{"queues":[]}`))
		must.Eq(t, []schema.Fault{{Path: "version", Reason: "must be a whole number of 1 or more"}}, faults)
	}
}

func TestMatches(t *testing.T) {
	q := Queue{Selector: []LabelRequirement{{"site", []string{"east", "mid"}}, {"tier", []string{"fast"}}}}
	for _, c := range []struct {
		labels  []wire.Label
		zone    string
		matches bool
	}{
		{[]wire.Label{{Key: "tier", Value: "fast"}}, "east", true},
		{[]wire.Label{{Key: "tier", Value: "fast"}}, "west", false},
		{[]wire.Label{{Key: "tier", Value: "bulk"}}, "east", false},
		{nil, "east", false},
	} {
		must.Eq(t, c.matches, q.Matches(c.labels, c.zone), must.Sprint(c))
	}
	missing, lacks := MissingLabel([]wire.Label{{Key: "disk", Value: "ssd"}}, []wire.Label{{Key: "disk", Value: "ssd"}, {Key: "tier", Value: "fast"}})
	must.True(t, lacks)
	must.Eq(t, "tier", missing.Key)
}

// Zones emptied separately are added to those of the document, and can be removed again.
func TestWithEmptiedZones(t *testing.T) {
	c, faults := Compile(1, []byte(`{"queues":[],"empty_sites":["east"]}`))
	must.SliceEmpty(t, faults)
	must.Eq(t, map[string]bool{"east": true, "mid": true}, c.WithEmptiedZones([]string{"mid"}).EmptyZones)
	must.Eq(t, map[string]bool{"east": true}, c.WithEmptiedZones([]string{"mid"}).WithEmptiedZones(nil).EmptyZones)
}

// A record keeps what the next version needs, and lists the last versions.
func TestRecord(t *testing.T) {
	var r Record
	doc := []byte(`{"queues":[{"name":"a"}]}`)
	for version := int64(1); version <= MaxPastVersions+5; version++ {
		change := ChangeID{Version: version, Base: version - 1, Digest: sha256.Sum256(doc)}
		r = r.Next(change, doc, version*1000, Empty(), Empty())
		must.True(t, r.AcceptedChanges.Contains(change))
	}
	must.Len(t, MaxPastVersions, r.PastVersions)
	must.Eq(t, VersionInfo{Version: MaxPastVersions + 5, Digest: r.PastVersions[0].Digest, Queues: 1, Bytes: int64(len(doc)), AtMs: (MaxPastVersions + 5) * 1000}, r.PastVersions[MaxPastVersions-1])
	c, faults := r.Compile()
	must.SliceEmpty(t, faults)
	must.MapContainsKey(t, c.Queues, "a")
	must.True(t, r.SameDocument(&Record{Version: r.Version, Document: r.Document}))

	var p Precompiler
	message := &wire.RegisterValue{Register: RegisterName, Value: codec.Append(nil, r)}
	first := p.Compile(message)
	must.Eq(t, r.Version, first.Version)
	must.True(t, first == p.Compile(message)) // not compiled again
	must.Nil(t, p.Compile(&wire.RegisterValue{Register: "core"}))
	must.Nil(t, p.Compile(&wire.Gossip{}))
}

func TestInflate(t *testing.T) {
	doc, ok := Inflate(Deflate([]byte("document")))
	must.True(t, ok)
	must.Eq(t, "document", string(doc))
	_, ok = Inflate([]byte("not deflated"))
	must.False(t, ok)
	doc, ok = Inflate(nil)
	must.True(t, ok)
	must.SliceEmpty(t, doc)
}

func FuzzCompile(f *testing.F) {
	f.Add([]byte(`{"queues":[{"name":"a","selector":{"tier":["fast"]},"urgency":3}],"empty_sites":["x"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, faults := Compile(1, b)
		must.Eq(t, c == nil, len(faults) > 0)
	})
}
