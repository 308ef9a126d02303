package register

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// The model is a register with its acceptors, proposers, disks and network, as plain data that can
// be copied, so that a test can try every possible next event.
//
// Messages stay in the network: each may be delivered at any later time, any number of times, to
// whichever instance of the proposer runs then, or never. This covers loss, delay, duplication and
// reordering.
//
// The value is the list of the changes accepted so far, one byte each; the version is its length. A
// change builds on a version, and has been accepted if it is in the list.

// modelChange is a change made by an operator: one letter on top of a version.
type modelChange struct {
	letter byte
	base   int
}

func (o modelChange) apply(current []byte) (Decision, []byte) {
	switch {
	case bytes.IndexByte(current, o.letter) >= 0:
		return Keep, nil
	case len(current) != o.base:
		return Refuse, nil
	}
	return Replace, append(slices.Clone(current), o.letter)
}

// letterSet is a set of changes.
type letterSet [4]uint64

func (l letterSet) has(letter byte) bool       { return l[letter>>6]&(1<<(letter&63)) != 0 }
func (l letterSet) with(letter byte) letterSet { l[letter>>6] |= 1 << (letter & 63); return l }

// modelDisk is the state that a member stores.
type modelDisk struct {
	acceptor Acceptor
	set      int64 // version of the newest set that the member knows
}

func (d modelDisk) same(other modelDisk) bool {
	return d.set == other.set && d.acceptor.Promised == other.acceptor.Promised && d.acceptor.Accepted == other.acceptor.Accepted
}

// modelMember is an acceptor, with all messages ever sent to it and by it.
type modelMember struct {
	name                string
	applied, durable    modelDisk
	unsent              []int // responses that are sent after the next sync
	requests, responses []int // indexes in the messageTable
}

// modelProcess is one instance of a proposer.
type modelProcess struct {
	proposer           Proposer
	op                 *Operation
	change             modelChange
	acknowledgedBefore letterSet // changes acknowledged before the current attempt started
	nextID             uint64    // operations are numbered anew by each instance
	set                int64
}

// modelMessage is a message between a proposer of a name and a member.
type modelMessage struct {
	proposer string
	body     any
}

// mutant is a fault built into the model, to verify that the checks find it.
type mutant struct {
	respondBeforeSync     bool // responses don't wait for the disk
	sharedInstance        bool // all instances of a proposer have the same number
	responsesOfAnyAttempt bool // responses count for whichever attempt is in progress
	refuseWithoutWrite    bool // a value that causes a refusal isn't written back
	keepWithoutWrite      bool // nor is a kept value that only a minority has accepted
	forgetPromise         bool // promises don't prevent lower accepts
	respondToAnySet       bool // members respond to requests made under another set
	joinAfterOneCopy      bool // a new member copies from only one of two members
	removeWithoutCopy     bool // a leaving member is removed before the new one copied again
	smallQuorum           bool // one member less than a majority is enough
	anyAccepted           bool // a proposer uses the value of the first promise, not of the highest ballot
	compareNewestOnly     bool // a change is known as accepted only while it is the newest
	refusalsAsPromises    bool // a refused attempt continues
}

// model is one state of the whole system.
type model struct {
	mutant    mutant
	sets      []Set // by version, starting at 1
	latestSet int64 // version of the newest set
	members   []modelMember
	processes []modelProcess
	messages  *messageTable
	copied    []string // members of the newest set whose copy the joining member has

	changes               []modelChange
	reportedVersion       int // the highest version returned by an operation
	acknowledged, refused letterSet
	violation             string
}

// messageTable numbers the messages of all states of an exploration.
type messageTable struct {
	ids map[string]int
	all []modelMessage
}

func (t *messageTable) id(m modelMessage) int {
	key := messageKey(m)
	id, ok := t.ids[key]
	if !ok {
		id = len(t.all)
		t.ids[key] = id
		t.all = append(t.all, m)
	}
	return id
}

// keyWriter encodes the fields by which states differ.
type keyWriter []byte

func (b *keyWriter) number(values ...int64) {
	for _, v := range values {
		*b = binary.AppendVarint(*b, v)
	}
}

func (b *keyWriter) flag(v bool) {
	if v {
		*b = append(*b, 1)
		return
	}
	*b = append(*b, 0)
}

func (b *keyWriter) text(v string) { *b = append(append(*b, v...), 0) }

func (b *keyWriter) ballot(x Ballot) {
	b.number(int64(x.Round), int64(x.Instance))
	b.text(x.Proposer)
}

