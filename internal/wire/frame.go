// Package wire defines the protocol between daemons: the messages, the frames that
// contain them, and the transport that carries the frames.
//
// A frame is one message with a Header and a checksum, see EncodeFrame and DecodeFrame.
// A Transport sends and receives frames over TCP. It may drop any frame: the sender
// repeats what is still needed. Message types are plain structs (see cluster.go,
// state.go, scheduling.go, tenancy.go and package register); their handlers are in other
// packages.
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

// Reasons why a frame is rejected.
var (
	// ErrMalformed means that a frame is damaged.
	ErrMalformed = errors.New("frame damaged")
	// ErrForeign means that a frame is in another format: from another release, or
	// not from otterchute.
	ErrForeign = errors.New("frame in another format")
)

// messageTypes numbers the kinds of messages. The numbers are part of the wire format.
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

// Kinds returns the numbers of all kinds of messages in ascending order.
//
// Example: for _, kind := range wire.Kinds() { t, _ := wire.MessageType(kind) }
func Kinds() []uint8 { return slices.Sorted(maps.Keys(messageTypes)) }

// MessageType returns the message type of a kind, or false if the kind is unknown.
//
// Example: t, ok := wire.MessageType(2)
func MessageType(kind uint8) (reflect.Type, bool) {
	t, ok := messageTypes[kind]
	return t, ok
}

// KindOf returns the kind of a message that msg points to, or 0 for any other type.
//
// Example: kind := wire.KindOf(&wire.PollRequest{})
func KindOf(msg any) uint8 { return messageKinds[reflect.TypeOf(msg).Elem()] }

const (
	// FormatVersion rises with each change to the encoding or the meaning of frames or messages.
	// Daemons with different versions reject each other's frames.
	FormatVersion = 11
	// magic identifies frames of this format: "otw" and the format version. Up to
	// version 3 a frame began with the eight bytes "otterchu" and a version.
	magic int32 = 0x6f747700 | FormatVersion

	checksumBytes     = 4
	magicBytes        = 4
	kindOffset        = checksumBytes + magicBytes
	initialFrameBytes = 256 // initial capacity of an encoded frame
)

// Header precedes every message. It identifies the sending process and the addressee.
type Header struct {
	Magic    int32 // set by EncodeFrame
	Kind     uint8 // set by EncodeFrame
	Cluster  uint64
	From     string
	Instance uint64 // of the sender's process
	// To is the addressee: the hash of its name in a request or announcement, the
	// requester's instance in a response, or 0 for any process at the address.
	To uint64
}

// EncodeFrame encodes a header and the message that msg points to as one frame, without
// the length prefix used in a stream:
//
//	checksum u32 | header | message
//
// Example: frame := wire.EncodeFrame(header, &wire.PollRequest{Seq: 4})
func EncodeFrame(h Header, msg any) []byte {
	h.Magic, h.Kind = magic, KindOf(msg)
	b := codec.Append(make([]byte, checksumBytes, initialFrameBytes), h)
	b = codec.Append(b, msg)
	binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[checksumBytes:]))
	return b
}

// FrameKind returns the kind of the message in a frame that EncodeFrame returned.
//
// Example: kind := wire.FrameKind(frame)
func FrameKind(frame []byte) uint8 { return frame[kindOffset] }

// DecodeFrame decodes a frame made by EncodeFrame; msg is a pointer. It returns
// ErrForeign for a frame in another format and ErrMalformed for a damaged one.
//
// Example: header, msg, err := wire.DecodeFrame(frame)
func DecodeFrame(b []byte) (h Header, msg any, err error) {
	if len(b) < checksumBytes || binary.BigEndian.Uint32(b) != crc32.ChecksumIEEE(b[checksumBytes:]) {
		return h, nil, ErrMalformed
	}
	if len(b) < kindOffset || int32(binary.BigEndian.Uint32(b[checksumBytes:])) != magic {
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
