package daemon

import (
	"reflect"
	"testing"

	"otterchute/internal/codec"

	"github.com/shoenig/test/must"
)

// The segmented encoding equals that of the codec, so that records of earlier releases can be read. Each
// segment but the first and the last is a task.
func TestJobIsEncodedInSegments(t *testing.T) {
	sample, next := reflect.New(reflect.TypeFor[jobRecord]()), uint64(0)
	sampleValue(sample.Elem(), &next)
	j := sample.Interface().(*jobRecord)
	for _, c := range []struct {
		state  jobStatus
		doneMs int64
		alike  bool
	}{{jobRunning, 0, false}, {jobRunning, 0, true}, {jobComplete, 7, true}, {jobFailed, 7, false}} {
		j.State, j.DoneMs = c.state, c.doneMs
		for i := range j.Steps {
			j.Steps[i].Uniform = c.alike
		}
		got := j.encodeSegmented()
		kept := j.storedForm()
		must.Eq(t, codec.Append(nil, kept), got.Value)
		must.Eq(t, len(kept.Tasks)+2, len(got.Ends))
		must.Eq(t, len(got.Value), got.Ends[len(got.Ends)-1])
	}
}
