package daemon

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"otterchute/internal/codec"
	"otterchute/internal/register"
	"strconv"
)

// changeID tells an operator's order from all others: the version it makes, the
// version it builds on, and a SHA-256 of what was sent. An order without a
// clear answer is sent again as it was, so it comes with the same identity.
type changeID struct {
	Version, Base int64
	Digest        [sha256.Size]byte
}

// changeHistory holds the identities of the setup's last accepted orders. Each
// built on the one before it, so a base needs no room of its own: an order takes
// its digest and what the version rose by, 33 bytes or little more.
type changeHistory struct {
	Base   int64 // the oldest order here built on it; what led to it is known no more
	Count  int64
	Packed []byte // for each order: uvarint of the version less its base, digest
}

// each calls f with every order, the oldest first, until f gives false. It
// tells whether the history is sound.
func (h *changeHistory) each(f func(changeID) bool) bool {
	base := h.Base
	for rest := h.Packed; len(rest) > 0; {
		rise, n := binary.Uvarint(rest)
		if n <= 0 || len(rest) < n+sha256.Size {
			return false
		}
		id := changeID{Version: base + int64(rise), Base: base}
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
func (h *changeHistory) contains(id changeID) (found bool) {
	h.each(func(o changeID) bool {
		found = o == id
		return !found && o.Version < id.Version
	})
	return found
}

// covers tells whether this history can say of an order that it was not
// accepted: those that it once held and let go of it can't.
func (h *changeHistory) covers(id changeID) bool { return id.Base >= h.Base }

// with gives the history with one more order, which builds on the last one.
func (h changeHistory) with(id changeID) changeHistory {
	packed := h.Packed
	if h.Count >= changesKept {
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

// changeIDOf gives the identity of the order in an ask, and what is wrong with it.
func changeIDOf(a *request) (changeID, []fault) {
	version, err := strconv.ParseInt(a.key, 10, 64)
	if err != nil || version < 1 || version > configVersionMax {
		return changeID{}, []fault{{"version", "must be a whole number of 1 or more"}}
	}
	id := changeID{Version: version, Base: a.expect}
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
	case a.config != nil && a.config.digest != [sha256.Size]byte{}:
		id.Digest = a.config.digest
	default:
		id.Digest = sha256.Sum256(a.body)
	}
	return id, nil
}

// findChange tells whether an order was accepted, for one whose document is not
// at hand any more: a change by items that built on a version long passed. The
// register itself is asked, and what it says stands at a majority then.
func (n *node) findChange(a *request) {
	if !n.inContact() {
		n.reject(a, "the core can't be reached from here")
		return
	}
	id, faults := changeIDOf(a)
	if len(faults) > 0 {
		n.rejectFaults(a, 400, 0, faults)
		return
	}
	if n.forwardToCore(a) {
		return
	}
	o := n.startChange("setup", "taken", nil, 0)
	o.change, o.request = id, a
}

// findChangeDecision leaves the setup as it stands. What isn't taken, and can't be any
// more, is refused: only then is no try of it left that may yet take effect.
func findChangeDecision(_ *node, o *registerChange, current []byte) (register.Decision, []byte) {
	var cur configRecord
	switch {
	case len(current) > 0 && codec.Unmarshal(current, &cur) != nil:
		return register.Fail, nil
	case cur.Accepted.contains(o.change) || cur.Version == o.change.Base:
		return register.Keep, nil
	}
	return register.Refuse, nil
}

// changeFound answers findChange.
func (n *node) changeFound(o *registerChange, outcome register.Outcome) {
	var cur configRecord
	switch {
	case outcome == register.Unknown || len(o.Value()) > 0 && codec.Unmarshal(o.Value(), &cur) != nil:
		n.reject(o.request, "outcome unknown: send it again")
	case outcome == register.Refused:
		n.respondRefused(o, &cur)
	case cur.Accepted.contains(o.change):
		n.respondAccepted(o)
	default:
		n.reject(o.request, "not accepted yet, and its base is current: send it again")
	}
}

// respondAccepted acknowledges an order, whatever was accepted since.
func (n *node) respondAccepted(o *registerChange) {
	n.respond(o.request, 200, 0, mustJSON(map[string]any{"version": o.change.Version}))
}

// respondRefused says that another version stands: only of an order that surely
// was not accepted, else its outcome is unknown.
func (n *node) respondRefused(o *registerChange, cur *configRecord) {
	if !cur.Accepted.covers(o.change) {
		n.count("orders_forgotten")
		n.reject(o.request, "outcome unknown: too many versions were accepted since")
		return
	}
	n.respond(o.request, 409, 0, mustJSON(map[string]any{"error": "another version stands", "current": cur.Version}))
}

// readerCopy is the register's value without the history of its orders,
// which only a change of the register needs. All daemons read each new value,
// so it is packed once for each.
type readerCopy struct {
	ballot register.Ballot
	value  []byte
}

// of gives the value as readers get it.
func (s *readerCopy) of(r *register.Acceptor) []byte {
	if s.ballot == r.Accepted && s.value != nil {
		return s.value
	}
	var d configRecord
	if codec.Unmarshal(r.Value, &d) != nil {
		return r.Value
	}
	d.Accepted = changeHistory{}
	s.ballot, s.value = r.Accepted, codec.Append(nil, d)
	return s.value
}

// sameDoc tells whether two values hold the same document.
func (d *configRecord) sameDoc(other *configRecord) bool {
	return d.Version == other.Version && bytes.Equal(d.Doc, other.Doc)
}