func (b *keyWriter) letterSet(l letterSet) {
	for _, x := range l {
		*b = binary.LittleEndian.AppendUint64(*b, x)
	}
}

func (b *keyWriter) disk(d modelDisk) {
	b.ballot(d.acceptor.Promised)
	b.ballot(d.acceptor.Accepted)
	b.text(string(d.acceptor.Value))
	b.number(d.set)
}

func (b *keyWriter) numbers(values []int) {
	b.number(int64(len(values)))
	for _, v := range values {
		b.number(int64(v))
	}
}

func messageKey(m modelMessage) string {
	b := make(keyWriter, 0, 64)
	b.text(m.proposer)
	switch x := m.body.(type) {
	case *Prepare:
		b.number(1, int64(x.Op), x.SetVersion)
		b.ballot(x.Ballot)
	case *Promise:
		b.number(2, int64(x.Op))
		b.flag(x.OK)
		b.ballot(x.Promised)
		b.ballot(x.Accepted)
		b.text(string(x.Value))
		b.ballot(x.Ballot)
	case *Accept:
		b.number(3, int64(x.Op), x.SetVersion)
		b.ballot(x.Ballot)
		b.text(string(x.Value))
	case *Accepted:
		b.number(4, int64(x.Op))
		b.flag(x.OK)
		b.ballot(x.Promised)
		b.ballot(x.Ballot)
	}
	return string(b)
}

var modelTiming = Timing{DeadlineMs: 1 << 40, ResponseTimeoutMs: 10, RetryBaseMs: 4}

func noJitter(int64) int64 { return 0 }

func newModel(m mutant, proposers int) *model {
	first := Set{Version: 1, Members: []string{"a", "b", "c"}}
	s := &model{mutant: m, sets: []Set{first}, latestSet: 1, messages: &messageTable{ids: map[string]int{}}}
	for _, name := range first.Members {
		s.members = append(s.members, modelMember{name: name, applied: modelDisk{set: 1}, durable: modelDisk{set: 1}})
	}
	for i := range proposers {
		p := Proposer{Name: string(rune('p' + i)), Instance: 1, Timing: modelTiming}
		s.processes = append(s.processes, modelProcess{proposer: p, set: 1})
	}
	return s
}

// clone copies everything that an event may change. Slices that only grow are shared, and are
// cloned before an append.
func (s *model) clone() *model {
	c := *s
	c.members = slices.Clone(s.members)
	c.processes = slices.Clone(s.processes)
	for i := range c.processes {
		if p := &c.processes[i]; p.op != nil {
			op := *p.op
			op.proposer = &p.proposer
			p.op = &op
		}
	}
	return &c
}

// key returns equal strings for states that behave alike from here on. Members differ only in their
// state, so they are encoded in sorted order.
func (s *model) key() string {
	blocks := make([]string, 0, len(s.members))
	for i := range s.members {
		m := &s.members[i]
		b := make(keyWriter, 0, 96)
		b.disk(m.applied)
		if m.applied.same(m.durable) {
			b.flag(true)
		} else {
			b.flag(false)
			b.disk(m.durable)
		}
		b.numbers(m.unsent)
		b.numbers(m.requests)
		b.numbers(m.responses)
		for _, set := range s.sets {
			b.flag(slices.Contains(set.Members, m.name))
		}
		b.flag(slices.Contains(s.copied, m.name))
		for k := range s.processes {
			if o := s.processes[k].op; o != nil {
				b.flag(o.granted.with(o.set, m.name) == o.granted)
				b.flag(o.refused.with(o.set, m.name) == o.refused)
			}
		}
		blocks = append(blocks, string(b))
	}
	slices.Sort(blocks)
	b := make(keyWriter, 0, 512)
	for _, block := range blocks {
		b.text(block)
	}
	for i := range s.processes {
		p := &s.processes[i]
		b.number(int64(p.proposer.round), int64(p.proposer.Instance), int64(p.nextID), p.set)
		if o := p.op; o != nil {
			b.number(int64(p.change.letter), int64(o.phase), int64(o.outcomeOnAccept), o.set.Version)
			b.ballot(o.Ballot)
			b.ballot(o.highestAccepted)
			b.flag(o.ballotsDiffer)
			b.text(string(o.currentValue))
			b.text(string(o.nextValue))
			b.letterSet(p.acknowledgedBefore)
		}
	}
	b.number(s.latestSet)
	b.letterSet(s.acknowledged)
	b.letterSet(s.refused)
	return string(b)
}

