package ingress

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

// Reasons why a body is not read.
var (
	// ErrTooLarge means that a body is larger than allowed.
	ErrTooLarge = errors.New("too large")
	// ErrTruncated means that a body ended too early.
	ErrTruncated = errors.New("the body is cut short")
	// ErrNoRoom means that there is no memory for a body or a response now.
	ErrNoRoom = errors.New("no room for this request now")
)

const (
	// freeBodyBytes of a body, or of a response, need no reservation; connectionCost includes them.
	freeBodyBytes = 8 << 10
	// firstBodyBytes is the size of the first buffer of a body. It grows only as data arrives.
	firstBodyBytes = 1 << 10
	// freeHeadBytes is the memory of a request's parsed head that needs no reservation.
	freeHeadBytes = 4 << 10
	// headerEntryCost is the memory of an entry of the header map, besides its texts, in bytes.
	headerEntryCost = 128
)

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// ConnContext puts a connection into the context of its requests; it is for http.Server.ConnContext.
//
// Example: server := http.Server{ConnContext: ingress.ConnContext}
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ConnState releases what a request held once its connection is idle; it is for http.Server.ConnState.
//
// Example: server := http.Server{ConnState: ingress.ConnState}
func ConnState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.RequestDone()
	}
}

// Handler returns a handler that notes what each request holds before it calls the next one.
//
// Example: server := http.Server{Handler: ingress.Handler(mux)}
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && !c.beginRequest(r) {
			panic(http.ErrAbortHandler) // the gate has closed the connection, or there is no room for the headers
		}
		next.ServeHTTP(w, r)
	})
}

// beginRequest notes that the head of a request has been read.
func (c *Conn) beginRequest(r *http.Request) bool {
	cost := int64(len(r.RequestURI))
	for key, values := range r.Header {
		cost += headerEntryCost + int64(len(key))
		for _, value := range values {
			cost += int64(len(value))
		}
	}
	if !c.headRead(max(0, cost-freeHeadBytes)) {
		return false
	}
	return r.ContentLength != 0 || c.RequestRead()
}

// ReadBody reads a body of at most maxBytes. Its buffer grows as data arrives, and what exceeds a small size is
// reserved first. The errors are ErrTooLarge, ErrTruncated and ErrNoRoom.
//
// Example: body, err := ingress.ReadBody(r, 1<<20)
func ReadBody(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, ErrTooLarge
	}
	if r.ContentLength >= 0 {
		maxBytes = r.ContentLength
	}
	reader := bodyReader{conn: connOf(r.Context()), limit: maxBytes}
	err := reader.readAll(r.Body)
	switch {
	case err != nil:
		return nil, err
	case r.ContentLength > int64(len(reader.buffer)):
		return nil, ErrTruncated
	case reader.conn != nil && !reader.conn.RequestRead():
		return nil, ErrNoRoom
	}
	return reader.buffer, nil
}

// bodyReader reads a body into a buffer that grows.
type bodyReader struct {
	conn   *Conn // nil if nothing is reserved
	buffer []byte
	limit  int64
}

func (b *bodyReader) readAll(in io.Reader) error {
	for {
		if len(b.buffer) == cap(b.buffer) && int64(len(b.buffer)) < b.limit {
			if !b.grow() {
				return ErrNoRoom
			}
		}
		if int64(len(b.buffer)) == b.limit {
			return expectEnd(in)
		}
		n, err := in.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(ErrTruncated, err.Error())
		}
	}
}

// grow doubles the buffer, within the limit.
func (b *bodyReader) grow() bool {
	size := min(max(firstBodyBytes, 2*int64(cap(b.buffer))), b.limit)
	added := max(0, size-freeBodyBytes) - max(0, int64(cap(b.buffer))-freeBodyBytes)
	if b.conn != nil && !b.conn.Reserve(added) {
		return false
	}
	grown := make([]byte, len(b.buffer), size)
	copy(grown, b.buffer)
	b.buffer = grown
	return true
}

// expectEnd reads the end of a body that has reached its limit.
func expectEnd(in io.Reader) error {
	var one [1]byte
	for {
		n, err := in.Read(one[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(ErrTruncated, err.Error())
		}
	}
}

// Reserve reserves the memory of something that a request holds until it is done, such as its response. What is small
// needs no reservation. It reports whether there was room.
//
// Example: if !ingress.Reserve(r.Context(), len(body)) { w.WriteHeader(http.StatusServiceUnavailable) }
func Reserve(ctx context.Context, bytes int) bool {
	c := connOf(ctx)
	return c == nil || c.Reserve(int64(bytes)-freeBodyBytes)
}
