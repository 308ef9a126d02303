package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// Checks each outcome of an order over real connections.
func TestOrderOutcomes(t *testing.T) {
	hits, hang := atomic.Int64{}, make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		switch r.URL.Path {
		case "/stop":
			w.WriteHeader(409)
		case "/run":
			if r.ContentLength > 10 {
				<-hang
			}
		}
	}))
	defer s.Close()
	defer close(hang)
	c := &orderSender{clock: newSteadyClock(), slots: make(chan struct{}, 2)}
	addr := strings.TrimPrefix(s.URL, "http://")
	late, good := c.clock.nowMs()-1, c.clock.nowMs()+60_000
	must.Eq(t, "not_sent", c.deliver(effOrder{Addr: addr, NotAfterMs: late, Body: []byte("{}")}))
	must.Zero(t, hits.Load(), must.Sprint("an expired order was sent"))
	must.Eq(t, "started", c.deliver(effOrder{Addr: addr, NotAfterMs: good, Body: []byte("{}")}))
	must.Eq(t, "turned_away", c.deliver(effOrder{Addr: addr, NotAfterMs: good, Stop: true, Body: []byte("{}")}))
	must.Eq(t, "unknown", c.deliver(effOrder{Addr: addr, NotAfterMs: good, Body: []byte(`{"id":"never answered"}`)}))
	must.Eq(t, "not_sent", c.deliver(effOrder{Addr: freePorts(t, 1)[0], NotAfterMs: good, Body: []byte("{}")}))
}
