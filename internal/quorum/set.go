// Package quorum defines the core set: the members whose disks store the state, and how many of
// them make a majority. The set is the value of a register and changes by one member at a time;
// package membership decides when. This package only holds the data.
package quorum

import (
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/register"
)

// Set is one version of the core set. The zero Set means that the daemon doesn't know of any
// cluster yet.
type Set struct {
	Cluster uint64 // drawn at random when the cluster was formed; 0 for none
	Version int64  // incremented by each change
	Members []Member
	Shards  []string // shards of the jobs, one per zone; they never change
}

// Member is one disk of a core set. A machine whose disk was wiped returns with another DiskID, and
// is therefore another member.
type Member struct {
	Name   string // of the daemon
	DiskID uint64
}

// Names returns the names of the members' daemons, in the order of the set.
func (s Set) Names() []string {
	var out []string
	for _, m := range s.Members {
		out = append(out, m.Name)
	}
	return out
}

// Majority returns how many members make a quorum; a set of two needs both.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Has reports whether a daemon is a member with exactly this disk.
func (s Set) Has(name string, diskID uint64) bool {
	return slices.Contains(s.Members, Member{name, diskID})
}

// HasName reports whether a daemon is a member, with any disk.
func (s Set) HasName(name string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}

// RegisterSet returns the set in the form that package register uses.
func (s Set) RegisterSet() register.Set {
	return register.Set{Version: s.Version, Members: s.Names()}
}

// Encode returns the set's binary form, which is the value of its register.
func (s Set) Encode() []byte { return codec.Append(nil, s) }

// With returns the next version of the set, with one more member at its end.
func (s Set) With(m Member) Set {
	s.Members = append(slices.Clone(s.Members), m)
	s.Version++
	return s
}

// Without returns the next version of the set, without the member at an index.
func (s Set) Without(index int) Set {
	s.Members = slices.Delete(slices.Clone(s.Members), index, index+1)
	s.Version++
	return s
}
