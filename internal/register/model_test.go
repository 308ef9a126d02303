package register

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
)

// The model is a register with its acceptors, proposers, disks and network, as
// plain data that can be copied, so that a test can try every next event.
//
// Messages stay in the network for good: each may be delivered at any later
// time, any number of times, to whichever life then has the name, or never.
// That is loss, delay, repetition and every order at once.
//
// The value is the list of the orders accepted so far, one byte each; the
// version is its length. An order builds on a version, and is taken if it
// stands in the list already.

// modelOrder is what an operator sends: one letter on top of a version.
type modelOrder struct {
	letter byte
	base   int
}

func (o modelOrder) change(current []byte) (Decision, []byte) {
	switch {
	case bytes.IndexByte(current, o.letter) >= 0:
		return Keep, nil
	case len(current) != o.base:
		return Refuse, nil
	}
	return Replace, append(slices.Clone(current), o.letter)
}

// letters is a set of orders.
type letters [4]uint64

func (l letters) has(letter byte) bool     { return l[letter>>6]&(1<<(letter&63)) != 0 }
func (l letters) with(letter byte) letters { l[letter>>6] |= 1 << (letter & 63); return l }

// modelDisk is what a member keeps.
type modelDisk struct {
	acceptor Acceptor
	set      int64 // the version of the set it knows of
}

func (d modelDisk) same(other modelDisk) bool {
	return d.set == other.set && d.acceptor.Promised == other.acceptor.Promised && d.acceptor.Accepted == other.acceptor.Accepted
}

// modelMember is an acceptor, with all messages that were ever sent to it and by it.
type modelMember struct {
	name             string
	applied, durable modelDisk
	waiting          []int // answers that leave with the next sync
	to, from         []int // numbers of the messageTable
}

// modelProcess is one life of a proposer.
type modelProcess struct {
	proposer Proposer
	op       *Operation
	order    modelOrder
	before   letters // acknowledged before the current try began
	nextID   uint64  // operations are numbered anew in each life
	set      int64
}

// modelMessage is between a proposer's name and a member.
type modelMessage struct {
	proposer string
	body     any
}

// mutant is a fault that is built into the model, to see whether it is found.
type mutant struct {
	answerBeforeSync   bool // answers don't wait for the disk
	sharedLife         bool // all lives of a proposer have the same number
	answersOfAnyTry    bool // answers count for whatever try is on its way
	refuseWithoutWrite bool // what makes a change refused isn't written back
	keepWithoutWrite   bool // nor what is kept, though it stands at a minority only
	forgetPromise      bool // a promise is not kept against lower accepts
	answerAnySet       bool // members answer what is asked under another set
	joinAfterOneCopy   bool // a new member copies from one of two only
	removeWithoutCopy  bool // a leaving member is removed before the new one copied again
	smallQuorum        bool // one member less than a majority is enough
	anyAccepted        bool // a proposer goes on from the first promise, not from the highest
	compareNewestOnly  bool // an order is known as taken only while it is the newest
	refusalsAsPromises bool // a refused try goes on
}

// model is one state of the whole.
type model struct {
	mutant    mutant
	sets      []Set // by version, from 1
	chosen    int64 // the newest set
	members   []modelMember
	processes []modelProcess
	messages  *messageTable
	copied    []string // members of the newest set whose copy the joiner has

	orders                []modelOrder
	told                  int // the highest version that an operation ended with
	acknowledged, refused letters
	broken                string
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

// keyWriter writes what states are told apart by.
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

func (b *keyWriter) letters(l letters) {
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
	s := &model{mutant: m, sets: []Set{first}, chosen: 1, messages: &messageTable{ids: map[string]int{}}}
	for _, name := range first.Members {
		s.members = append(s.members, modelMember{name: name, applied: modelDisk{set: 1}, durable: modelDisk{set: 1}})
	}
	for i := range proposers {
		p := Proposer{Name: string(rune('p' + i)), Instance: 1, Timing: modelTiming}
		s.processes = append(s.processes, modelProcess{proposer: p, set: 1})
	}
	return s
}

// clone copies all that an event may change. Slices that only grow are shared:
// whoever appends to one has clipped it before.
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

// key is the same for states that can't be told apart by what follows. Members
// are alike but for what they hold, so they stand in any order.
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
		b.numbers(m.waiting)
		b.numbers(m.to)
		b.numbers(m.from)
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
			b.number(int64(p.order.letter), int64(o.phase), int64(o.atEnd), o.set.Version)
			b.ballot(o.Ballot)
			b.ballot(o.accepted)
			b.flag(o.split)
			b.text(string(o.current))
			b.text(string(o.next))
			b.letters(p.before)
		}
	}
	b.number(s.chosen)
	b.letters(s.acknowledged)
	b.letters(s.refused)
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

