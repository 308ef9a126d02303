package daemon

import (
	"fmt"
	"testing"
	"time"

	"otterchute/internal/configuration"
	"otterchute/internal/register"
	"otterchute/internal/statestore"
	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// A full shard and a large configuration are copied in bounded parts. With -measure the test
// prints how long each part takes on the control thread.
func TestCopyOfFullShard(t *testing.T) {
	st := statestore.New()
	value := make([]byte, 6<<10)
	for i := range value {
		value[i] = byte(i * 7919 >> 3)
	}
	count := shardBytesMax / len(value)
	for i := range count {
		st.Apply(statestore.Entry{Kind: statestore.EntryRecord, Name: "east", Record: statestore.Record{ID: fmt.Sprintf("job-%06d", i), Epoch: 1, Version: 1, Live: true, Value: value}})
	}
	st.Apply(statestore.Entry{Kind: statestore.EntryAccept, Name: "setup", Ballot: register.Ballot{Round: 1, Proposer: "d00"}, Value: configuration.Deflate(largeSetup(1500))})
	copied := statestore.New()
	parts, largest, longest := 0, 0, time.Duration(0)
	for c := (statestore.Cursor{}); ; {
		began := time.Now()
		part, next := st.CopyPart(c, statestore.ChunkBytes)
		frame := wire.EncodeFrame(wire.Header{From: "d00"}, &wire.CopyResponse{Cursor: c, Next: next, Entries: part})
		longest = max(longest, time.Since(began))
		parts, largest = parts+1, max(largest, len(frame))
		for _, e := range part {
			copied.Apply(e)
		}
		if next.Shard == "" {
			break
		}
		c = next
	}
	must.Eq(t, count, recordsIn(copied, "east"))
	must.Less(t, 2*statestore.ChunkBytes, largest)
	if *measureFlag {
		t.Logf("%d parts, the largest %d bytes, %s on the control thread", parts, largest, longest)
	}
}
