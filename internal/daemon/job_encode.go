package daemon

import (
	"encoding/binary"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/resource"
	"otterchute/internal/statestore"
)

// recordCountBytes is the count that codec puts before a slice.
const recordCountBytes = 4

// abandonedRuns is the end of the form of a job without a tenant.
type abandonedRuns struct{ Runs []abandonedRun }

// noTenant is the form of an empty Tenant, which records leave out.
var noTenant = codec.Append(nil, struct{ Tenant string }{})

// encode is the form of a job in its record, whose id it does not repeat.
func (j *jobRecord) encode() []byte { return j.encodeSegmented().Value }

// encodeSegmented is encode with each task a segment of its own.
func (j *jobRecord) encodeSegmented() statestore.Segmented {
	c := j.recorded()
	tasks := c.Tasks
	c.Tasks = nil
	value := codec.Append(nil, c)
	tail := codec.Append(nil, abandonedRuns{c.Abandoned})
	tail = codec.Append(tail, struct{ Tenant string }{c.Tenant})
	head := len(value) - len(tail) - recordCountBytes
	if c.Tenant == "" {
		tail = tail[:len(tail)-len(noTenant)]
	}
	value = binary.BigEndian.AppendUint32(value[:head], uint32(len(tasks)))
	ends := make([]int, 0, len(tasks)+2)
	ends = append(ends, len(value))
	for i := range tasks {
		value = codec.Append(value, &tasks[i])
		ends = append(ends, len(value))
	}
	value = append(value, tail...)
	return statestore.Segmented{Value: value, Ends: append(ends, len(value))}
}

// recorded is what a job's record keeps of it. Of a complete one no task is needed any
// more: the core keeps some hundred thousand of them a day.
func (j *jobRecord) recorded() *jobRecord {
	c := *j
	c.ID = ""
	switch {
	case j.DoneMs != 0:
		c.Size = int32(len(j.Tasks))
		c.Tasks = slices.Clone(j.Tasks)
		for i := range c.Tasks {
			c.Tasks[i].Payload, c.Tasks[i].RequiredLabels = nil, nil
		}
		c.Payload = nil
		if j.State == jobComplete {
			c.Steps, c.Tasks = nil, nil
		}
	case j.hasUniformStep(): // the step says what its tasks share
		c.Tasks = slices.Clone(j.Tasks)
		for i := range c.Tasks {
			t := &c.Tasks[i]
			t.Name, t.Resources, t.RequiredLabels, t.LimitMs, t.EstimateHintMs, t.AllowedFailures, t.Payload = "", resource.Amount{},
				nil, 0, 0, 0, nil
		}
	}
	return &c
}
