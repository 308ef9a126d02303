package scheduler

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestEstimatesLearn(t *testing.T) {
	var e Estimates
	_, known := e.Mean("q/t")
	must.False(t, known)
	e.Learn("q/t", 100, 1)
	mean, _ := e.Mean("q/t")
	must.Eq(t, 100.0, mean)
	for range 30 {
		e.Learn("q/t", 200, 2)
	}
	mean, _ = e.Mean("q/t")
	must.InDelta(t, 200, mean, 1)
}

// A value from another daemon replaces a local one only after the local one is old enough.
func TestEstimatesMergeRemote(t *testing.T) {
	var e Estimates
	e.MergeRemote("q/t", 50, 1000, 500)
	mean, _ := e.Mean("q/t")
	must.Eq(t, 50.0, mean)
	e.Learn("q/t", 100, 2000)
	learned, _ := e.Mean("q/t")
	e.MergeRemote("q/t", 900, 2500, 500)
	mean, _ = e.Mean("q/t")
	must.Eq(t, learned, mean)
	e.MergeRemote("q/t", 900, 2501, 500)
	mean, _ = e.Mean("q/t")
	must.Eq(t, 900.0, mean)
}

// Each change is shared once, in limited batches; values from other daemons are not shared again.
func TestEstimatesTakeUnshared(t *testing.T) {
	var e Estimates
	e.MergeRemote("told", 1, 1000, 10)
	for i := range maxSharedPerRound + 3 {
		e.Learn(fmt.Sprintf("name-%04d", i), 1, 1)
	}
	must.Len(t, maxSharedPerRound, e.TakeUnshared())
	must.Len(t, 3, e.TakeUnshared())
	must.SliceEmpty(t, e.TakeUnshared())
	e.Learn("name-0000", 2, 2)
	must.Eq(t, []string{"name-0000"}, e.TakeUnshared())
}

func TestEstimatesAreBounded(t *testing.T) {
	var e Estimates
	for i := range maxEstimates + 5 {
		e.Learn(fmt.Sprint(i), 1, int64(i+1))
	}
	must.Eq(t, maxEstimates, e.Len())
	_, known := e.Mean("4")
	must.False(t, known)
	_, known = e.Mean("5")
	must.True(t, known)
}
