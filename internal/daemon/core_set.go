package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

func (n *node) adoptCoreSet(set quorum.Set) {
	if set.Cluster == 0 || n.core.Cluster != 0 && set.Cluster != n.core.Cluster || set.Version <= n.core.Version {
		return
	}
	if n.store != nil && set.Cluster == n.store.CoreSet().Cluster && set.Version < n.store.CoreSet().Version {
		return // at a start, before the set on disk was taken up
	}
	wasMember, firstSet := n.inCore(), n.core.Cluster == 0
	completesSet := n.members.CompletesSet(n.core, set)
	previous := n.core
	n.core = set
	n.leases.OnCoreSet(previous, set)
	if firstSet {
		n.members.OnCoreSet()
		defer n.peers.BroadcastCoreSet()
	}
	n.restartUnderCoreSet()
	n.log("core_set", "version", set.Version, "members", set.Names())
	if n.store != nil && n.store.Cluster() == set.Cluster {
		// A joined member waits one lease before it grants. At the very first
		// set there is nothing to wait for: had this disk granted anything
		// under it, the set would have been synced before.
		formed := set.Version == 1 && n.store.CoreSet().Version == 0
		n.persistCoreSet(set)
		if (!wasMember || completesSet) && n.inCore() && !formed {
			n.granter.DelayGrants(n.now)
		}
	}
}

// restartUnderCoreSet begins anew what members under the former set acknowledged only
// in part: a majority counts within one set, and one that left may be back
// under its old name with an empty disk.
func (n *node) restartUnderCoreSet() {
	n.restartChanges()
	for _, shard := range n.shards {
		if !shard.serving {
			shard.restartTakeover()
			shard.sealSentMs = 0
		}
		for _, write := range shard.writes {
			if !write.done {
				write.acked, write.sentMs = map[string]bool{}, 0
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
