package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// orderID tells an operator's order from all others: the version it makes, the
// version it builds on, and a SHA-256 of what was sent. An order without a
// clear answer is sent again as it was, so it comes with the same identity.
type orderID struct {
	Version, Base int64
	Digest        [sha256.Size]byte
}

// orderHistory holds the identities of the setup's last accepted orders. Each
// built on the one before it, so a base needs no room of its own: an order takes
// its digest and what the version rose by, 33 bytes or little more.
type orderHistory struct {
	Base   int64 // the oldest order here built on it; what led to it is known no more
	Count  int64
	Packed []byte // for each order: uvarint of the version less its base, digest
}

// each calls f with every order, the oldest first, until f gives false. It
// tells whether the history is sound.
func (h *orderHistory) each(f func(orderID) bool) bool {
	base := h.Base
	for rest := h.Packed; len(rest) > 0; {
		rise, n := binary.Uvarint(rest)
		if n <= 0 || len(rest) < n+sha256.Size {
			return false
		}
		id := orderID{Version: base + int64(rise), Base: base}
		copy(id.Digest[:], rest[n:])
		rest = rest[n+sha256.Size:]
		if !f(id) {
			return true
		}
		base = id.Version
	}
	return true
}

// contains tells whether an order was accepted.
func (h *orderHistory) contains(id orderID) (found bool) {
	h.each(func(o orderID) bool {
		found = o == id
		return !found && o.Version < id.Version
	})
	return found
}

// covers tells whether this history can say of an order that it was not
// accepted: those that it once held and let go of it can't.
func (h *orderHistory) covers(id orderID) bool { return id.Base >= h.Base }

// with gives the history with one more order, which builds on the last one.
func (h orderHistory) with(id orderID) orderHistory {
	packed := h.Packed
	if h.Count >= ordersKept {
		rise, n := binary.Uvarint(packed)
		h.Base += int64(rise)
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

// orderOf gives the identity of the order in an ask, and what is wrong with it.
func orderOf(a *ask) (orderID, []fault) {
	version, err := strconv.ParseInt(a.key, 10, 64)
	if err != nil || version < 1 || version > setupVersionMax {
		return orderID{}, []fault{{"version", "must be a whole number of 1 or more"}}
	}
	id := orderID{Version: version, Base: a.expect}
	if a.expect < 0 {
		id.Base = version - 1
	}
	switch {
	case id.Version <= id.Base:
		return id, []fault{{"version", "must be higher than the one it builds on"}}
	case len(a.digest) == sha256.Size:
		id.Digest = [sha256.Size]byte(a.digest)
	case len(a.digest) > 0:
		return id, []fault{{"digest", "must be a SHA-256"}}
	case a.setup != nil && a.setup.digest != [sha256.Size]byte{}:
		id.Digest = a.setup.digest
	default:
		id.Digest = sha256.Sum256(a.body)
	}
	return id, nil
}

// findOrder tells whether an order was accepted, for one whose document is not
// at hand any more: a change by items that built on a version long passed. The
// register itself is asked, and what it says stands at a majority then.
func (n *node) findOrder(a *ask) {
	if !n.inContact() {
		n.bounce(a, "the core can't be reached from here")
		return
	}
	id, faults := orderOf(a)
	if len(faults) > 0 {
		n.answerFaults(a, 400, 0, faults)
		return
	}
	if n.handToCore(a) {
		return
	}
	o := n.startCas("setup", "taken", nil, 0)
	o.order, o.ask = id, a
}

// computeTaken leaves the setup as it stands.
func computeTaken(_ *node, o *casOp) ([]byte, bool) { return o.cur, true }

// takenRead answers findOrder.
func (n *node) takenRead(o *casOp, how string) {
	var cur setupDoc
	switch {
	case how != casDone || len(o.cur) > 0 && unpack(o.cur, &cur) != nil:
		n.bounce(o.ask, "outcome unknown: send it again")
	case cur.Taken.contains(o.order):
		n.answerTaken(o)
	case cur.Version == o.order.Base:
		n.bounce(o.ask, "not accepted yet, and its base is current: send it again")
	default:
		n.answerRefused(o, &cur)
	}
}

// answerTaken acknowledges an order, whatever was accepted since.
func (n *node) answerTaken(o *casOp) {
	n.answer(o.ask, 200, 0, jsonOf(map[string]any{"version": o.order.Version}))
}

// answerRefused says that another version stands: only of an order that surely
// was not accepted, else its outcome is unknown.
func (n *node) answerRefused(o *casOp, cur *setupDoc) {
	if !cur.Taken.covers(o.order) {
		n.count("orders_forgotten")
		n.bounce(o.ask, "outcome unknown: too many versions were accepted since")
		return
	}
	n.answer(o.ask, 409, 0, jsonOf(map[string]any{"error": "another version stands", "current": cur.Version}))
}

// setupForReaders is the register's value without the history of its orders,
// which only a change of the register needs. All daemons read each new value,
// so it is packed once for each.
type setupForReaders struct {
	ballot ballot
	value  []byte
}

// of gives the value as readers get it.
func (s *setupForReaders) of(r *register) []byte {
	if s.ballot == r.accepted && s.value != nil {
		return s.value
	}
	var d setupDoc
	if unpack(r.value, &d) != nil {
		return r.value
	}
	d.Taken = orderHistory{}
	s.ballot, s.value = r.accepted, pack(nil, d)
	return s.value
}

// sameDoc tells whether two values hold the same document.
func (d *setupDoc) sameDoc(other *setupDoc) bool {
	return d.Version == other.Version && bytes.Equal(d.Doc, other.Doc)
}
