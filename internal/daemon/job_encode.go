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

// abandonedAttempts is the last part of the encoding of a job without a tenant.
type abandonedAttempts struct{ Attempts []abandonedAttempt }

// noTenant is the encoding of an empty Tenant, which records omit.
var noTenant = codec.Append(nil, struct{ Tenant string }{})

// encode returns the value of the job's record. It leaves out the job's id, which is the record's id.
func (j *jobRecord) encode() []byte { return j.encodeSegmented().Value }

// encodeSegmented returns the same value as encode, with each task as a segment of its own.
func (j *jobRecord) encodeSegmented() statestore.Segmented {
	stored := j.storedForm()
	tasks := stored.Tasks
	stored.Tasks = nil
	value := codec.Append(nil, stored)
	tail := codec.Append(nil, abandonedAttempts{stored.Abandoned})
	tail = codec.Append(tail, struct{ Tenant string }{stored.Tenant})
	head := len(value) - len(tail) - recordCountBytes
	if stored.Tenant == "" {
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

// storedForm returns the job without the parts that its record doesn't need. A complete job is stored without steps and
// tasks, since the core set stores about a hundred thousand complete jobs a day.
func (j *jobRecord) storedForm() *jobRecord {
	stored := *j
	stored.ID = ""
	switch {
	case j.DoneMs != 0:
		stored.Size = int32(len(j.Tasks))
		stored.Tasks = slices.Clone(j.Tasks)
		for i := range stored.Tasks {
			stored.Tasks[i].Payload, stored.Tasks[i].RequiredLabels = nil, nil
		}
		stored.Payload = nil
		if j.State == jobComplete {
			stored.Steps, stored.Tasks = nil, nil
		}
	case j.hasUniformStep(): // the step stores what its tasks share
		stored.Tasks = slices.Clone(j.Tasks)
		for i := range stored.Tasks {
			t := &stored.Tasks[i]
			t.Name, t.Resources, t.RequiredLabels, t.LimitMs, t.EstimateHintMs, t.AllowedFailures, t.Payload =
				"", resource.Amount{}, nil, 0, 0, 0, nil
		}
	}
	return &stored
}
