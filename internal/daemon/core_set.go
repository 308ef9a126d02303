package daemon

import (
	"otterchute/internal/quorum"
	"otterchute/internal/wire"
)

// adoptCoreSet makes a newer core set of this daemon's cluster the current one.
func (n *node) adoptCoreSet(set quorum.Set) {
	if set.Cluster == 0 || n.core.Cluster != 0 && set.Cluster != n.core.Cluster || set.Version <= n.core.Version {
		return
	}
	if n.store != nil && set.Cluster == n.store.CoreSet().Cluster && set.Version < n.store.CoreSet().Version {
		return // after a start, the set on disk is newer but has not been restored yet
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
		// A new member waits for one lease duration before it grants leases. Under the
		// first set of a cluster there is nothing to wait for: if this disk had granted
		// anything under it, the set would be on the disk already.
		formed := set.Version == 1 && n.store.CoreSet().Version == 0
		n.persistCoreSet(set)
		if (!wasMember || completesSet) && n.inCore() && !formed {
			n.granter.DelayGrants(n.now)
		}
	}
}

// restartUnderCoreSet restarts each operation that the members of the previous set
// acknowledged only in part. A majority counts within one set, and a member that left
// may return under its old name with an empty disk.
func (n *node) restartUnderCoreSet() {
	n.restartChanges()
	for _, shard := range n.shards {
		if !shard.serving {
			shard.restartTakeover()
			shard.sealSentMs = 0
		}
		for _, write := range shard.writes {
			if !write.committed {
				write.acked, write.sentMs = map[string]bool{}, 0
			}
		}
	}
}

// onSealResponse merges a response, unless it was sent under another core set.
func (n *node) onSealResponse(from string, m *wire.SealResponse) {
	if m.SetVersion == n.core.Version {
		n.mergeSeal(from, m)
	}
}

// onWriteResponse applies a response, unless it was sent under another core set.
func (n *node) onWriteResponse(from string, m *wire.WriteResponse) {
	if m.SetVersion == n.core.Version {
		n.applyWriteResponse(from, m)
	}
}

// inCore reports whether this daemon is a member of the core set and its disk works.
func (n *node) inCore() bool {
	return n.store != nil && n.diskFailed == "" && n.store.Cluster() != 0 && n.core.Has(n.Name, n.DiskID)
}
