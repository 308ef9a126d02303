package daemon

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
	"time"

	"otterchute/internal/register"
	"otterchute/internal/wire"

	"golang.org/x/sys/unix"
)

// The roles that an experiment counts by. A daemon has one or several of them.
const (
	roleEvery   = "every daemon" // membership, polls of the core, setups
	roleCore    = "core member"
	roleOwner   = "slice owner"
	roleLocal   = "local scheduler"
	roleCentral = "central scheduler"
	roleAgent   = "agent"
	roleFront   = "front"

	wholeEdge = "edge daemon"    // all that one costs, whatever its roles
	wholeSide = "side daemon"    // one beside a worker
	busiest   = "busiest daemon" // by each measure the highest of all
)

var allRoles = []string{
	roleEvery,
	roleCore,
	roleOwner,
	roleLocal,
	roleCentral,
	roleAgent,
	roleFront,
	wholeEdge,
	wholeSide,
	busiest,
}

// kindRoles names, for each kind of message, the role that sends it and the one
// whose work it is to take it.
var kindRoles = map[reflect.Type][2]string{
	reflect.TypeFor[wire.Gossip]():            {roleEvery, roleEvery},
	reflect.TypeFor[wire.Digest]():            {roleEvery, roleEvery},
	reflect.TypeFor[wire.DigestReply]():       {roleEvery, roleEvery},
	reflect.TypeFor[wire.PollRequest]():       {roleEvery, roleCore},
	reflect.TypeFor[wire.PollResponse]():      {roleCore, roleEvery},
	reflect.TypeFor[register.Prepare]():       {roleEvery, roleCore},
	reflect.TypeFor[register.Promise]():       {roleCore, roleEvery},
	reflect.TypeFor[register.Accept]():        {roleEvery, roleCore},
	reflect.TypeFor[register.Accepted]():      {roleCore, roleEvery},
	reflect.TypeFor[wire.RegisterRead]():      {roleEvery, roleCore},
	reflect.TypeFor[wire.RegisterValue]():     {roleCore, roleEvery},
	reflect.TypeFor[wire.SealRequest]():       {roleOwner, roleCore},
	reflect.TypeFor[wire.SealResponse]():      {roleCore, roleOwner},
	reflect.TypeFor[wire.WriteRequest]():      {roleOwner, roleCore},
	reflect.TypeFor[wire.WriteResponse]():     {roleCore, roleOwner},
	reflect.TypeFor[wire.FetchRequest]():      {roleOwner, roleCore},
	reflect.TypeFor[wire.FetchResponse]():     {roleCore, roleOwner},
	reflect.TypeFor[wire.Forward]():           {roleFront, roleOwner},
	reflect.TypeFor[wire.ForwardReply]():      {roleOwner, roleFront},
	reflect.TypeFor[wire.Placement]():         {roleLocal, roleAgent},
	reflect.TypeFor[wire.AgentReport]():       {roleAgent, roleOwner},
	reflect.TypeFor[wire.OwnerReply]():        {roleOwner, roleAgent},
	reflect.TypeFor[wire.AllocationRequest](): {roleOwner, roleCentral},
	reflect.TypeFor[wire.Allocation]():        {roleCentral, roleOwner},
	reflect.TypeFor[wire.Ranks]():             {roleCentral, roleLocal},
	reflect.TypeFor[wire.Promotion]():         {roleCentral, roleAgent},
	reflect.TypeFor[wire.Estimates]():         {roleOwner, roleLocal},
	reflect.TypeFor[wire.QueueCounts]():       {roleOwner, roleFront},
	reflect.TypeFor[wire.FormRequest]():       {roleCore, roleCore},
	reflect.TypeFor[wire.FormResponse]():      {roleCore, roleCore},
	reflect.TypeFor[wire.CopyRequest]():       {roleCore, roleCore},
	reflect.TypeFor[wire.CopyResponse]():      {roleCore, roleCore},
}

// stateRoles names the parts of a daemon's state by the role that needs them.
var stateRoles = map[string]string{
	"peers":       roleEvery,
	"core":        roleEvery,
	"leases":      roleEvery,
	"changes":     roleEvery,
	"config":      roleEvery,
	"store":       roleCore,
	"granter":     roleCore,
	"members":     roleCore,
	"owned":       roleOwner,
	"workers":     roleOwner,
	"estimates":   roleLocal,
	"ranks":       roleLocal,
	"agents":      roleAgent,
	"central":     roleCentral,
	"forwarded":   roleFront,
	"quorumReads": roleFront,
}

