package daemon

import (
	"slices"

	"otterchute/internal/configuration"
)

// rebindRenamedQueues handles live jobs that are stored under the name of a queue which the new configuration has only
// under another name. Their records are changed to an address of the queue that it still has. Jobs that are stored
// under an address need no change: see Configuration.Queue.
func (n *node) rebindRenamedQueues(previous *configuration.Configuration) {
	for _, name := range sortedKeys(n.shards) {
		shard := n.shards[name]
		for _, id := range sortedKeys(shard.jobs) {
			if job := shard.jobs[id]; job.DoneMs == 0 {
				n.rebindJob(shard, job, previous)
			}
		}
	}
}

// rebindJob changes the queue of a job from the former name of the queue to one of its addresses.
func (n *node) rebindJob(shard *ownedShard, job *liveJob, previous *configuration.Configuration) {
	formerQueue := previous.DeclaredQueue(job.Queue)
	if configuration.IsAddressKey(job.Queue) || formerQueue == nil || n.config.current.DeclaredQueue(job.Queue) != nil {
		return
	}
	kept := slices.IndexFunc(formerQueue.Addresses, func(a configuration.Address) bool {
		return n.config.current.DeclaredQueue(a.Key()) != nil
	})
	if kept < 0 {
		return
	}
	shard.removeLive(job)
	job.Queue = formerQueue.Addresses[kept].Key()
	shard.liveByQueue[job.Queue]++
	n.markDirty(shard, job)
	n.count("jobs_rebound")
}

// removeLive takes a job out of the count of live jobs by queue.
func (s *ownedShard) removeLive(job *liveJob) {
	s.liveByQueue[job.Queue]--
	if s.liveByQueue[job.Queue] <= 0 {
		delete(s.liveByQueue, job.Queue)
	}
}