// put adds a number to an ordered list that other states may share.
func put(list []int, id int) []int {
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
			continue // gone for good
		}
		m.to = put(m.to, s.messages.id(modelMessage{p.proposer.Name, e.Message}))
	}
}

func (s *model) setOf(version int64) Set { return s.sets[version-1] }

// begin has a process start on an order.
func (s *model) begin(p *modelProcess, o modelOrder) {
	if !slices.Contains(s.orders, o) {
		s.orders = append(slices.Clone(s.orders), o)
	}
	p.nextID++
	p.order, p.before = o, s.acknowledged
	change := o.change
	if s.mutant.compareNewestOnly {
		change = o.changeOfTheNewest
	}
	var out []Envelope
	p.op, out = p.proposer.Begin(p.nextID, "register", change, s.setOf(p.set), 0)
	s.sendAll(p, out)
}

// changeOfTheNewest is the change of one who knows only the newest order as taken.
func (o modelOrder) changeOfTheNewest(current []byte) (Decision, []byte) {
	if len(current) > 0 && current[len(current)-1] != o.letter && len(current) != o.base {
		return Refuse, nil
	}
	return o.change(current)
}

// restart ends a life; the next one knows nothing of it.
func (s *model) restart(p *modelProcess) {
	life := p.proposer.Instance + 1
	if s.mutant.sharedLife {
		life = 1
	}
	p.proposer = Proposer{Name: p.proposer.Name, Instance: life, Timing: modelTiming}
	p.op, p.nextID = nil, 0
}

// retry lets the time for a try's answers run out.
func (s *model) retry(p *modelProcess) {
	p.before = s.acknowledged
	s.sendAll(p, p.op.Tick(s.setOf(p.set), p.op.sentMs+modelTiming.ResponseTimeoutMs+modelTiming.RetryBaseMs+1))
	p.op.sentMs, p.op.retryMs = 0, 0
}

// giveUp is the deadline: the outcome is unknown.
func (s *model) giveUp(p *modelProcess) {
	p.op.Tick(s.setOf(p.set), 2*modelTiming.DeadlineMs)
	s.settle(p)
}

// sync makes a member's writes durable, and lets its answers go.
func (s *model) sync(m *modelMember) {
	m.durable = m.applied
	for _, id := range m.waiting {
		m.from = put(m.from, id)
	}
	m.waiting = nil
}

// crash loses what wasn't synced.
func (s *model) crash(m *modelMember) {
	m.applied, m.waiting = m.durable, nil
}

// request brings a message to a member, if it is in the set that it knows of.
func (s *model) request(m *modelMember, id int) {
	if !slices.Contains(s.setOf(m.applied.set).Members, m.name) {
		return
	}
	message := s.messages.all[id]
	var answer any
	var write *Write
	switch body := message.body.(type) {
	case *Prepare:
		if promise, w := s.mutant.prepared(m.applied, body); promise != nil {
			answer, write = promise, w
		}
	case *Accept:
		if accepted, w := s.mutant.accepted(m.applied, body); accepted != nil {
			answer, write = accepted, w
		}
	}
	if answer == nil {
		return
	}
	back := s.messages.id(modelMessage{message.proposer, answer})
	if write != nil {
		m.applied.acceptor.Apply(*write)
	}
	if write == nil || s.mutant.answerBeforeSync {
		m.from = put(m.from, back)
		return
	}
	m.waiting = put(m.waiting, back)
}

