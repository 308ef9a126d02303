// Package rendezvous is rendezvous hashing: every daemon orders the same names in
// the same way for a key, without asking anyone, and a name that comes or goes
// moves only what it is first for.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Weight is the weight of a name for a key.
//
// Example: w := rendezvous.Weight("shard/east", "edge-1")
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash takes any bytes
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix spreads close values over all bits (the finalizer of MurmurHash3), since
// FNV alone spreads close names badly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Order returns the names by their weight for a key, the heaviest first.
//
// Example: owner := rendezvous.Order(jobID, shards)[0]
func Order(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return out
}
