package daemon

import (
	"testing"

	"otterchute/internal/wire"

	"github.com/shoenig/test/must"
)

// Guards against core members that differ after a lost write: a member that lacks a record's version
// must reply so at once and get the whole record. Acknowledged writes are at a quorum all the same.
func TestMemberThatLacksAVersionGetsItWhole(t *testing.T) {
	for seed := range uint64(4) {
		b := formPlatform(t, 7100+seed, "hakata")
		lost, patches, wholeBytes, patchBytes := 0, 0, 0, 0
		b.extraDelayUs = func(_, to string, msg any) int64 {
			w, ok := msg.(*wire.WriteRequest)
			if !ok {
				return 0
			}
			patches += len(w.Patches)
			for _, p := range w.Patches {
				patchBytes += p.Size()
			}
			for _, r := range w.Records {
				wholeBytes += r.Size()
			}
			if to == b.diskHosts[0] && len(w.Records) > 0 && lost < 5 {
				lost++
				return 300_000_000 // it never arrives
			}
			return 0
		}
		b.day(8000)
		must.Eq(t, 5, lost)
		must.Positive(t, patches)
		must.Less(t, 2*wholeBytes+1<<20, patchBytes)
		must.Positive(t, b.total("writes_lacking"))
		b.finish(60_000)
		checkPlatformRun(t, b)
		b.run(3000)
		first := b.nodes[b.diskHosts[0]].executor.node.store
		for _, host := range b.diskHosts[1:] {
			other := b.nodes[host].executor.node.store
			for _, name := range other.ShardNames() {
				must.Eq(t, len(other.Shard(name).Live()), len(first.Shard(name).Live()), must.Sprint(seed, host, name))
				for _, r := range other.Shard(name).Live() {
					mine, known := first.Shard(name).Get(r.ID)
					must.True(t, known)
					must.Eq(t, r.Version, mine.Version)
				}
			}
		}
	}
}