func (f mutant) prepared(d modelDisk, body *Prepare) (*Promise, *Write) {
	if f.answerAnySet {
		d.set = body.SetVersion
	}
	return d.acceptor.OnPrepare(d.set, body)
}

func (f mutant) accepted(d modelDisk, body *Accept) (*Accepted, *Write) {
	if f.answerAnySet {
		d.set = body.SetVersion
	}
	if f.forgetPromise {
		d.acceptor.Promised = d.acceptor.Accepted
	}
	return d.acceptor.OnAccept(d.set, body)
}

// answer brings a member's message to the operation with its number, in
// whatever life now has the name.
func (s *model) answer(m *modelMember, id int) {
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
	if s.mutant.answersOfAnyTry {
		m.Ballot = o.Ballot
	}
	if s.mutant.anyAccepted && o.granted != 0 {
		m.Accepted, m.Value = Ballot{}, nil
	}
	if s.mutant.refusalsAsPromises && !m.OK {
		m = Promise{Op: m.Op, OK: true, Ballot: m.Ballot}
	}
	s.vote(o, from)
	out := o.OnPromise(from, &m, 0, noJitter)
	keeps := o.atEnd == Done && bytes.Equal(o.next, o.current)
	if len(out) > 0 && (s.mutant.refuseWithoutWrite && o.atEnd == Refused || s.mutant.keepWithoutWrite && keeps) {
		o.outcome, out = o.atEnd, nil
	}
	s.sendAll(p, out)
	s.settle(p)
}

func (s *model) onAccepted(p *modelProcess, from string, m Accepted) {
	if s.mutant.answersOfAnyTry {
		m.Ballot = p.op.Ballot
	}
	s.vote(p.op, from)
	p.op.OnAccepted(from, &m, 0, noJitter)
	s.settle(p)
}

// vote is the mutant for which one member less than a majority is enough.
func (s *model) vote(o *Operation, from string) {
	if s.mutant.smallQuorum {
		for _, other := range o.set.Members {
			if other != from {
				o.granted = o.granted.with(o.set, other)
				return
			}
		}
	}
}

// settle takes note of what an operation came to, and checks it.
func (s *model) settle(p *modelProcess) {
	o, letter := p.op, p.order.letter
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
	// Its answers may be older than what was acknowledged since its try began.
	s.checkValue(ofOperation, o.Value(), p.before)
	s.told = max(s.told, len(o.Value()))
	p.op = nil
}

func (s *model) onDone(p *modelProcess) {
	letter := p.order.letter
	if bytes.IndexByte(p.op.Value(), letter) < 0 {
		s.fail("%c is acknowledged, and isn't in %q", letter, p.op.Value())
	}
	for _, other := range s.orders {
		if other.letter != letter && other.base == p.order.base && s.acknowledged.has(other.letter) {
			s.fail("%c and %c are both acknowledged on version %d", letter, other.letter, other.base)
		}
	}
	s.acknowledged = s.acknowledged.with(letter)
}

func (s *model) fail(format string, args ...any) {
	if s.broken == "" {
		s.broken = fmt.Sprintf(format, args...)
	}
}

// ofOperation says that a value is what an operation ended with; any other
// place is the version of a set.
const ofOperation int64 = 0

func placeName(where int64) string {
	if where == ofOperation {
		return "what an operation ended with"
	}
	return fmt.Sprint("at a quorum of set ", where)
}

