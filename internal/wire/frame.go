// Package wire is what daemons say to each other: the messages, the frames they
// travel in, and the connections that carry frames.
//
// A frame is one message with a Header, checksummed: EncodeFrame and DecodeFrame.
// A Transport sends frames over TCP and hands on those that come; it may drop any
// of them, since all that matters is sent again by whoever needs it. Message types
// are plain records (see cluster.go, state.go, scheduling.go and package register);
// what they mean is decided by who handles them.
package wire

import (
	"encoding/binary"
	"hash/crc32"
	"maps"
	"reflect"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/register"

	"github.com/go-faster/errors"
)

// Causes of a frame that is refused.
var (
	// ErrMalformed tells that a frame is damaged.
	ErrMalformed = errors.New("frame damaged")
	// ErrForeign tells that a frame is of another form: of another release, or
	// not otterchute's.
	ErrForeign = errors.New("frame of another cluster or version")
)

// messageTypes numbers the kinds of messages. The numbers are part of the form.
var messageTypes = map[uint8]reflect.Type{
	1:  reflect.TypeFor[Gossip](),
	2:  reflect.TypeFor[PollRequest](),
	3:  reflect.TypeFor[PollResponse](),
	4:  reflect.TypeFor[register.Prepare](),
	5:  reflect.TypeFor[register.Promise](),
	6:  reflect.TypeFor[register.Accept](),
	7:  reflect.TypeFor[register.Accepted](),
	8:  reflect.TypeFor[SealRequest](),
	9:  reflect.TypeFor[SealResponse](),
	10: reflect.TypeFor[WriteRequest](),
	11: reflect.TypeFor[WriteResponse](),
	12: reflect.TypeFor[FetchRequest](),
	13: reflect.TypeFor[FetchResponse](),
	14: reflect.TypeFor[Forward](),
	15: reflect.TypeFor[ForwardReply](),
	16: reflect.TypeFor[Placement](),
	17: reflect.TypeFor[AgentReport](),
	18: reflect.TypeFor[OwnerReply](),
	19: reflect.TypeFor[AllocationRequest](),
	20: reflect.TypeFor[Allocation](),
	21: reflect.TypeFor[Ranks](),
	22: reflect.TypeFor[Promotion](),
	23: reflect.TypeFor[FormRequest](),
	24: reflect.TypeFor[FormResponse](),
	25: reflect.TypeFor[CopyRequest](),
	26: reflect.TypeFor[CopyResponse](),
	27: reflect.TypeFor[RegisterRead](),
	28: reflect.TypeFor[RegisterValue](),
	29: reflect.TypeFor[Estimates](),
	30: reflect.TypeFor[Digest](),
	31: reflect.TypeFor[DigestReply](),
	32: reflect.TypeFor[QueueCounts](),
	33: reflect.TypeFor[ShareReport](),
	34: reflect.TypeFor[ShareGrant](),
}

var messageKinds = func() map[reflect.Type]uint8 {
	kinds := map[reflect.Type]uint8{}
	for kind, t := range messageTypes {
		kinds[t] = kind
	}
	return kinds
}()

// Kinds returns the numbers of all kinds of messages, in order.
//
// Example: for _, kind := range wire.Kinds() { t, _ := wire.MessageType(kind) }
func Kinds() []uint8 { return slices.Sorted(maps.Keys(messageTypes)) }

// MessageType returns the type of the messages of a kind; false for a number that
// is no kind.
//
// Example: t, ok := wire.MessageType(2)
func MessageType(kind uint8) (reflect.Type, bool) {
	t, ok := messageTypes[kind]
	return t, ok
}

// KindOf returns the kind of a message, given as a pointer; 0 for what is none.
//
// Example: kind := wire.KindOf(&wire.PollRequest{})
func KindOf(msg any) uint8 { return messageKinds[reflect.TypeOf(msg).Elem()] }

const (
	// FormatVersion rises with each change of how frames or messages are encoded.
	// Daemons of two forms don't hear each other.
	FormatVersion = 10
	// magic tells frames of this form from all others: "otw" and the form. Up to
	// the third form a frame began with eight bytes "otterchu" and a version.
	magic int32 = 0x6f747700 | FormatVersion

	checksumBytes = 4
	magicBytes    = 4
	kindAt        = checksumBytes + magicBytes
	usualBytes    = 256 // of a frame: what is taken for one at first
)

// Header stands before every message. It names the sender's process and the
// addressee, see Header.To.
type Header struct {
	Magic    int32 // set by EncodeFrame
	Kind     uint8 // set by EncodeFrame
	Cluster  uint64
	From     string
	Instance uint64 // of the sender's process
	// To is the addressee: a hash of its name in a request or announcement, the
	// instance that asked in a response, or 0 for whoever listens there.
	To uint64
}

// EncodeFrame puts a message, given as a pointer, and its header into one frame,
// without the length that a stream puts before it:
//
//	checksum u32 | header | message
//
// Example: frame := wire.EncodeFrame(header, &wire.PollRequest{Seq: 4})
func EncodeFrame(h Header, msg any) []byte {
	h.Magic, h.Kind = magic, KindOf(msg)
	b := codec.Append(make([]byte, checksumBytes, usualBytes), h)
	b = codec.Append(b, msg)
	binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[checksumBytes:]))
	return b
}

// FrameKind is the kind of message in a frame that EncodeFrame made.
//
// Example: kind := wire.FrameKind(frame)
func FrameKind(frame []byte) uint8 { return frame[kindAt] }

// DecodeFrame is the opposite of EncodeFrame; msg is a pointer. A frame of another
// form gives ErrForeign, a damaged one ErrMalformed.
//
// Example: header, msg, err := wire.DecodeFrame(frame)
func DecodeFrame(b []byte) (h Header, msg any, err error) {
	if len(b) < checksumBytes || binary.BigEndian.Uint32(b) != crc32.ChecksumIEEE(b[checksumBytes:]) {
		return h, nil, ErrMalformed
	}
	if len(b) < kindAt || int32(binary.BigEndian.Uint32(b[checksumBytes:])) != magic {
		return h, nil, ErrForeign
	}
	rest, err := codec.UnmarshalPrefix(b[checksumBytes:], &h)
	if err != nil {
		return h, nil, ErrMalformed
	}
	t, known := MessageType(h.Kind)
	if !known {
		return h, nil, ErrMalformed
	}
	p := reflect.New(t)
	if err := codec.Unmarshal(rest, p.Interface()); err != nil {
		return h, nil, ErrMalformed
	}
	return h, p.Interface(), nil
}
