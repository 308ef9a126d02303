// Package rendezvous implements rendezvous hashing: every daemon orders the same names in
// the same way for a key, without communication, and a name that is added or removed
// only moves the keys for which it is first.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Weight returns the weight of a name for a key.
//
// Example: w := rendezvous.Weight("shard/east", "edge-1")
func Weight(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3. It distributes similar values over all bits, which
// FNV alone does badly for similar names.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Order returns the names by descending weight for a key.
//
// Example: owner := rendezvous.Order(jobID, shards)[0]
func Order(key string, names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return out
}
