package main

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"reflect"
)

// pack appends the binary form of a struct: integers big-endian and fixed in
// width, strings and slices with a 32-bit count before them, fields in order.
//
// Example: b := pack(nil, wireHead{Kind: 3})
func pack(dst []byte, v any) []byte { return packValue(dst, reflect.ValueOf(v)) }

func packValue(dst []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Pointer:
		return packValue(dst, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			dst = packValue(dst, v.Field(i))
		}
		return dst
	case reflect.Bool:
		if v.Bool() {
			return append(dst, 1)
		}
		return append(dst, 0)
	case reflect.Int8, reflect.Uint8:
		if v.CanInt() {
			return append(dst, byte(v.Int()))
		}
		return append(dst, byte(v.Uint()))
	case reflect.Int32:
		return binary.BigEndian.AppendUint32(dst, uint32(v.Int()))
	case reflect.Int, reflect.Int64:
		return binary.BigEndian.AppendUint64(dst, uint64(v.Int()))
	case reflect.Uint64:
		return binary.BigEndian.AppendUint64(dst, v.Uint())
	case reflect.Float64:
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(v.Float()))
	case reflect.String:
		dst = binary.BigEndian.AppendUint32(dst, uint32(v.Len()))
		return append(dst, v.String()...)
	case reflect.Slice:
		dst = binary.BigEndian.AppendUint32(dst, uint32(v.Len()))
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return append(dst, v.Bytes()...)
		}
		for i := range v.Len() {
			dst = packValue(dst, v.Index(i))
		}
		return dst
	}
	panic("pack: no form for " + v.Type().String())
}

// unpack reads what pack wrote into the struct that out points to. Damaged
// bytes give errFrame, never a panic; bytes left over are damage too.
//
// Example: var h wireHead; err := unpack(b, &h)
func unpack(b []byte, out any) error {
	rest, ok := unpackValue(b, reflect.ValueOf(out).Elem())
	if !ok || len(rest) != 0 {
		return errFrame
	}
	return nil
}

func unpackValue(b []byte, v reflect.Value) ([]byte, bool) {
	fixed := func(n int) ([]byte, bool) {
		if len(b) < n {
			return nil, false
		}
		head := b[:n]
		b = b[n:]
		return head, true
	}
	count := func() (int, bool) {
		head, ok := fixed(4)
		if !ok {
			return 0, false
		}
		n := int(binary.BigEndian.Uint32(head))
		return n, n <= len(b) // every element takes a byte or more
	}
	switch v.Kind() {
	case reflect.Struct:
		ok := true
		for i := range v.NumField() {
			if b, ok = unpackValue(b, v.Field(i)); !ok {
				return nil, false
			}
		}
		return b, true
	case reflect.Bool, reflect.Uint8, reflect.Int8:
		h, ok := fixed(1)
		if !ok {
			return nil, false
		}
		if v.Kind() == reflect.Bool {
			v.SetBool(h[0] == 1)
			return b, h[0] <= 1
		}
		if v.CanInt() {
			v.SetInt(int64(int8(h[0])))
		} else {
			v.SetUint(uint64(h[0]))
		}
		return b, true
	case reflect.Int32:
		h, ok := fixed(4)
		if ok {
			v.SetInt(int64(int32(binary.BigEndian.Uint32(h))))
		}
		return b, ok
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		h, ok := fixed(8)
		if !ok {
			return nil, false
		}
		bits := binary.BigEndian.Uint64(h)
		switch {
		case v.CanInt():
			v.SetInt(int64(bits))
		case v.CanUint():
			v.SetUint(bits)
		default:
			v.SetFloat(math.Float64frombits(bits))
		}
		return b, true
	case reflect.String:
		n, ok := count()
		if !ok {
			return nil, false
		}
		h, _ := fixed(n)
		v.SetString(string(h))
		return b, true
	case reflect.Slice:
		n, ok := count()
		if !ok {
			return nil, false
		}
		if v.Type().Elem().Kind() == reflect.Uint8 {
			h, _ := fixed(n)
			if n > 0 {
				v.SetBytes(append([]byte(nil), h...))
			}
			return b, true
		}
		if n == 0 {
			return b, true
		}
		s := reflect.MakeSlice(v.Type(), 0, min(n, 1024))
		for range n {
			e := reflect.New(v.Type().Elem()).Elem()
			if b, ok = unpackValue(b, e); !ok {
				return nil, false
			}
			s = reflect.Append(s, e)
		}
		v.Set(s)
		return b, true
	}
	return nil, false
}

// wireMagic tells frames of this form from all others. Up to the third form a
// frame began with eight bytes "otterchu" and a version.
const (
	wireForm        = 6
	wireMagic int32 = 0x6f747700 | wireForm // "otw" and the number of the form
)

// wireHead stands before every message between daemons. It names the sender's
// life and the addressee, see identity.go.
type wireHead struct {
	Magic   int32
	Kind    uint8
	Cluster uint64 // 0 while the sender knows none
	From    string
	Life    uint64 // of the sender's process
	To      uint64 // the addressee: addressOf its name, its life in a response, or toAnyone
}

// seal puts a message and its head into one checksummed frame (without the
// length that the stream puts before it).
//
// Example: frame := sealFrame(head, &pollMsg{Seq: 4})
func sealFrame(h wireHead, msg any) []byte {
	h.Magic, h.Kind = wireMagic, kindOf(msg)
	b := pack(make([]byte, 4, 256), h)
	b = pack(b, msg)
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
func openFrame(b []byte) (h wireHead, msg any, err error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.ChecksumIEEE(b[4:]) {
		return h, nil, errFrame
	}
	if len(b) < 8 || int32(binary.BigEndian.Uint32(b[4:])) != wireMagic {
		return h, nil, errForeign
	}
	rest, ok := unpackValue(b[4:], reflect.ValueOf(&h).Elem())
	if !ok {
		return h, nil, errFrame
	}
	t, ok := messageTypes[h.Kind]
	if !ok {
		return h, nil, errFrame
	}
	p := reflect.New(t)
	if err := unpack(rest, p.Interface()); err != nil {
		return h, nil, err
	}
	return h, p.Interface(), nil
}
