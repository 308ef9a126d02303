package rendezvous

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Removing a name only moves the keys for which it was first, and keys are distributed
// evenly over similar names.
func TestOrder(t *testing.T) {
	names := []string{"d01", "d02", "d03", "d04"}
	first := map[string]int{}
	for i := range 4000 {
		key := fmt.Sprint("key-", i)
		order := Order(key, names)
		must.Len(t, len(names), order)
		first[order[0]]++
		rest := Order(key, names[:3])
		if order[0] != "d04" {
			must.Eq(t, order[0], rest[0])
		}
	}
	for _, name := range names {
		must.Between(t, 900, first[name], 1100)
	}
	must.Eq(t, []string{"d01", "d02", "d03", "d04"}, names) // the argument is unchanged
}

// All daemons of a cluster must compute the same weights, so they never change between
// releases.
func TestWeightIsFixed(t *testing.T) {
	must.Eq(t, 0xab78f5eca36d0e2b, Weight("a", "b"))
	must.Eq(t, 0xe804200b399e2b0f, Weight("slice/east", "d03"))
	must.NotEq(t, Weight("a", "b"), Weight("ab", ""))
}