func kindName(kind uint8) string {
	if t := messageType(kind); t != nil {
		return t.Name()
	}
	return fmt.Sprint("kind ", kind)
}

// messageType gives the type of a kind's messages, nil for an unknown kind.
func messageType(kind uint8) reflect.Type {
	t, _ := wire.MessageType(kind)
	return t
}

// takerOf tells whose work a message is at the daemon that takes it.
func takerOf(msg any) string {
	switch m := msg.(type) {
	case *wire.AgentReport:
		if m.Shard == "" {
			return roleCentral
		}
	case *wire.Forward:
		if strings.HasPrefix(m.Op, "worker.") {
			return roleAgent
		}
	}
	return kindRoles[reflect.TypeOf(msg).Elem()][1]
}

// tally is a count and what it sums up.
type tally struct{ N, Bytes int64 }

func (t tally) plus(o tally) tally { return tally{t.N + o.N, t.Bytes + o.Bytes} }

func (t tally) most(o tally) tally { return tally{max(t.N, o.N), max(t.Bytes, o.Bytes)} }

// flow is a role's traffic in one kind of message.
type flow struct {
	Role, Kind string
	Out        bool
}

// meter counts one daemon's messages at the wire, and the time that its control
// thread spends for each role. A nil meter, as in the product, counts nothing.
type meter struct {
	mu    sync.Mutex
	flows map[flow]tally
	spent map[string]work // by role: reducer and executor
	mark  instant
	role  string // whose the event being reduced is
}

// instant is a time by the thread's processor time and by the wall.
type instant struct {
	thread int
	spent  int64 // ns
	wall   time.Time
}

func now() instant {
	var ts unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts)
	return instant{unix.Gettid(), ts.Nano(), time.Now()}
}

// work is the processor time of a role's steps. A step that was moved to another
// thread on its way shows nothing: it counts as long as the mean of the others.
type work struct {
	sum         time.Duration
	good, moved int64
}

func (w work) add(from, to instant) work {
	if d := time.Duration(
		to.spent - from.spent,
	); from.thread == to.thread && d >= 0 &&
		d <= to.wall.Sub(from.wall)+time.Millisecond {
		return work{w.sum + d, w.good + 1, w.moved}
	}
	return work{w.sum, w.good, w.moved + 1}
}

func (w work) time() time.Duration {
	if w.good == 0 {
		return 0
	}
	return w.sum + w.sum*time.Duration(w.moved)/time.Duration(w.good)
}

func newMeter() *meter { return &meter{flows: map[flow]tally{}, spent: map[string]work{}} }

func (m *meter) add(f flow, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.flows[f]
	m.flows[f] = tally{t.N + 1, t.Bytes + int64(bytes) + 4} // the length that the stream puts before a frame
}

func (m *meter) Sent(frame []byte) {
	if m == nil {
		return
	}
	kind := wire.FrameKind(frame)
	m.add(flow{kindRoles[messageType(kind)][0], kindName(kind), true}, len(frame))
}

func (m *meter) Received(msg any, bytes int) {
	if m == nil {
		return
	}
	m.add(flow{takerOf(msg), reflect.TypeOf(msg).Elem().Name(), false}, bytes)
}

func (m *meter) begin() {
	if m != nil {
		m.mark = now()
	}
}

// endPart gives the time since the last one to a role.
func (m *meter) endPart(role string) {
	at := now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] = m.spent[role].add(m.mark, at)
	m.mark = at
}

func (m *meter) reduced(body any) {
	if m == nil {
		return
	}
	role := roleEvery
	switch e := body.(type) {
	case evMsg:
		role = takerOf(e.Msg)
	case evRequest:
		role = roleFront
		if strings.HasPrefix(e.Op, "worker.") {
			role = roleAgent
		}
	case evOrder:
		role = roleAgent
	case evTick: // its parts were told apart; what is left is the owners' writes
		role = roleOwner
	}
	m.role = role
	m.endPart(role)
}

func (m *meter) carried(e effect, began instant) {
	role := roleEvery
	switch x := e.(type) {
	case effSend:
		role = kindRoles[reflect.TypeOf(x.Msg).Elem()][0]
		if _, ok := x.Msg.(*wire.ForwardReply); ok {
			role = roleOwner
		}
	case effAppend, effSnapshot, effWipe:
		role = roleCore
	case effReply:
		role = m.role
	case effOrder:
		role = roleAgent
	}
	at := now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.spent[role] = m.spent[role].add(began, at)
}
