// Package quorum holds the core set: the members whose disks hold the state, and
// how many of them must agree. The set is the value of a register and changes by
// one member at a time (see package membership for when); this package is its
// plain data and does nothing by itself.
package quorum

import (
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/register"
)

// Set is one version of the core set. The zero Set is that of a daemon that
// knows of no cluster yet.
type Set struct {
	Cluster uint64 // drawn at random when the cluster was formed; 0 for none
	Version int64  // counted up with each change
	Members []Member
	Shards  []string // the shards of the jobs, one a zone; they never change
}

// Member is one disk of a core set. A machine whose disk was wiped comes back
// under another DiskID, and so is another member.
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

// Majority is how many members make a quorum; a set of two needs both.
func (s Set) Majority() int { return len(s.Members)/2 + 1 }

// Has tells whether a daemon is a member with this very disk.
func (s Set) Has(name string, diskID uint64) bool {
	return slices.Contains(s.Members, Member{name, diskID})
}

// HasName tells whether a daemon is a member, with whatever disk.
func (s Set) HasName(name string) bool {
	return slices.ContainsFunc(s.Members, func(m Member) bool { return m.Name == name })
}

// RegisterSet is the set as package register needs it.
func (s Set) RegisterSet() register.Set {
	return register.Set{Version: s.Version, Members: s.Names()}
}

// Encode returns the binary form in which the set is a register's value.
func (s Set) Encode() []byte { return codec.Append(nil, s) }

// With returns the next version with one more member, its newest from then on.
func (s Set) With(m Member) Set {
	s.Members = append(slices.Clone(s.Members), m)
	s.Version++
	return s
}

// Without returns the next version without the member at an index.
func (s Set) Without(at int) Set {
	s.Members = slices.Delete(slices.Clone(s.Members), at, at+1)
	s.Version++
	return s
}
