package quorum

import (
	"testing"

	"otterchute/internal/codec"

	"github.com/shoenig/test/must"
)

func setOf(names ...string) Set {
	s := Set{Cluster: 1, Version: 4, Shards: []string{"east"}}
	for i, name := range names {
		s.Members = append(s.Members, Member{name, uint64(i + 1)})
	}
	return s
}

func TestMajority(t *testing.T) {
	for members, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3} {
		must.Eq(t, want, Set{Members: make([]Member, members)}.Majority())
	}
}

func TestMembers(t *testing.T) {
	s := setOf("a", "b")
	must.Eq(t, []string{"a", "b"}, s.Names())
	must.True(t, s.Has("b", 2))
	must.False(t, s.Has("b", 1)) // another disk
	must.True(t, s.HasName("b"))
	must.False(t, s.HasName("c"))
	must.Eq(t, int64(4), s.RegisterSet().Version)
}

// The next set shares no memory with the previous one.
func TestNextSet(t *testing.T) {
	s := setOf("a", "b", "c")
	larger := s.With(Member{"d", 4})
	smaller := larger.Without(0)
	must.Eq(t, []string{"a", "b", "c"}, s.Names())
	must.Eq(t, []string{"a", "b", "c", "d"}, larger.Names())
	must.Eq(t, []string{"b", "c", "d"}, smaller.Names())
	must.Eq(t, []int64{4, 5, 6}, []int64{s.Version, larger.Version, smaller.Version})
}

func TestEncode(t *testing.T) {
	s := setOf("a", "b")
	var got Set
	must.NoError(t, codec.Unmarshal(s.Encode(), &got))
	must.Eq(t, s, got)
}
