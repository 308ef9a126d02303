package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

func (n *node) adoptCoreSet(c quorum.Set) {
	if c.Cluster == 0 || n.core.Cluster != 0 && c.Cluster != n.core.Cluster || c.Version <= n.core.Version {
		return
	}
	if n.store != nil && c.Cluster == n.store.CoreSet().Cluster && c.Version < n.store.CoreSet().Version {
		return // at a start, before the set on disk was taken up
	}
	was, first := n.inCore(), n.core.Cluster == 0
	fillsUp := n.members.CompletesSet(n.core, c)
	before := n.core
	n.core = c
	n.leases.OnCoreSet(before, c)
	if first {
		n.members.OnCoreSet()
		defer n.peers.BroadcastCoreSet()
	}
	n.onCoreSetChanged()
	n.log("core_set", "version", c.Version, "members", c.Names())
	if n.store != nil && n.store.Cluster() == c.Cluster {
		// A joined member waits one lease before it grants. At the very first
		// set there is nothing to wait for: had this disk granted anything
		// under it, the set would have been synced before.
		formed := c.Version == 1 && n.store.CoreSet().Version == 0
		n.persistSet(c)
		if (!was || fillsUp) && n.inCore() && !formed {
			n.granter.DelayGrants(n.now)
		}
	}
}

// onCoreSetChanged begins anew what members under the former set acknowledged only
// in part: a majority counts within one set, and one that left may be back
// under its old name with an empty disk.
func (n *node) onCoreSetChanged() {
	n.restartChanges()
	for _, shard := range n.shards {
		if !shard.serving {
			shard.restartTakeover()
			shard.sealSentMs = 0
		}
		for _, b := range shard.writes {
			if !b.done {
				b.acked, b.sentMs = map[string]bool{}, 0
			}
		}
	}
}

// onSealResponse and onWriteResponse drop what a member said under another set.
func (n *node) onSealResponse(from string, m *wire.SealResponse) {
	if m.SetVersion == n.core.Version {
		n.mergeSeal(from, m)
	}
}

func (n *node) onWriteResponse(from string, m *wire.WriteResponse) {
	if m.SetVersion == n.core.Version {
		n.applyWriteResponse(from, m)
	}
}

func (n *node) inCore() bool {
	return n.store != nil && n.diskFailed == "" && n.store.Cluster() != 0 && n.core.Has(n.Name, n.DiskID)
}
