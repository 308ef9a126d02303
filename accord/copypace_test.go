package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A slice as full as it may be, with a large configuration beside it, is copied
// in parts; with -measure it prints what each part takes of the control thread.
func TestCopyOfFullSlice(t *testing.T) {
	st := newStore()
	value := make([]byte, 6<<10)
	for i := range value {
		value[i] = byte(i * 7919 >> 3)
	}
	count := sliceBytes / len(value)
	for i := range count {
		st.apply(logEntry{Kind: entryRecord, Name: "east", Rec: record{ID: fmt.Sprintf("job-%06d", i), Epoch: 1, Version: 1, Live: true, Value: value}})
	}
	st.apply(logEntry{Kind: entryAccept, Name: "setup", Ballot: ballot{Round: 1, Proposer: "d00"}, Value: deflate(largeSetup(1500))})
	copied := newStore()
	parts, largest, longest := 0, 0, time.Duration(0)
	for c := (copyCursor{}); ; {
		began := time.Now()
		part, next := st.part(c, chunkBytes)
		frame := sealFrame(wireHead{From: "d00"}, &copiedMsg{At: c, Next: next, Entries: part})
		longest = max(longest, time.Since(began))
		parts, largest = parts+1, max(largest, len(frame))
		for _, e := range part {
			copied.apply(e)
		}
		if next.Slice == "" {
			break
		}
		c = next
	}
	must.Eq(t, count, copied.records("east"))
	must.Less(t, 2*chunkBytes, largest)
	if *measureFlag {
		t.Logf("%d parts, the largest %d bytes, %s on the control thread", parts, largest, longest)
	}
}
