// Package ingress bounds what clients can make a process hold: connections and descriptors, the memory of requests
// that are incomplete or in service, and the memory of responses that their clients don't read.
//
// A Budget divides the memory and the descriptors of the process among its listeners, so that the clients of one
// listener can't use up what another one needs. Each listener has a Gate. While a Gate has room, it does nothing but
// count. When it has none left, it takes the cheapest step that makes room: it closes the connection that has been idle
// for longest, then the one that has been sending an incomplete request for longest, then one whose client doesn't
// read, and refuses the newcomer only if there is none of these. A connection whose request has been read whole is
// never closed before its response.
package ingress

import "math"

// Limits are what the process may use.
type Limits struct {
	MemoryBytes int64
	Descriptors int // open files and sockets
}

// Class is a group of clients that share a listener.
type Class int

// The classes of clients.
const (
	Callers Class = iota // submit and query jobs
	Probes               // check the readiness
	Control              // workers and operators
	Peers                // other daemons
	API                  // callers of the daemon's own HTTP API
	classCount
)

const (
	// reservedDescriptors are left for files.
	reservedDescriptors = 200
	// connectionCost is the memory that a connection may take without a reservation, in bytes: its goroutine, its
	// buffers, a small request, and what the kernel keeps of bytes that have not been read.
	connectionCost = 64 << 10
	// receiveBufferBytes bounds the kernel's receive buffer of a client's connection.
	receiveBufferBytes = 32 << 10
	// minPoolBytes is the smallest pool for reservations.
	minPoolBytes = 1 << 20
	// minConnections is the smallest number of connections of a listener.
	minConnections = 8
	// documentMemory divides the memory; the quotient is the size of the largest document. One of many short texts
	// takes some ten times its size while it is decoded.
	documentMemory = 48
	// minDocumentBytes is the size of documents that are decoded in any case.
	minDocumentBytes = 1 << 20
	// untrustedPeerMemory divides the memory; the quotient bounds the connections on which no valid frame has arrived
	// yet, at untrustedPeerCost each.
	untrustedPeerMemory = 16
	// untrustedPeerCost is the memory of such a connection without a reservation, in bytes.
	untrustedPeerCost = 32 << 10
)

// share is the part of the process's limits that a class gets, as divisors.
type share struct {
	descriptors      int   // divides the descriptors that are left for sockets
	connectionMemory int64 // divides the memory; the quotient bounds the connections at connectionCost each; 0: unbounded
	pool             int64 // divides the memory; the quotient is the pool for reservations
}

// shares add up to just under half of the memory and two thirds of the descriptors. The rest is for the daemon's own
// state, the garbage collector, and its connections to other daemons.
var shares = [classCount]share{
	Callers: {descriptors: 5, connectionMemory: 8, pool: 16},
	Probes:  {descriptors: 64, connectionMemory: 64, pool: 64},
	Control: {descriptors: 16, connectionMemory: 32, pool: 16},
	Peers:   {descriptors: 3, pool: 8}, // one connection for each daemon, and those that are not trusted yet
	API:     {descriptors: 32, connectionMemory: 64, pool: 32},
}

// Budget holds the gates of all listeners of a process.
type Budget struct {
	gates            [classCount]*Gate
	maxDocumentBytes int64
}

// NewBudget divides the limits among the classes.
//
// Example: b := ingress.NewBudget(ingress.Limits{MemoryBytes: 284 << 20, Descriptors: 4100})
func NewBudget(l Limits) *Budget {
	b := &Budget{maxDocumentBytes: max(minDocumentBytes, l.MemoryBytes/documentMemory)}
	sockets := max(0, l.Descriptors-reservedDescriptors)
	for class, s := range shares {
		connections := sockets / s.descriptors
		if s.connectionMemory > 0 {
			connections = min(connections, int(l.MemoryBytes/s.connectionMemory/connectionCost))
		}
		b.gates[class] = newGate(max(minConnections, connections), max(minPoolBytes, l.MemoryBytes/s.pool))
	}
	peers := b.gates[Peers]
	peers.maxUntrusted = min(int(l.MemoryBytes/untrustedPeerMemory/untrustedPeerCost), peers.maxConnections/2)
	peers.isHTTP = false
	return b
}

// Unlimited returns a budget for tests and for programs that serve only their own process.
//
// Example: gate := ingress.Unlimited().Gate(ingress.API)
func Unlimited() *Budget {
	return NewBudget(Limits{MemoryBytes: math.MaxInt64, Descriptors: math.MaxInt32})
}

// MaxDocumentBytes returns the size of the largest document that the process can decode within its memory.
func (b *Budget) MaxDocumentBytes() int64 { return b.maxDocumentBytes }

// Gate returns the gate of a class.
func (b *Budget) Gate(class Class) *Gate { return b.gates[class] }
