package scheduler

import (
	"testing"

	"otterchute/internal/resource"

	"github.com/shoenig/test/must"
)

func TestParseSet(t *testing.T) {
	all, err := ParseSet("")
	must.NoError(t, err)
	must.True(t, all.On(Recall))
	some, err := ParseSet("recall, rack_wait")
	must.NoError(t, err)
	must.False(t, some.On(Recall))
	must.False(t, some.On(RackWait))
	must.True(t, some.On(NearData))
	must.Eq(t, []string{"recall", "rack_wait"}, some.Names())
	_, err = ParseSet("sure_room")
	must.ErrorIs(t, err, ErrPolicy)
	must.StrContains(t, err.Error(), "can't be switched off")
	_, err = ParseSet("recall,magic")
	must.ErrorIs(t, err, ErrPolicy)
	must.StrContains(t, err.Error(), "magic is not known")
	for _, p := range optional {
		_, needed := required[p]
		must.False(t, needed)
	}
}

// The headroom follows the usage, faster up than down, within its bounds, independently in each
// dimension.
func TestHeadroomEstimator(t *testing.T) {
	all := resource.Amount{CPU: 100_000, Memory: 400_000}
	s := &HeadroomEstimator{}
	s.Observe(resource.Amount{CPU: 1}, resource.Amount{}) // no workers yet
	must.Eq(t, resource.Amount{
		CPU: DefaultHeadroomPercent, Memory: DefaultHeadroomPercent, GPU: DefaultHeadroomPercent,
	}, s.Percent())
	observe := func(times int, used resource.Amount) {
		for range times {
			s.Observe(used, all)
		}
	}
	observe(1, resource.Amount{CPU: 20_000, Memory: 1000})
	must.Eq(t, resource.Amount{CPU: 29, Memory: minHeadroomPercent, GPU: minHeadroomPercent}, s.Percent())
	observe(10, resource.Amount{CPU: 28_000}) // higher usage for a second
	must.Between(t, 31, s.Percent().CPU, 36)
	observe(50, resource.Amount{CPU: 28_000})
	must.Between(t, 37, s.Percent().CPU, 39)
	observe(10, resource.Amount{}) // no usage for a second reduces it only a little
	must.Between(t, 29, s.Percent().CPU, 36)
	observe(200, resource.Amount{})
	must.Eq(t, minHeadroomPercent, s.Percent().CPU)
	observe(100, resource.Amount{Memory: 300_000})
	must.Eq(t, maxHeadroomPercent, s.Percent().Memory)
}

func TestUrgentHeadroom(t *testing.T) {
	capacity, quarter := resource.Amount{CPU: 64_000, Memory: 1000}, resource.Amount{CPU: 25, Memory: 25, GPU: 25}
	must.Eq(t, resource.Amount{CPU: 16_000, Memory: 250}, UrgentHeadroom(capacity, resource.Amount{}, quarter))
	must.Eq(t, resource.Amount{CPU: 6000}, UrgentHeadroom(capacity, resource.Amount{CPU: 10_000, Memory: 300}, quarter))
	must.Eq(t, resource.Amount{}, UrgentHeadroom(capacity, capacity, quarter))
}
