package daemon

import (
	"encoding/binary"
	"slices"

	"otterchute/internal/codec"
	"otterchute/internal/resource"
	"otterchute/internal/statestore"
)

// recordCountBytes is the size of the count that codec writes before the elements of a slice.
const recordCountBytes = 4

// abandonedRuns is the last part of the encoding of a job without a tenant.
type abandonedRuns struct{ Runs []abandonedRun }

// noTenant is the encoding of an empty Tenant, which records omit.
var noTenant = codec.Append(nil, struct{ Tenant string }{})

// encode returns the value of the job's record. It leaves out the job's id, which is the record's id.
func (j *jobRecord) encode() []byte { return j.encodeSegmented().Value }

// encodeSegmented returns the same value as encode, with each task as a segment of its own.
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

// recorded returns the job without the parts that its record doesn't need. A complete job is stored without steps and
// tasks, since the core set stores about a hundred thousand complete jobs a day.
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
	case j.hasUniformStep(): // the step stores what its tasks share
		c.Tasks = slices.Clone(j.Tasks)
		for i := range c.Tasks {
			t := &c.Tasks[i]
			t.Name, t.Resources, t.RequiredLabels, t.LimitMs, t.EstimateHintMs, t.AllowedFailures, t.Payload =
				"", resource.Amount{}, nil, 0, 0, 0, nil
		}
	}
	return &c
}
