package ingress

import (
	"context"
	"slices"
	"sync"
)

// workPool bounds the memory of work that takes much of it for a short time, such as decoding.
type workPool struct {
	capacity int64

	mu      sync.Mutex
	used    int64
	waiting []*workRequest // in order of arrival
}

// workRequest is work that waits for its memory.
type workRequest struct {
	bytes   int64
	granted chan struct{}
}

// BeginWork waits until work that needs a number of bytes may begin, and returns the function that ends it. Work
// begins in the order of the calls; what needs more than the whole pool runs alone. The work itself must not wait for
// clients. An error means that ctx ended first.
//
// Example: end, err := gate.BeginWork(ctx, 16*int64(len(body)))
func (g *Gate) BeginWork(ctx context.Context, bytes int64) (end func(), err error) {
	return g.work.begin(ctx, bytes)
}

func (p *workPool) begin(ctx context.Context, bytes int64) (end func(), err error) {
	request := &workRequest{bytes: min(bytes, p.capacity), granted: make(chan struct{})}
	p.mu.Lock()
	p.waiting = append(p.waiting, request)
	p.grantLocked()
	p.mu.Unlock()
	select {
	case <-request.granted:
	case <-ctx.Done():
		if p.withdraw(request) {
			return nil, ctx.Err()
		}
	}
	return func() { p.end(request.bytes) }, nil
}

// withdraw removes work that waits, and reports whether it had not been granted.
func (p *workPool) withdraw(request *workRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.waiting, request)
	if at < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, at, at+1)
	p.grantLocked() // it may have held up what came later
	return true
}

func (p *workPool) end(bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= bytes
	p.grantLocked()
}

// grantLocked lets waiting work begin, in order, as far as the pool reaches.
func (p *workPool) grantLocked() {
	for len(p.waiting) > 0 && p.used+p.waiting[0].bytes <= p.capacity {
		p.used += p.waiting[0].bytes
		close(p.waiting[0].granted)
		p.waiting = p.waiting[1:]
	}
}
