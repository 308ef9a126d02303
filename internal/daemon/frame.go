package daemon

import (
	"encoding/binary"
	"hash/crc32"
	"reflect"

	"otterchute/internal/codec"
)

// wireMagic tells frames of this form from all others. Up to the third form a
// frame began with eight bytes "otterchu" and a version.
const (
	wireForm        = 7
	wireMagic int32 = 0x6f747700 | wireForm // "otw" and the number of the form
)

// frameHeader stands before every message between daemons. It names the sender's
// life and the addressee, see identity.go.
type frameHeader struct {
	Magic    int32
	Kind     uint8
	Cluster  uint64 // 0 while the sender knows none
	From     string
	Instance uint64 // of the sender's process
	To       uint64 // the addressee: addressOf its name, its life in a response, or toAnyone
}

// seal puts a message and its head into one checksummed frame (without the
// length that the stream puts before it).
//
// Example: frame := sealFrame(head, &pollRequest{Seq: 4})
func sealFrame(h frameHeader, msg any) []byte {
	h.Magic, h.Kind = wireMagic, kindOf(msg)
	b := codec.Append(make([]byte, 4, 256), h)
	b = codec.Append(b, msg)
	binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[4:]))
	return b
}

// frameKind tells the kind of message in a sealed frame: it stands behind the
// checksum and the magic.
func frameKind(frame []byte) uint8 { return frame[8] }

// openFrame is the opposite of sealFrame. A frame of another form gives
// errForeign, a damaged one errFrame.
//
// Example: head, msg, err := openFrame(frame)
func openFrame(b []byte) (h frameHeader, msg any, err error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.ChecksumIEEE(b[4:]) {
		return h, nil, errFrame
	}
	if len(b) < 8 || int32(binary.BigEndian.Uint32(b[4:])) != wireMagic {
		return h, nil, errForeign
	}
	rest, err := codec.UnmarshalPrefix(b[4:], &h)
	if err != nil {
		return h, nil, errFrame
	}
	t, ok := messageTypes[h.Kind]
	if !ok {
		return h, nil, errFrame
	}
	p := reflect.New(t)
	if err := codec.Unmarshal(rest, p.Interface()); err != nil {
		return h, nil, errFrame
	}
	return h, p.Interface(), nil
}
