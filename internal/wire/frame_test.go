package wire

import (
	"encoding/binary"
	"hash/crc32"
	"slices"
	"testing"

	"otterchute/internal/codec"
	"otterchute/internal/statestore"

	"github.com/shoenig/test/must"
)

// A frame of another version, or damaged, is rejected.
func TestFrameRejected(t *testing.T) {
	good := EncodeFrame(Header{From: "d01", Cluster: 9}, &CopyRequest{Op: 3})
	h, m, err := DecodeFrame(good)
	must.NoError(t, err)
	must.Eq(t, "d01", h.From)
	must.Eq(t, uint64(3), m.(*CopyRequest).Op)
	must.Eq(t, KindOf(&CopyRequest{}), FrameKind(good))
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 1
		_, _, err := DecodeFrame(bad)
		must.ErrorIs(t, err, ErrMalformed)
	}
	foreign := slices.Clone(good)
	binary.BigEndian.PutUint32(foreign[4:], 0x6f747701)
	binary.BigEndian.PutUint32(foreign, crc32.ChecksumIEEE(foreign[4:]))
	_, _, err = DecodeFrame(foreign)
	must.ErrorIs(t, err, ErrForeign)
}

// The header stays small: each daemon has 3 KB/s for what it says to others.
func TestHeaderIsSmall(t *testing.T) {
	frame := EncodeFrame(Header{From: "edge-fukuoka-a-1", Cluster: 1, Instance: 2, To: 3}, &FormRequest{})
	must.Eq(t, 37+len("edge-fukuoka-a-1"), len(frame)-len(codec.Append(nil, FormRequest{})))
}

func TestKinds(t *testing.T) {
	must.Len(t, len(messageTypes), Kinds())
	for _, kind := range Kinds() {
		typ, ok := MessageType(kind)
		must.True(t, ok)
		must.Eq(t, kind, messageKinds[typ])
	}
	_, ok := MessageType(0)
	must.False(t, ok)
}

func TestAttemptKey(t *testing.T) {
	key := AttemptKey{"job-1", 4, 2}
	must.Eq(t, "job-1#4#2", key.String())
	got, ok := ParseAttemptKey(key.String())
	must.True(t, ok)
	must.Eq(t, key, got)
	for _, bad := range []string{"", "job-1", "job-1#x#2", "job-1#4#x", "job-1#-4#2", "a#1#2#3"} {
		_, ok := ParseAttemptKey(bad)
		must.False(t, ok, must.Sprint(bad))
	}
	must.Negative(t, CompareAttemptKeys(key, AttemptKey{"job-1", 4, 3}))
	must.Positive(t, CompareAttemptKeys(AttemptKey{"k", 0, 0}, key))
}

// Every value of an enumeration has a name.
func TestNames(t *testing.T) {
	for s := AttemptQueued; s <= AttemptEnded; s++ {
		must.MapContainsKey(t, attemptStateNames, s)
	}
	for r := ResultOK; r <= ResultGangBroken; r++ {
		must.MapContainsKey(t, attemptResultNames, r)
	}
	for d := DecisionKeep; d <= DecisionRecall; d++ {
		must.MapContainsKey(t, decisionNames, d)
	}
	must.Eq(t, "queueable", ClassQueueable.String())
	must.Eq(t, "unknown 9", Decision(9).String())
}

func FuzzFrame(f *testing.F) {
	for _, m := range []any{&PollRequest{Leases: []LeaseRequest{{Name: "a"}}}, &Gossip{Peers: []Peer{{Name: "x"}}},
		&AgentReport{Attempts: []AttemptStatus{{}}}, &WriteRequest{Records: []statestore.Record{{ID: "j"}}}} {
		f.Add(EncodeFrame(Header{From: "d01"}, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) >= 4 { // past the checksum, into the forms behind it
			b = slices.Clone(b)
			binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[4:]))
		}
		if h, m, err := DecodeFrame(b); err == nil {
			must.Eq(t, b, EncodeFrame(h, m))
		}
	})
}
