package daemon

import (
	"reflect"
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// A core member whose disk failed no longer counts toward a majority of the core.
func TestFailedDiskStopsCounting(t *testing.T) {
	w := formed(t, 2, "ikenna")
	w.nodes["d01"].event(evDisk{Failed: "no space left"})
	w.run(1000)
	must.False(t, w.nodes["d01"].executor.node.inCore())
	w.traffic(5000)
	w.run(5000)
	requireAllDone(t, w, 20_000)
	checkHistory(t, w)
}

func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"queue":"a","steps":[{"name":"s","after":["s"],"tasks":[{"name":"t","room":1}]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		j, faults := parseJob("id", "", b)
		must.Eq(t, j == nil, len(faults) > 0)
	})
}

// Every kind of message has a handler.
func TestMessagesAreHandled(t *testing.T) {
	for _, kind := range wire.Kinds() {
		must.MapContainsKey(t, messageHandlers, reflect.PointerTo(messageType(kind)))
	}
}

// messageType returns the type of the messages of a kind.
func messageType(kind uint8) reflect.Type {
	t, _ := wire.MessageType(kind)
	return t
}
