package daemon

import (
	"otterchute/internal/lease"
	"otterchute/internal/statestore"
)

// onDisk handles a failure of the disk and its recovery. While the disk is failed, this
// daemon belongs to no majority (see inCore) and reports to the others that it has no
// disk. Its store is kept. It is ahead of the disk by the entries that are not written yet,
// and no response is sent from it until they are synced. The leases that it granted are kept too:
// they were granted by this process and never depended on the disk, so further grants need
// no delay.
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
	n.peers.GossipSoon() // reports the new state of the disk at once
}

// resetDisk wipes this daemon's disk and gives it a new ID.
func (n *node) resetDisk() {
	n.DiskID, n.store, n.granter = n.rand().Uint64()|1, statestore.New(), lease.NewGranter()
	n.members.OnDiskReset()
	n.emit(effWipe{DiskID: n.DiskID})
	n.log("disk_restarted", "disk", n.DiskID)
}
