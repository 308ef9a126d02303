package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// nightContract is cheap from 22:00 to 06:00, dearer around it at work days.
const nightContract = `{"name":"night","utc_offset_minutes":120,"price":0.12,"hours":[
	{"from":"22:00","to":"06:00","price":0.04},{"from":"06:00","to":"08:00","days":["mon","tue","wed","thu","fri"],"price":0.08}]}`

func batchSetup(contracts, batch string) string {
	return fmt.Sprintf(`{"contracts":[%s],"queues":[{"name":"confirm","urgency":90},{"name":"refresh","urgency":5,"batch":%s}]}`, contracts, batch)
}

func mustContract(t *testing.T, doc string) *contract {
	t.Helper()
	c, faults := compileSetup(1, []byte(`{"contracts":[`+doc+`],"queues":[]}`))
	must.SliceEmpty(t, faults)
	for _, k := range c.Contracts {
		return k
	}
	return nil
}

func TestBatchSetupFaults(t *testing.T) {
	good := `{"contract":"night","finish_by_hours":20,"share_percent":30}`
	c, faults := compileSetup(1, []byte(batchSetup(nightContract, good)))
	must.SliceEmpty(t, faults)
	must.Eq(t, int64(20*msPerHour), c.Queues["refresh"].Batch.FinishByMs)
	must.Eq(t, "night", c.Queues["refresh"].Batch.Contract.Name)
	must.Less(t, c.urgencyOf("gone"), c.urgencyOf("refresh")) // below even a queue that is no more
	must.Eq(t, int64(90), c.Lowest)
	must.Nil(t, c.Queues["confirm"].Batch)
	with := func(hours string) string {
		return `{"name":"night","utc_offset_minutes":0,"price":1,"hours":[` + hours + `]}`
	}
	for _, x := range []struct{ contracts, batch, path, reason string }{
		{nightContract, `{"contract":"day","finish_by_hours":20,"share_percent":30}`, "queues.1.batch.contract", "is not among"},
		{nightContract, `{"contract":"night","share_percent":30}`, "queues.1.batch.finish_by_hours", "is missing"},
		{nightContract, `{"contract":"night","finish_by_hours":0,"share_percent":30}`, "queues.1.batch.finish_by_hours", "must be a minute"},
		{nightContract, `{"contract":"night","finish_by_hours":721,"share_percent":30}`, "queues.1.batch.finish_by_hours", "must be a minute"},
		{nightContract, `{"contract":"night","finish_by_hours":-1,"share_percent":30}`, "queues.1.batch.finish_by_hours", "0 or more"},
		{nightContract, `{"contract":"night","finish_by_hours":20}`, "queues.1.batch.share_percent", "is missing"},
		{nightContract, `{"contract":"night","finish_by_hours":20,"share_percent":101}`, "queues.1.batch.share_percent", "1 to 100"},
		{nightContract, `{"contract":"night","finish_by_hours":20,"share_percent":3,"share":1}`, "queues.1.batch.share", "not a known field"},
		{nightContract + "," + nightContract, good, "contracts.1.name", "stands twice"},
		{`{"name":"night","price":1}`, good, "contracts.0.utc_offset_minutes", "is missing"},
		{`{"name":"night","utc_offset_minutes":1440,"price":1}`, good, "contracts.0.utc_offset_minutes", "must be -1439 to 1439"},
		{`{"name":"night","utc_offset_minutes":0}`, good, "contracts.0.price", "is missing"},
		{with(`{"from":"22:00","to":"06:00","price":-1}`), good, "contracts.0.hours.0.price", "0 or more"},
		{with(`{"from":"25:00","to":"06:00","price":1}`), good, "contracts.0.hours.0.from", "time of day"},
		{with(`{"from":"24:00","to":"06:00","price":1}`), good, "contracts.0.hours.0.from", "time of day"},
		{with(`{"from":"22:00","to":"6:000","price":1}`), good, "contracts.0.hours.0.to", "time of day"},
		{with(`{"from":"22:00","to":"22:00","price":1}`), good, "contracts.0.hours.0.to", "same as from"},
		{with(`{"from":"22:00","to":"06:00","days":["mon","moon"],"price":1}`), good, "contracts.0.hours.0.days.1", "bytes"},
		{with(`{"from":"22:00","to":"06:00","days":["mon","mon"],"price":1}`), good, "contracts.0.hours.0.days.1", "once"},
		{with(`{"from":"22:00","to":"06:00","price":1},{"from":"05:00","to":"07:00","price":2}`), good, "contracts.0.hours.1", "overlap hours.0"},
		{with(`{"from":"00:00","to":"01:00","days":["mon"],"price":1},{"from":"23:00","to":"00:30","days":["sun"],"price":2}`), good, "contracts.0.hours.1", "overlap hours.0"},
	} {
		_, faults := compileSetup(1, []byte(batchSetup(x.contracts, x.batch)))
		must.Positive(t, len(faults), must.Sprint(x))
		must.Eq(t, x.path, faults[0].Path, must.Sprint(faults))
		must.StrContains(t, faults[0].Reason, x.reason, must.Sprint(x.path))
	}
	_, faults = compileSetup(1, []byte(batchSetup(with(`{"from":"00:00","to":"24:00","days":["mon"],"price":1},{"from":"00:00","to":"01:00","days":["tue"],"price":2}`), good)))
	must.SliceEmpty(t, faults) // they touch
}

// Monday 4 January 2027, 00:00 UTC.
const aMonday = int64(1_799_020_800_000)

