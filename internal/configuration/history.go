package configuration

import (
	"crypto/sha256"
	"encoding/binary"
)

// MaxHistory is how many accepted changes a History holds, some 33 bytes each: a
// storm of changes makes hundreds in a day.
const MaxHistory = 4096

// ChangeID tells an operator's change from all others: the version it makes, the
// version it builds on, and a SHA-256 of what was sent. A change without a clear
// answer is sent again as it was, so it comes with the same identity.
type ChangeID struct {
	Version, Base int64
	Digest        [sha256.Size]byte
}

// History holds the identities of the last accepted changes. Each built on the one
// before it, so a base needs no bytes of its own: a change takes its digest and
// what the version rose by, 33 bytes or little more.
type History struct {
	Base   int64 // the oldest change here built on it; what led to it is known no more
	Count  int64
	Packed []byte // for each change: uvarint of the version less its base, digest
}

// each calls do with every change, the oldest first, until do returns false. It
// tells whether the history is sound.
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

// Contains tells whether a change was accepted.
func (h *History) Contains(id ChangeID) (found bool) {
	h.each(func(o ChangeID) bool {
		found = o == id
		return !found && o.Version < id.Version
	})
	return found
}

// Covers tells whether the history can say of a change that it was not accepted:
// of those that it once held and let go of it can't.
func (h *History) Covers(id ChangeID) bool { return id.Base >= h.Base }

// With returns the history with one more change, which builds on the last one.
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