func (s *model) member(name string) *modelMember {
	for i := range s.members {
		if s.members[i].name == name {
			return &s.members[i]
		}
	}
	return nil
}

// insertSorted returns a sorted list with a number added. It copies the list, which other states
// may share.
func insertSorted(list []int, id int) []int {
	at, found := slices.BinarySearch(list, id)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), at, id)
}

func (s *model) sendAll(p *modelProcess, out []Envelope) {
	for _, e := range out {
		m := s.member(e.To)
		if m == nil {
			continue // removed for good
		}
		m.requests = insertSorted(m.requests, s.messages.id(modelMessage{p.proposer.Name, e.Message}))
	}
}

func (s *model) setAt(version int64) Set { return s.sets[version-1] }

// begin starts a change on a process.
func (s *model) begin(p *modelProcess, o modelChange) {
	if !slices.Contains(s.changes, o) {
		s.changes = append(slices.Clone(s.changes), o)
	}
	p.nextID++
	p.change, p.acknowledgedBefore = o, s.acknowledged
	apply := o.apply
	if s.mutant.compareNewestOnly {
		apply = o.applyKnowingNewestOnly
	}
	var out []Envelope
	p.op, out = p.proposer.Begin(p.nextID, "register", apply, s.setAt(p.set), 0)
	s.sendAll(p, out)
}

// applyKnowingNewestOnly is apply with the fault that only the newest change is known as accepted.
func (o modelChange) applyKnowingNewestOnly(current []byte) (Decision, []byte) {
	if len(current) > 0 && current[len(current)-1] != o.letter && len(current) != o.base {
		return Refuse, nil
	}
	return o.apply(current)
}

// restart replaces a proposer by its next instance, which has no state of the previous one.
func (s *model) restart(p *modelProcess) {
	instance := p.proposer.Instance + 1
	if s.mutant.sharedInstance {
		instance = 1
	}
	p.proposer = Proposer{Name: p.proposer.Name, Instance: instance, Timing: modelTiming}
	p.op, p.nextID = nil, 0
}

// retry makes an attempt's responses time out.
func (s *model) retry(p *modelProcess) {
	p.acknowledgedBefore = s.acknowledged
	s.sendAll(p, p.op.Tick(s.setAt(p.set), p.op.sentMs+modelTiming.ResponseTimeoutMs+modelTiming.RetryBaseMs+1))
	p.op.sentMs, p.op.retryMs = 0, 0
}

// timeOut passes the deadline: the outcome is unknown.
func (s *model) timeOut(p *modelProcess) {
	p.op.Tick(s.setAt(p.set), 2*modelTiming.DeadlineMs)
	s.finish(p)
}

// sync makes a member's writes durable, and sends its responses.
func (s *model) sync(m *modelMember) {
	m.durable = m.applied
	for _, id := range m.unsent {
		m.responses = insertSorted(m.responses, id)
	}
	m.unsent = nil
}

// crash discards writes that were not synced.
func (s *model) crash(m *modelMember) {
	m.applied, m.unsent = m.durable, nil
}

// deliverRequest delivers a message to a member, if the member is in the set that it knows.
func (s *model) deliverRequest(m *modelMember, id int) {
	if !slices.Contains(s.setAt(m.applied.set).Members, m.name) {
		return
	}
	message := s.messages.all[id]
	var response any
	var write *Write
	switch body := message.body.(type) {
	case *Prepare:
		if promise, w := s.mutant.prepared(m.applied, body); promise != nil {
			response, write = promise, w
		}
	case *Accept:
		if accepted, w := s.mutant.accepted(m.applied, body); accepted != nil {
			response, write = accepted, w
		}
	}
	if response == nil {
		return
	}
	responseID := s.messages.id(modelMessage{message.proposer, response})
	if write != nil {
		m.applied.acceptor.Apply(*write)
	}
	if write == nil || s.mutant.respondBeforeSync {
		m.responses = insertSorted(m.responses, responseID)
		return
	}
	m.unsent = insertSorted(m.unsent, responseID)
}

func (f mutant) prepared(d modelDisk, body *Prepare) (*Promise, *Write) {
	if f.respondToAnySet {
		d.set = body.SetVersion
	}
	return d.acceptor.OnPrepare(d.set, body)
}

func (f mutant) accepted(d modelDisk, body *Accept) (*Accepted, *Write) {
	if f.respondToAnySet {
		d.set = body.SetVersion
	}
	if f.forgetPromise {
		d.acceptor.Promised = d.acceptor.Accepted
	}
	return d.acceptor.OnAccept(d.set, body)
}