// checkValue checks a value that stands, or that a reader could find.
func (s *model) checkValue(where int64, value []byte, acknowledged letters) {
	for _, o := range s.orders {
		at := bytes.IndexByte(value, o.letter)
		switch {
		case acknowledged.has(o.letter) && at < 0:
			s.fail("%q stands (%s): %c was acknowledged and is lost", value, placeName(where), o.letter)
		case s.refused.has(o.letter) && at >= 0:
			s.fail("%q stands (%s): %c was refused and takes effect", value, placeName(where), o.letter)
		case at >= 0 && at != o.base:
			s.fail("%q stands (%s): %c builds on %d", value, placeName(where), o.letter, o.base)
		}
	}
}

// setsInUse is how many sets before the newest may yet be asked.
const setsInUse = 3

// check looks at what every quorum would tell a reader now, each member with
// what it applied or, after a crash, with what is durable.
func (s *model) check() {
	for version := max(1, s.chosen-setsInUse); version <= s.chosen; version++ {
		set := s.setOf(version)
		var disks [5][2]modelDisk
		var count [5]int
		for i, name := range set.Members {
			m := s.member(name)
			if m == nil {
				continue
			}
			if m.applied.set <= version { // it may answer under this set yet
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

// Changes of the set. The register that holds it is not part of the model: a
// set is chosen at a majority of the one before, and learned by each at any time.

// settled tells whether a majority of the newest set is in it for good.
func (s *model) settled() bool {
	set, in := s.setOf(s.chosen), 0
	for _, name := range set.Members {
		if s.member(name).durable.set == s.chosen {
			in++
		}
	}
	return in >= set.Majority()
}

func (s *model) choose(members []string) {
	s.chosen++
	s.sets = append(slices.Clone(s.sets), Set{Version: s.chosen, Members: members})
	s.copied = nil
}

// remove begins a set without a member.
func (s *model) remove(name string) {
	s.choose(slices.DeleteFunc(slices.Clone(s.setOf(s.chosen).Members), func(m string) bool { return m == name }))
}

// copyTo has a new member copy what one of the set has synced.
func (s *model) copyTo(joiner, from string) {
	if s.member(joiner) == nil {
		s.members = append(slices.Clone(s.members), modelMember{name: joiner, applied: modelDisk{set: s.chosen}, durable: modelDisk{set: s.chosen}})
	}
	a, m := s.member(from).durable.acceptor, s.member(joiner)
	if !a.Accepted.IsZero() {
		m.applied.acceptor.Apply(Write{Accept: true, Ballot: a.Accepted, Value: a.Value})
	}
	m.applied.acceptor.Apply(Write{Ballot: a.Promised})
	s.sync(m)
	s.copied = append(slices.Clone(s.copied), from)
}

// mayCopy tells whether a member serves copies now: it knows the newest set for good.
func (s *model) mayCopy(from string) bool {
	return s.member(from).durable.set == s.chosen && !slices.Contains(s.copied, from)
}

// mayJoin tells whether a new member has copied from a majority.
func (s *model) mayJoin() bool {
	need := s.setOf(s.chosen).Majority()
	if s.mutant.joinAfterOneCopy {
		need = 1
	}
	return len(s.copied) >= need && s.settled()
}

// join begins a set with a new member.
func (s *model) join(name string) {
	s.choose(append(slices.Clone(s.setOf(s.chosen).Members), name))
}

// learnSet tells a process of the newest set.
func (s *model) learnSet(p *modelProcess) {
	p.set = s.chosen
	if p.op != nil {
		p.before = s.acknowledged
		s.sendAll(p, p.op.Tick(s.setOf(p.set), p.op.sentMs))
		p.op.sentMs = 0
	}
}

// describe tells a state, for a failure's message.
func (s *model) describe() string {
	var b strings.Builder
	for _, m := range s.members {
		for _, d := range []modelDisk{m.applied, m.durable} {
			fmt.Fprintf(&b, "%s set %d promised %v accepted %v %q\n", m.name, d.set, d.acceptor.Promised, d.acceptor.Accepted, d.acceptor.Value)
		}
	}
	return b.String()
}
