package configuration

import (
	"maps"
	"slices"

	"otterchute/internal/codec"
)

// MaxRetired is how many retired queues a Record holds; every daemon receives them with each version. Beyond it the
// oldest are dropped, and jobs that are left at their addresses wait until a queue is declared there again.
const MaxRetired = 64

// retiredQueue is a queue that a change has removed: what daemons need to finish the jobs that were accepted at one of
// its addresses.
type retiredQueue struct {
	AddressKey    string
	Name          string
	Urgency       int64
	Quota         int64
	TrustRunLimit bool
	Selector      []LabelRequirement
}

type retiredQueues struct{ Queues []retiredQueue }

// queue returns the queue as it was declared last, for jobs that were accepted before it was removed.
func (r *retiredQueue) queue() *Queue {
	return &Queue{Name: r.Name, Urgency: r.Urgency, Quota: r.Quota, TrustRunLimit: r.TrustRunLimit, Selector: r.Selector}
}

// retire returns the retired queues after a change: without those whose address is declared again, and with those
// whose address the change removes. Jobs of a removed batch queue wait for another one, since they must not run beside
// other work without its rules. Without the next configuration it can't be told what is removed.
func retire(retired []retiredQueue, current, next *Configuration) []retiredQueue {
	if next == nil {
		return retired
	}
	declaredAgain := func(r retiredQueue) bool { return next.DeclaredQueue(r.AddressKey) != nil }
	kept := slices.DeleteFunc(slices.Clone(retired), declaredAgain)
	for _, key := range slices.Sorted(maps.Keys(current.queuesByAddress)) {
		q := current.queuesByAddress[key]
		if next.DeclaredQueue(key) != nil || q.Batch != nil {
			continue
		}
		kept = append(kept, retiredQueue{
			AddressKey: key, Name: q.Name, Urgency: q.Urgency, Quota: q.Quota,
			TrustRunLimit: q.TrustRunLimit, Selector: q.Selector,
		})
	}
	return kept[max(0, len(kept)-MaxRetired):]
}

// packRetired encodes retired queues, compressed; nil for none.
func packRetired(retired []retiredQueue) []byte {
	if len(retired) == 0 {
		return nil
	}
	return Deflate(codec.Append(nil, retiredQueues{retired}))
}

// unpackRetired reverses packRetired. Damaged data holds no queues.
func unpackRetired(packed []byte) []retiredQueue {
	var list retiredQueues
	if data, ok := Inflate(packed); !ok || len(data) == 0 || codec.Unmarshal(data, &list) != nil {
		return nil
	}
	return list.Queues
}