func TestBatchWindows(t *testing.T) {
	at := func(day, hour int64) int64 { return aMonday + (day*24+hour-2)*msPerHour } // on the contract's clock
	c := mustContract(t, nightContract)
	must.Eq(t, 0.04, c.Cheapest)
	must.StrContains(t, c.clock(at(0, 22)), "Mon 2027-01-04 22:00 +02:00")
	must.Eq(t, []priceWindow{{at(0, 8), at(0, 22), 0.12}, {at(0, 22), at(1, 6), 0.04}, {at(1, 6), at(1, 8), 0.08}}, c.windows(at(0, 12), at(1, 7)))
	// over the week's end, where Sunday's night goes on to Monday's morning
	must.Eq(t, []priceWindow{{at(6, 22), at(7, 6), 0.04}, {at(7, 6), at(7, 8), 0.08}}, c.windows(at(6, 23), at(7, 7)))
	must.Eq(t, []priceWindow{{at(6, 22), at(7, 6), 0.04}}, c.windows(at(7, 3), at(7, 3)))
	must.Eq(t, []priceWindow{{at(5, 6), at(5, 22), 0.12}}, c.windows(at(5, 7), at(5, 9))) // no early hours on a Saturday
	flat := mustContract(t, `{"name":"flat","utc_offset_minutes":-300,"price":3}`)
	must.Len(t, 1, flat.windows(at(0, 0), at(30, 0)))
	must.LessEq(t, 6*3*(finishByMost/24+14), len(c.windows(at(0, 8), at(7000, 8))))
}

func TestBatchPlan(t *testing.T) {
	at := func(day, hour int64) int64 { return aMonday + (day*24+hour-2)*msPerHour }
	night := &batchRules{Contract: mustContract(t, nightContract), FinishByMs: 20 * msPerHour, SharePercent: 30}
	came := at(0, 14)
	p := night.plan("j1", came, came, msPerHour)
	must.False(t, p.Must)
	must.Eq(t, 0.04, p.Price)
	must.Eq(t, at(0, 22), p.OpenMs)
	must.Eq(t, at(1, 6), p.CloseMs)
	must.Eq(t, at(1, 10), p.DeadlineMs)
	must.False(t, p.mayStart(at(0, 21), 1000))
	must.True(t, p.mayStart(at(1, 3), 1000))
	must.False(t, p.mayStart(at(1, 6)-500, 1000))               // it would end in dear hours
	must.True(t, p.mayStart(at(1, 3), 10*msPerHour))            // no window holds it
	must.False(t, p.mayStart(at(1, 6), 10*msPerHour))           // but it starts in one
	must.Eq(t, p, night.plan("j1", came, at(0, 20), msPerHour)) // whoever plans, whenever
	must.Eq(t, p.StartMs, night.plan("j1", came, at(0, 23), msPerHour).StartMs)

	// starts are spread over the first half of the window, none before it
	var per [4]int
	for i := range 4000 {
		s := night.plan(fmt.Sprint("job-", i), came, came, msPerHour).StartMs - at(0, 22)
		must.Between(t, 0, s, 4*msPerHour-1)
		per[s/msPerHour]++
	}
	for _, count := range per {
		must.Between(t, 900, count, 1100)
	}

	// it came while the window is open: it starts at once
	must.Eq(t, at(0, 23), night.plan("j1", at(0, 23), at(0, 23), msPerHour).StartMs)

	// the cheap hours come too late: those that are cheapest until then
	morning := &batchRules{Contract: night.Contract, FinishByMs: 4 * msPerHour, SharePercent: 30}
	p = morning.plan("j2", at(1, 5), at(1, 7), msPerHour)
	must.Eq(t, 0.08, p.Price)
	must.False(t, p.Must)
	p = morning.plan("j2", at(1, 9), at(1, 9), msPerHour)
	must.Eq(t, 0.12, p.Price)
	must.Eq(t, at(1, 9), p.StartMs)

	// the window can't hold it in time: it starts as early as it must
	p = night.plan("j3", at(0, 1), at(0, 1), 3*msPerHour)
	must.Eq(t, at(0, 1), p.StartMs) // it came in the night
	p = night.plan("j3", at(0, 7), at(0, 7), 6*msPerHour)
	must.Eq(t, at(0, 7), p.StartMs) // 0.08 is the least before 21:00
	p = night.plan("j3", at(0, 7), at(0, 21), 6*msPerHour)
	must.True(t, p.Must)
	must.True(t, p.mayStart(at(0, 21), 1000))
	must.Eq(t, 0.12, p.Price)

	// due later: its time counts from then
	p = night.plan("j4", at(1, 12), at(0, 12), msPerHour)
	must.Eq(t, at(1, 22), p.OpenMs)
	must.Eq(t, at(2, 8), p.DeadlineMs)

	// a clock that goes back holds it again, one that jumps on makes it start
	p = night.plan("j1", came, at(0, 21), msPerHour)
	must.False(t, p.mayStart(at(0, 21), 1000))
	must.True(t, night.plan("j1", came, at(2, 0), msPerHour).Must)

	// an offset of its own: 22:00 there is another time
	west := mustContract(t, strings.Replace(nightContract, "120", "-480", 1))
	there := &batchRules{Contract: west, FinishByMs: 20 * msPerHour}
	must.Eq(t, came, there.plan("j1", came, came, msPerHour).StartMs) // 04:00 there
	must.Eq(t, at(1, 8), there.plan("j1", at(0, 17), at(0, 17), msPerHour).OpenMs)
}
