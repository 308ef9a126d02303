package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
)

// onDisk follows the disk through a failure. While it is failed this daemon
// counts itself to no majority (see inCore) and tells the others that it has no
// disk. Its store stays as it is, ahead of the disk by what is held up: nothing
// is answered from it until all of that is synced. Its leases stay too: they
// were given in this life and never needed a disk, so no guard is due.
func (n *node) onDisk(e evDisk) {
	switch {
	case e.Failed != "":
		if n.diskFailed == "" {
			n.log("disk_failed", "reason", e.Failed)
		}
		n.diskFailed = e.Failed
	case e.Lost:
		n.log("disk_lost_entries")
		n.resetDisk()
	case e.Recovered:
		n.log("disk_recovered", "reason", n.diskFailed)
		n.diskFailed = ""
	}
	n.peers.GossipSoon() // the others hear of it at once
}

// resetDisk makes this daemon's disk a new, empty one.
func (n *node) resetDisk() {
	n.DiskID, n.store, n.granter = n.rand().Uint64()|1, statestore.New(), lease.NewGranter()
	n.members.OnDiskReset()
	n.emit(effWipe{DiskID: n.DiskID})
	n.log("disk_restarted", "disk", n.DiskID)
}
