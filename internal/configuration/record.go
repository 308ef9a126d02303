package configuration

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"slices"
	"sync"

	"otterchute/internal/codec"
	"otterchute/internal/register"
	"otterchute/internal/schema"
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

// RegisterName is the name of the register that holds the newest Record. It is stored on disk and
// sent on the wire.
const RegisterName = "setup"

// MaxPastVersions is how many accepted versions are listed for operators.
const MaxPastVersions = 50

// Record is the value of the register: the newest version and its history. The zero Record is that
// of a cluster without a configuration.
type Record struct {
	Version         int64
	Document        []byte // compressed by Deflate
	PastVersions    []VersionInfo
	EmptiedZones    []string // zones emptied by an operator's command, separately from the document; sorted
	AcceptedChanges History
	// Retired holds the queues that changes have removed, as packRetired encodes them. It is the last field, and the
	// encoding omits it if it is empty, so that records from before queues were retired can be decoded.
	Retired []byte
}

// noRetired is the encoding of an empty Record.Retired, which records omit.
var noRetired = codec.Append(nil, struct{ Retired []byte }{})

// Encode returns the value of the register for a record.
//
// Example: value := record.Encode()
func (r *Record) Encode() []byte {
	value := codec.Append(nil, r)
	if len(r.Retired) == 0 {
		return value[:len(value)-len(noRetired)]
	}
	return value
}

// DecodeRecord decodes the value of the register. No value is the zero Record.
//
// Example: record, err := configuration.DecodeRecord(value)
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	if codec.Unmarshal(value, &r) == nil {
		return r, nil
	}
	r = Record{}
	err := codec.Unmarshal(append(slices.Clone(value), noRetired...), &r)
	return r, err
}

// VersionInfo is the summary of an accepted version, for operators.
type VersionInfo struct {
	Version int64
	Digest  uint64 // the first 8 bytes of the document's SHA-256
	Queues  int64
	Bytes   int64
	AtMs    int64 // wall-clock time
}

// Next returns the record after a change with this document was accepted at the given wall-clock
// time. The two configurations are those of the record and of the document, from which it follows which
// queues the change retires.
func (r *Record) Next(change ChangeID, doc []byte, atMs int64, current, next *Configuration) Record {
	info := VersionInfo{
		Version: change.Version,
		Digest:  binary.BigEndian.Uint64(change.Digest[:]),
		Queues:  gjson.GetBytes(doc, "queues.#").Int(),
		Bytes:   int64(len(doc)),
		AtMs:    atMs,
	}
	past := append(slices.Clone(r.PastVersions), info)
	if len(past) > MaxPastVersions {
		past = past[len(past)-MaxPastVersions:]
	}
	return Record{
		Version:         change.Version,
		Document:        Deflate(doc),
		PastVersions:    past,
		EmptiedZones:    r.EmptiedZones,
		AcceptedChanges: r.AcceptedChanges.With(change),
		Retired:         packRetired(retire(unpackRetired(r.Retired), current, next)),
	}
}

// Complete returns the configuration of the record's document with what the record holds beside it: the zones emptied
// separately and the retired queues.
func (r *Record) Complete(document *Configuration) *Configuration {
	next := document.WithEmptiedZones(r.EmptiedZones)
	next.retired = map[string]*Queue{}
	for _, q := range unpackRetired(r.Retired) {
		next.retired[q.AddressKey] = q.queue()
	}
	return next
}

// Previous returns the version accepted before this one; 0 for none.
func (r *Record) Previous() int64 {
	if len(r.PastVersions) < 2 {
		return 0
	}
	return r.PastVersions[len(r.PastVersions)-2].Version
}

// Compile compiles the record's document alone, see Complete.
func (r *Record) Compile() (*Configuration, []schema.Fault) {
	doc, ok := Inflate(r.Document)
	if !ok {
		return nil, []schema.Fault{{Path: "", Reason: "is damaged"}}
	}
	return Compile(r.Version, doc)
}

// SameDocument reports whether two records hold the same document and version.
func (r *Record) SameDocument(other *Record) bool {
	return r.Version == other.Version && bytes.Equal(r.Document, other.Document)
}

// Deflate compresses a document for the wire and the disk: the entries of queues are very similar,
// and machines with slow links receive each version too.
//
// Example: packed := configuration.Deflate([]byte(`{"queues":[]}`))
func Deflate(doc []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	_, _ = w.Write(doc) // writing to a buffer can't fail
	_ = w.Close()
	return out.Bytes()
}

// Inflate reverses Deflate; false if the data is damaged or larger than any document may be.
//
// Example: doc, ok := configuration.Inflate(packed)
func Inflate(packed []byte) ([]byte, bool) {
	if len(packed) == 0 {
		return nil, true
	}
	doc, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), MaxBytes+1))
	return doc, err == nil && len(doc) <= MaxBytes
}

// Precompiler compiles the records in messages from the core, on the goroutines that read them:
// compiling thousands of queues would delay the control thread. It doesn't recompile the last
// document. The zero Precompiler is ready to use.
type Precompiler struct {
	mu       sync.Mutex
	document []byte
	last     *Configuration
}

// Compile returns the configuration in a message; nil if it contains none.
func (p *Precompiler) Compile(msg any) *Configuration {
	m, ok := msg.(*wire.RegisterValue)
	if !ok || m.Register != RegisterName {
		return nil
	}
	r, err := DecodeRecord(m.Value)
	if err != nil || r.Version == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil || p.last.Version != r.Version || !bytes.Equal(p.document, r.Document) {
		p.document = r.Document
		p.last, _ = r.Compile() // nil if it has faults, which the control thread reports
	}
	return p.last
}

// ReaderValueCache caches the register's value without the history of its changes, which only a
// change of the register needs. All daemons read each new value, so it is encoded once. The zero
// ReaderValueCache is ready to use.
type ReaderValueCache struct {
	ballot register.Ballot
	value  []byte
}

// Value returns an acceptor's value in the form sent to readers.
func (c *ReaderValueCache) Value(a *register.Acceptor) []byte {
	if c.ballot == a.Accepted && c.value != nil {
		return c.value
	}
	r, err := DecodeRecord(a.Value)
	if err != nil || len(a.Value) == 0 {
		return a.Value
	}
	r.AcceptedChanges = History{}
	c.ballot, c.value = a.Accepted, r.Encode()
	return c.value
}
