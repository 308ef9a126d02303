package codec

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

type inner struct {
	Name string
	List []int64
}

type sample struct {
	Flag   bool
	Small  int8
	Byte   uint8
	Medium int32
	Plain  int
	Large  int64
	Free   uint64
	Real   float64
	Text   string
	Bytes  []byte
	Inner  inner
	Many   []inner
}

func samples() map[string]sample {
	return map[string]sample{
		"zero":     {},
		"extremes": {true, math.MinInt8, math.MaxUint8, math.MinInt32, math.MinInt, math.MinInt64, math.MaxUint64, math.Inf(-1), "", nil, inner{}, nil},
		"nested":   {Text: "text", Bytes: []byte{0, 255}, Inner: inner{"a", []int64{-1, 2}}, Many: []inner{{"b", nil}, {"", []int64{3}}}},
	}
}

func TestRoundTrip(t *testing.T) {
	for name, want := range samples() {
		t.Run(name, func(t *testing.T) {
			data := Append(nil, want)
			var got sample
			must.NoError(t, Unmarshal(data, &got))
			must.Eq(t, want, got)
			must.Eq(t, data, Append(nil, &got)) // a pointer is encoded like its target
		})
	}
}

// The encoding is part of the wire and disk formats and must not change.
func TestEncodingIsFixed(t *testing.T) {
	data := Append([]byte{9}, struct {
		Number int32
		Text   string
		List   []uint64
	}{-2, "ab", []uint64{1}})
	must.Eq(t, []byte{9, 255, 255, 255, 254, 0, 0, 0, 2, 'a', 'b', 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1}, data)
}

// Every proper prefix of an encoding is malformed, and so is an encoding with an extra byte.
func TestMalformed(t *testing.T) {
	for name, value := range samples() {
		t.Run(name, func(t *testing.T) {
			data := Append(nil, value)
			for end := range data {
				must.ErrorIs(t, Unmarshal(data[:end], new(sample)), ErrMalformed)
			}
			must.ErrorIs(t, Unmarshal(append(data, 0), new(sample)), ErrMalformed)
		})
	}
	must.ErrorIs(t, Unmarshal([]byte{2}, new(struct{ Flag bool })), ErrMalformed)
	must.ErrorIs(t, Unmarshal([]byte{255, 255, 255, 255, 'a'}, new(struct{ Text string })), ErrMalformed)
}

func TestPrefix(t *testing.T) {
	var head struct{ Number int32 }
	rest, err := UnmarshalPrefix([]byte{0, 0, 0, 7, 8, 9}, &head)
	must.NoError(t, err)
	must.Eq(t, 7, head.Number)
	must.Eq(t, []byte{8, 9}, rest)
}

func FuzzUnmarshal(f *testing.F) {
	for _, value := range samples() {
		f.Add(Append(nil, value))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got sample
		if Unmarshal(data, &got) == nil {
			must.Eq(t, data, Append(nil, got))
		}
	})
}
