package configuration

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxHistory is how many accepted changes a History holds, about 33 bytes each. A burst of changes
// can produce hundreds in a day.
const MaxHistory = 4096

// ChangeID identifies a change made by an operator: the version it creates, the version it is based
// on, and a SHA-256 of the request. A change that received no clear response is sent again
// unmodified, so it has the same ChangeID.
type ChangeID struct {
	Version, Base int64
	Digest        [sha256.Size]byte
}

// History holds the identities of the last accepted changes. Each is based on the one before it, so
// a base is not stored separately: each change is stored as its digest and the increment of the
// version, in 33 bytes or slightly more.
type History struct {
	Base   int64 // base of the oldest change held; earlier changes have been dropped
	Count  int64
	Packed []byte // for each change: the version minus its base as a uvarint, then the digest
}

// each calls visit for every change, the oldest first, until visit returns false. It reports
// whether the history is well-formed.
func (h *History) each(visit func(ChangeID) bool) bool {
	base := h.Base
	for rest := h.Packed; len(rest) > 0; {
		increment, n := binary.Uvarint(rest)
		if n <= 0 || len(rest) < n+sha256.Size {
			return false
		}
		id := ChangeID{Version: base + int64(increment), Base: base}
		copy(id.Digest[:], rest[n:])
		rest = rest[n+sha256.Size:]
		if !visit(id) {
			return true
		}
		base = id.Version
	}
	return true
}

// Contains reports whether a change was accepted.
func (h *History) Contains(id ChangeID) (found bool) {
	h.each(func(o ChangeID) bool {
		found = o == id
		return !found && o.Version < id.Version
	})
	return found
}

// Covers reports whether Contains gives a definite answer for a change. It doesn't for changes
// older than those that the history holds.
func (h *History) Covers(id ChangeID) bool { return id.Base >= h.Base }

// With returns the history with one more change, which is based on the last one.
func (h History) With(id ChangeID) History {
	packed := h.Packed
	if h.Count >= MaxHistory {
		increment, n := binary.Uvarint(packed)
		h.Base += int64(increment)
		h.Count--
		packed = packed[n+sha256.Size:]
	}
	if h.Count == 0 {
		h.Base = id.Base
	}
	next := make([]byte, 0, len(packed)+binary.MaxVarintLen64+sha256.Size)
	next = append(next, packed...)
	next = binary.AppendUvarint(next, uint64(id.Version-id.Base))
	h.Packed = append(next, id.Digest[:]...)
	h.Count++
	return h
}
