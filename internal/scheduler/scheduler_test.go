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

// What is kept follows what is used, at once upwards and slowly down, within its bounds,
// each dimension by itself.
func TestUrgentShare(t *testing.T) {
	all := resource.Amount{CPU: 100_000, Memory: 400_000}
	s := &UrgentShare{}
	must.Eq(t, resource.Amount{CPU: UrgentPercent, Memory: UrgentPercent, GPU: UrgentPercent}, s.Percent())
	s.Raise(resource.Amount{CPU: 20_000, Memory: 1000}, all)
	must.Eq(t, resource.Amount{CPU: 30, Memory: urgentLeast}, s.Percent())
	s.Raise(resource.Amount{}, all) // less use takes nothing back by itself
	must.Eq(t, 30, s.Percent().CPU)
	s.Decay()
	must.Eq(t, 27, s.Percent().CPU)
	for range 40 {
		s.Decay()
		s.Raise(resource.Amount{}, all)
	}
	must.Eq(t, urgentLeast, s.Percent().CPU)
	s.Raise(resource.Amount{CPU: 1000, Memory: 300_000}, all)
	must.Eq(t, urgentMost, s.Percent().Memory)
	(&UrgentShare{}).Raise(resource.Amount{CPU: 1}, resource.Amount{}) // no workers yet
}

func TestKeptRoom(t *testing.T) {
	capacity, quarter := resource.Amount{CPU: 64_000, Memory: 1000}, resource.Amount{CPU: 25, Memory: 25, GPU: 25}
	must.Eq(t, resource.Amount{CPU: 16_000, Memory: 250}, KeptRoom(capacity, resource.Amount{}, quarter))
	must.Eq(t, resource.Amount{CPU: 6000}, KeptRoom(capacity, resource.Amount{CPU: 10_000, Memory: 300}, quarter))
	must.Eq(t, resource.Amount{}, KeptRoom(capacity, capacity, quarter))
}