// deliverResponse delivers a member's message to the operation with its number, on whichever
// instance of the proposer runs now.
func (s *model) deliverResponse(m *modelMember, id int) {
	message := s.messages.all[id]
	for i := range s.processes {
		p := &s.processes[i]
		if p.proposer.Name != message.proposer || p.op == nil {
			continue
		}
		switch body := message.body.(type) {
		case *Promise:
			if body.Op == p.op.ID {
				s.onPromise(p, m.name, *body)
			}
		case *Accepted:
			if body.Op == p.op.ID {
				s.onAccepted(p, m.name, *body)
			}
		}
	}
}

func (s *model) onPromise(p *modelProcess, from string, m Promise) {
	o := p.op
	if s.mutant.responsesOfAnyAttempt {
		m.Ballot = o.Ballot
	}
	if s.mutant.anyAccepted && o.granted != 0 {
		m.Accepted, m.Value = Ballot{}, nil
	}
	if s.mutant.refusalsAsPromises && !m.OK {
		m = Promise{Op: m.Op, OK: true, Ballot: m.Ballot}
	}
	s.addExtraVote(o, from)
	out := o.OnPromise(from, &m, 0, noJitter)
	keeps := o.outcomeOnAccept == Done && bytes.Equal(o.nextValue, o.currentValue)
	if len(out) > 0 && (s.mutant.refuseWithoutWrite && o.outcomeOnAccept == Refused || s.mutant.keepWithoutWrite && keeps) {
		o.outcome, out = o.outcomeOnAccept, nil
	}
	s.sendAll(p, out)
	s.finish(p)
}

func (s *model) onAccepted(p *modelProcess, from string, m Accepted) {
	if s.mutant.responsesOfAnyAttempt {
		m.Ballot = p.op.Ballot
	}
	s.addExtraVote(p.op, from)
	p.op.OnAccepted(from, &m, 0, noJitter)
	s.finish(p)
}

// addExtraVote implements the mutant for which one member less than a majority is enough.
func (s *model) addExtraVote(o *Operation, from string) {
	if s.mutant.smallQuorum {
		for _, other := range o.set.Members {
			if other != from {
				o.granted = o.granted.with(o.set, other)
				return
			}
		}
	}
}

// finish records and checks the outcome of an operation.
func (s *model) finish(p *modelProcess) {
	o, letter := p.op, p.change.letter
	switch o.Outcome() {
	case Pending:
		return
	case Unknown:
		p.op = nil
		return
	case Done:
		s.onDone(p)
	case Refused:
		if s.acknowledged.has(letter) {
			s.fail("%c is refused after it was acknowledged", letter)
		}
		s.refused = s.refused.with(letter)
	}
	// Its responses may predate changes that were acknowledged since its attempt started.
	s.checkValue(atOperationEnd, o.Value(), p.acknowledgedBefore)
	s.reportedVersion = max(s.reportedVersion, len(o.Value()))
	p.op = nil
}

func (s *model) onDone(p *modelProcess) {
	letter := p.change.letter
	if bytes.IndexByte(p.op.Value(), letter) < 0 {
		s.fail("%c is acknowledged, but missing from %q", letter, p.op.Value())
	}
	for _, other := range s.changes {
		if other.letter != letter && other.base == p.change.base && s.acknowledged.has(other.letter) {
			s.fail("%c and %c are both acknowledged on version %d", letter, other.letter, other.base)
		}
	}
	s.acknowledged = s.acknowledged.with(letter)
}

func (s *model) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// atOperationEnd means that a value was returned by an operation. Any other location is the version
// of a set.
const atOperationEnd int64 = 0

func placeName(where int64) string {
	if where == atOperationEnd {
		return "the result of an operation"
	}
	return fmt.Sprint("at a quorum of set ", where)
}

// checkValue checks a value that a majority accepted, or that a reader could find.
func (s *model) checkValue(where int64, value []byte, acknowledged letterSet) {
	for _, o := range s.changes {
		at := bytes.IndexByte(value, o.letter)
		switch {
		case acknowledged.has(o.letter) && at < 0:
			s.fail("%q (%s): %c was acknowledged and is lost", value, placeName(where), o.letter)
		case s.refused.has(o.letter) && at >= 0:
			s.fail("%q (%s): %c was refused and takes effect", value, placeName(where), o.letter)
		case at >= 0 && at != o.base:
			s.fail("%q (%s): %c builds on %d", value, placeName(where), o.letter, o.base)
		}
	}
}

// setsInUse is how many sets before the newest may still be used for requests.
const setsInUse = 3

