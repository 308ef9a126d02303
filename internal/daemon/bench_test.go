package daemon

import (
	"fmt"
	"testing"

	"otterchute/internal/configuration"
	"otterchute/internal/historycheck"
	"otterchute/internal/resource"
	"otterchute/internal/wire"
)

func manyQueues(count int) []byte {
	s := historycheck.Deployments["ikenna"].InitialConfiguration()
	for i := range count {
		s.Queues = append(s.Queues, historycheck.Queue{Name: fmt.Sprintf("guild-%d", i), Selector: map[string][]string{"tier": {"fast"}, "site": {"east", "mid"}}, Urgency: 1})
	}
	return mustJSON(s)
}

func BenchmarkCompileSetup(b *testing.B) {
	for _, count := range []int{5000, 20_000} {
		doc := manyQueues(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				configuration.Compile(1, doc)
			}
		})
	}
}

// Evaluating a selector against a worker's labels, compared with looking up a cached result.
func BenchmarkSelector(b *testing.B) {
	c, _ := configuration.Compile(1, manyQueues(5000))
	labels := []wire.Label{{Key: "disk", Value: "ssd"}, {Key: "tier", Value: "fast"}}
	kept := map[string]bool{}
	for name, q := range c.Queues {
		kept[name] = q.Matches(labels, "east")
	}
	b.Run("evaluated", func(b *testing.B) {
		q := c.Queues["guild-4000"]
		for b.Loop() {
			q.Matches(labels, "east")
		}
	})
	b.Run("kept", func(b *testing.B) {
		for b.Loop() {
			_ = kept["guild-4000"]
		}
	})
}

// One placement by a local scheduler among eleven workers, with many queues.
func BenchmarkPlacing(b *testing.B) {
	n := newNode(nodeConfig{Name: "d00"}, nil)
	c, _ := configuration.Compile(1, manyQueues(5000))
	n.config.current = c
	for i := range 11 {
		n.workers[fmt.Sprintf("w%02d", i)] = &workerView{rebuilt: true, reportFresh: true, capacity: resource.Amount{CPU: 16}, zone: historycheck.Zones[i%3], labels: []wire.Label{{Key: "disk", Value: "ssd"}, {Key: "tier", Value: "fast"}}}
	}
	job := &liveJob{jobRecord: jobRecord{Queue: "guild-4000", Steps: []jobStep{{Size: 1}}, Tasks: []task{{Resources: resource.Amount{CPU: 1}}}}}
	shard := &ownedShard{name: "east"}
	for b.Loop() {
		n.selectWorker(shard, job, 0, &schedulePass{queue: c.Queues[job.Queue]})
	}
}
