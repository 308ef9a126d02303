// Package codec implements the binary encoding of messages between daemons and of entries
// on disk: fixed-width big-endian integers, floats as their IEEE 754 bits, strings and
// slices prefixed with a 32-bit count, and the fields of a struct in order. Names are not
// encoded, so fields and types may be renamed; their order and kinds define the format.
//
// Encode a value with Append and decode it with Unmarshal. The encoding contains neither
// its length nor a checksum: packages wire and storage add them.
package codec

import (
	"encoding/binary"
	"math"
	"reflect"

	"github.com/go-faster/errors"
)

// ErrMalformed means that data is not an encoding of the requested type: it is truncated
// or too long, or a boolean is neither 0 nor 1.
var ErrMalformed = errors.New("malformed binary value")

const (
	countBytes = 4 // the count of a string or slice
	wordBytes  = 8 // an int, int64, uint64 or float64
	// maxInitialElements bounds the elements that are allocated in advance, so that a malformed
	// count alone allocates little memory.
	maxInitialElements = 1 << 10
)

// Append appends the encoding of a struct, or of the value that a pointer points to, to
// dst and returns the result. It panics on a kind that has no encoding (maps, functions,
// interfaces), which is a programming error.
//
// Example: b := codec.Append(nil, Ballot{Round: 3})
func Append(dst []byte, v any) []byte { return appendValue(dst, reflect.ValueOf(v)) }

func appendValue(dst []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Pointer:
		return appendValue(dst, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			dst = appendValue(dst, v.Field(i))
		}
		return dst
	case reflect.String:
		dst = binary.BigEndian.AppendUint32(dst, uint32(v.Len()))
		return append(dst, v.String()...)
	case reflect.Slice:
		return appendSlice(dst, v)
	}
	return appendNumber(dst, v)
}

func appendNumber(dst []byte, v reflect.Value) []byte {
	switch v.Kind() {
	case reflect.Bool:
		if v.Bool() {
			return append(dst, 1)
		}
		return append(dst, 0)
	case reflect.Int8:
		return append(dst, byte(v.Int()))
	case reflect.Uint8:
		return append(dst, byte(v.Uint()))
	case reflect.Int32:
		return binary.BigEndian.AppendUint32(dst, uint32(v.Int()))
	case reflect.Int, reflect.Int64:
		return binary.BigEndian.AppendUint64(dst, uint64(v.Int()))
	case reflect.Uint64:
		return binary.BigEndian.AppendUint64(dst, v.Uint())
	case reflect.Float64:
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(v.Float()))
	}
	panic("codec: no encoding for type " + v.Type().String())
}

func appendSlice(dst []byte, v reflect.Value) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(v.Len()))
	if v.Type().Elem().Kind() == reflect.Uint8 {
		return append(dst, v.Bytes()...)
	}
	for i := range v.Len() {
		dst = appendValue(dst, v.Index(i))
	}
	return dst
}

// Unmarshal decodes data that Append encoded into the value that out points to. Invalid
// data and left-over bytes give ErrMalformed, never a panic. An empty slice in the data
// leaves the slice in out unchanged.
//
// Example: var b Ballot; err := codec.Unmarshal(data, &b)
func Unmarshal(data []byte, out any) error {
	rest, err := UnmarshalPrefix(data, out)
	if err == nil && len(rest) != 0 {
		return ErrMalformed
	}
	return err
}

// UnmarshalPrefix decodes a value at the start of data and returns the remaining bytes.
//
// Example: rest, err := codec.UnmarshalPrefix(frame, &header)
func UnmarshalPrefix(data []byte, out any) (rest []byte, err error) {
	r := reader{rest: data}
	if !r.value(reflect.ValueOf(out).Elem()) {
		return nil, ErrMalformed
	}
	return r.rest, nil
}

// reader decodes consecutive values from the start of rest. Its methods return false if
// the data is malformed.
type reader struct{ rest []byte }

// next consumes and returns the next n bytes.
func (r *reader) next(n int) (head []byte, ok bool) {
	if len(r.rest) < n {
		return nil, false
	}
	head, r.rest = r.rest[:n], r.rest[n:]
	return head, true
}

// count consumes the number of elements of a string or slice. Every element takes at
// least one byte, so a count above the number of remaining bytes is malformed.
func (r *reader) count() (n int, ok bool) {
	head, ok := r.next(countBytes)
	if !ok {
		return 0, false
	}
	n = int(binary.BigEndian.Uint32(head))
	return n, n <= len(r.rest)
}

func (r *reader) value(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Struct:
		return r.structure(v)
	case reflect.Bool:
		return r.boolean(v)
	case reflect.Int8, reflect.Uint8:
		return r.byte(v)
	case reflect.Int32:
		head, ok := r.next(countBytes)
		if ok {
			v.SetInt(int64(int32(binary.BigEndian.Uint32(head))))
		}
		return ok
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return r.word(v)
	case reflect.String:
		n, ok := r.count()
		if !ok {
			return false
		}
		head, _ := r.next(n)
		v.SetString(string(head))
		return true
	case reflect.Slice:
		return r.slice(v)
	}
	return false
}

func (r *reader) structure(v reflect.Value) bool {
	for i := range v.NumField() {
		if !r.value(v.Field(i)) {
			return false
		}
	}
	return true
}

func (r *reader) boolean(v reflect.Value) bool {
	head, ok := r.next(1)
	if !ok {
		return false
	}
	v.SetBool(head[0] == 1)
	return head[0] <= 1
}

func (r *reader) byte(v reflect.Value) bool {
	head, ok := r.next(1)
	if !ok {
		return false
	}
	if v.CanInt() {
		v.SetInt(int64(int8(head[0])))
	} else {
		v.SetUint(uint64(head[0]))
	}
	return true
}

func (r *reader) word(v reflect.Value) bool {
	head, ok := r.next(wordBytes)
	if !ok {
		return false
	}
	bits := binary.BigEndian.Uint64(head)
	switch {
	case v.CanInt():
		v.SetInt(int64(bits))
	case v.CanUint():
		v.SetUint(bits)
	default:
		v.SetFloat(math.Float64frombits(bits))
	}
	return true
}

func (r *reader) slice(v reflect.Value) bool {
	n, ok := r.count()
	if !ok {
		return false
	}
	if n == 0 {
		return true
	}
	if v.Type().Elem().Kind() == reflect.Uint8 {
		head, _ := r.next(n)
		v.SetBytes(append([]byte(nil), head...))
		return true
	}
	elements := reflect.MakeSlice(v.Type(), 0, min(n, maxInitialElements))
	for range n {
		element := reflect.New(v.Type().Elem()).Elem()
		if !r.value(element) {
			return false
		}
		elements = reflect.Append(elements, element)
	}
	v.Set(elements)
	return true
}