// check checks what a reader would get from every quorum now, from each member with its applied
// state or, after a crash, with its durable state.
func (s *model) check() {
	for version := max(1, s.latestSet-setsInUse); version <= s.latestSet; version++ {
		set := s.setAt(version)
		var disks [5][2]modelDisk
		var count [5]int
		for i, name := range set.Members {
			m := s.member(name)
			if m == nil {
				continue
			}
			if m.applied.set <= version { // it may still respond under this set
				disks[i][0], count[i] = m.applied, 1
			}
			if m.durable.set <= version && (count[i] == 0 || m.durable.acceptor.Accepted != m.applied.acceptor.Accepted) {
				disks[i][count[i]] = m.durable
				count[i]++
			}
		}
		for quorum := range uint(1) << len(set.Members) {
			if bits.OnesCount(quorum) == set.Majority() {
				s.checkQuorum(version, &disks, &count, quorum, 0, &Acceptor{})
			}
		}
	}
}

func (s *model) checkQuorum(version int64, disks *[5][2]modelDisk, count *[5]int, quorum uint, from int, highest *Acceptor) {
	for quorum>>from != 0 && quorum>>from&1 == 0 {
		from++
	}
	if quorum>>from == 0 {
		s.checkValue(version, highest.Value, s.acknowledged)
		return
	}
	for i := range count[from] {
		next, d := highest, &disks[from][i].acceptor
		if next.Accepted.Less(d.Accepted) {
			next = d
		}
		s.checkQuorum(version, disks, count, quorum, from+1, next)
	}
}

// Set changes. The register that holds the set is not part of the model: a set is chosen by a
// majority of the previous one, and learned by each member at any time.

// majorityKnowsLatestSet reports whether a majority of the newest set durably knows that set.
func (s *model) majorityKnowsLatestSet() bool {
	set, in := s.setAt(s.latestSet), 0
	for _, name := range set.Members {
		if s.member(name).durable.set == s.latestSet {
			in++
		}
	}
	return in >= set.Majority()
}

func (s *model) choose(members []string) {
	s.latestSet++
	s.sets = append(slices.Clone(s.sets), Set{Version: s.latestSet, Members: members})
	s.copied = nil
}

// remove chooses a set without a member.
func (s *model) remove(name string) {
	s.choose(slices.DeleteFunc(slices.Clone(s.setAt(s.latestSet).Members), func(m string) bool { return m == name }))
}

// copyTo copies the synced state of a member to a new member.
func (s *model) copyTo(joiner, from string) {
	if s.member(joiner) == nil {
		s.members = append(slices.Clone(s.members), modelMember{name: joiner, applied: modelDisk{set: s.latestSet}, durable: modelDisk{set: s.latestSet}})
	}
	a, m := s.member(from).durable.acceptor, s.member(joiner)
	if !a.Accepted.IsZero() {
		m.applied.acceptor.Apply(Write{Accept: true, Ballot: a.Accepted, Value: a.Value})
	}
	m.applied.acceptor.Apply(Write{Ballot: a.Promised})
	s.sync(m)
	s.copied = append(slices.Clone(s.copied), from)
}

// canCopy reports whether a member serves copies now: it durably knows the newest set.
func (s *model) canCopy(from string) bool {
	return s.member(from).durable.set == s.latestSet && !slices.Contains(s.copied, from)
}

// canJoin reports whether a new member has copied from a majority.
func (s *model) canJoin() bool {
	need := s.setAt(s.latestSet).Majority()
	if s.mutant.joinAfterOneCopy {
		need = 1
	}
	return len(s.copied) >= need && s.majorityKnowsLatestSet()
}

// join chooses a set with a new member.
func (s *model) join(name string) {
	s.choose(append(slices.Clone(s.setAt(s.latestSet).Members), name))
}

// learnSet gives a process the newest set.
func (s *model) learnSet(p *modelProcess) {
	p.set = s.latestSet
	if p.op != nil {
		p.acknowledgedBefore = s.acknowledged
		s.sendAll(p, p.op.Tick(s.setAt(p.set), p.op.sentMs))
		p.op.sentMs = 0
	}
}

// describe formats a state for a failure message.
func (s *model) describe() string {
	var b strings.Builder
	for _, m := range s.members {
		for _, d := range []modelDisk{m.applied, m.durable} {
			fmt.Fprintf(&b, "%s set %d promised %v accepted %v %q\n", m.name, d.set, d.acceptor.Promised, d.acceptor.Accepted, d.acceptor.Value)
		}
	}
	return b.String()
}
