package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"otterchute/internal/schema"

	"github.com/tidwall/gjson"
)

const (
	// MaxFinishHours bounds the time a batch may be given: a month, within what is
	// kept of jobs.
	MaxFinishHours = 720

	minutesPerDay  = 24 * 60
	minutesPerWeek = 7 * minutesPerDay
	msPerWeek      = minutesPerWeek * msPerMinute
	epochWeekday   = 3 // 1 January 1970 was a Thursday
)

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

var contractFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name":               {Kind: schema.Name, Required: true},
	"utc_offset_minutes": {Kind: schema.Integer, Required: true, Min: -minutesPerDay + 1, Max: minutesPerDay - 1},
	"price":              {Kind: schema.Number, Required: true},
	"hours": {Kind: schema.List, Max: 100, Elem: &schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
		"from":  {Kind: schema.String, Required: true, Min: 5, Max: 5},
		"to":    {Kind: schema.String, Required: true, Min: 5, Max: 5},
		"days":  {Kind: schema.List, Min: 1, Max: 7, Elem: &schema.Field{Kind: schema.String, Min: 3, Max: 3}},
		"price": {Kind: schema.Number, Required: true},
	}}},
}}

var batchFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"contract":        {Kind: schema.Name, Required: true},
	"finish_by_hours": {Kind: schema.Number, Required: true},
	"share_percent":   {Kind: schema.Integer, Required: true, Min: 1, Max: 100},
}}

// Contract is what an hour of a core costs, through a week that repeats.
type Contract struct {
	Name          string
	OffsetMinutes int64 // of its clock from UTC, all year: daylight saving is declared, never known
	Cheapest      float64
	spans         []priceSpan // all of the week in order, neighbours of different prices
}

// priceSpan is a part of the week, in minutes from Monday 00:00 of the contract's clock.
type priceSpan struct {
	From, To int64
	Price    float64
}

// BatchRules is what a queue says of its batches.
type BatchRules struct {
	Contract     *Contract
	FinishByMs   int64 // a job is complete so long after it came or was due
	SharePercent int64 // the most of each worker's capacity
}

// PriceWindow is a stretch of one price, by the fleet's time in ms.
type PriceWindow struct {
	FromMs, ToMs int64
	Price        float64
}

// declaredSpan is a span and the number of the declaration it comes from.
type declaredSpan struct {
	priceSpan
	index int
}

func (c *compiler) addContract(path string, doc gjson.Result) {
	before := len(c.faults)
	contract := c.contractOf(path, doc)
	if len(c.faults) > before {
		contract = &Contract{Name: doc.Get("name").Str} // its queues are checked all the same
	}
	if c.config.Contracts[contract.Name] != nil {
		c.fault(path+".name", "stands twice")
	}
	c.config.Contracts[contract.Name] = contract
}

func (c *compiler) contractOf(path string, doc gjson.Result) *Contract {
	before := len(c.faults)
	var declared []declaredSpan
	for i, hours := range doc.Get("hours").Array() {
		for _, span := range c.spansOf(path+".hours."+strconv.Itoa(i), hours) {
			declared = append(declared, declaredSpan{span, i})
		}
	}
	if len(c.faults) > before {
		return nil
	}
	slices.SortStableFunc(declared, func(a, b declaredSpan) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.index, b.index))
	})
	c.checkOverlaps(path, declared)
	contract := &Contract{Name: doc.Get("name").Str, OffsetMinutes: doc.Get("utc_offset_minutes").Int()}
	contract.fillWeek(declared, doc.Get("price").Num)
	return contract
}

// spansOf returns the spans of one declaration, one a day, or two where it goes
// over the week's end.
func (c *compiler) spansOf(path string, doc gjson.Result) (out []priceSpan) {
	from, fromOK := minuteOfDay(doc.Get("from").Str)
	to, toOK := minuteOfDay(doc.Get("to").Str)
	if !fromOK || from == minutesPerDay {
		c.fault(path+".from", "must be a time of day, 00:00 to 23:59")
	}
	if !toOK {
		c.fault(path+".to", "must be a time of day, 00:00 to 24:00")
	}
	if fromOK && toOK && from == to {
		c.fault(path+".to", "is the same as from: a whole day is 00:00 to 24:00")
	}
	length := to - from
	if length < 0 { // over midnight, into the next day
		length += minutesPerDay
	}
	price := doc.Get("price").Num
	for _, day := range c.daysOf(path, doc) {
		begin := int64(day)*minutesPerDay + from
		end := begin + length
		out = append(out, priceSpan{begin, min(end, minutesPerWeek), price})
		if end > minutesPerWeek {
			out = append(out, priceSpan{0, end - minutesPerWeek, price})
		}
	}
	return out
}

// daysOf returns the days of the week that a declaration is for; all where it
// names none.
func (c *compiler) daysOf(path string, doc gjson.Result) (days []int) {
	given := doc.Get("days")
	if !given.Exists() {
		return []int{0, 1, 2, 3, 4, 5, 6}
	}
	for i, name := range given.Array() {
		day := slices.Index(weekdays, name.Str)
		if day < 0 || slices.Contains(days, day) {
			c.fault(fmt.Sprintf("%s.days.%d", path, i), "must be one of "+strings.Join(weekdays, ", ")+", once")
		}
		days = append(days, day)
	}
	return days
}

// checkOverlaps tells of each declaration, once, that it overlaps an earlier one.
func (c *compiler) checkOverlaps(path string, declared []declaredSpan) {
	reported := map[int]bool{}
	for i := 1; i < len(declared); i++ {
		a, b := declared[i-1], declared[i]
		later := max(a.index, b.index)
		if b.From < a.To && !reported[later] {
			reported[later] = true
			c.fault(fmt.Sprintf("%s.hours.%d", path, later), fmt.Sprintf("overlap hours.%d", min(a.index, b.index)))
		}
	}
}

// fillWeek makes the week of the declared spans, in order, and the usual price
// between them.
func (k *Contract) fillWeek(declared []declaredSpan, usual float64) {
	at := int64(0)
	for _, d := range declared {
		k.addSpan(priceSpan{at, max(at, d.From), usual})
		k.addSpan(d.priceSpan)
		at = max(at, d.To)
	}
	k.addSpan(priceSpan{at, minutesPerWeek, usual})
	k.Cheapest = math.Inf(1)
	for _, s := range k.spans {
		k.Cheapest = min(k.Cheapest, s.Price)
	}
}

// addSpan adds a span, or makes the last one longer where the price is the same.
func (k *Contract) addSpan(s priceSpan) {
	if last := len(k.spans) - 1; last >= 0 && k.spans[last].Price == s.Price {
		k.spans[last].To = s.To
	} else if s.From < s.To {
		k.spans = append(k.spans, s)
	}
}

// minuteOfDay reads a time of day such as 22:00.
func minuteOfDay(s string) (int64, bool) {
	if s == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse("15:04", s)
	return int64(t.Hour()*60 + t.Minute()), err == nil && len(s) == 5
}

// batchOf checks what a queue says of its batches.
func (c *compiler) batchOf(path string, doc gjson.Result) *BatchRules {
	b := &BatchRules{
		Contract:     c.config.Contracts[doc.Get("contract").Str],
		FinishByMs:   int64(doc.Get("finish_by_hours").Num * msPerHour),
		SharePercent: doc.Get("share_percent").Int(),
	}
	if b.Contract == nil {
		c.fault(path+".contract", "is not among the contracts")
	}
	if b.FinishByMs < msPerMinute || b.FinishByMs > MaxFinishHours*msPerHour {
		c.fault(path+".finish_by_hours", fmt.Sprintf("must be a minute to %d hours", MaxFinishHours))
	}
	return b
}

// PriceWindows returns the stretches of one price that lie between two times, in
// order. The first may have opened before, the last may go on after.
func (k *Contract) PriceWindows(fromMs, toMs int64) (out []PriceWindow) {
	if len(k.spans) == 1 {
		return []PriceWindow{{math.MinInt64 / 2, math.MaxInt64 / 2, k.spans[0].Price}}
	}
	minute := fromMs/msPerMinute + k.OffsetMinutes + epochWeekday*minutesPerDay
	week := (fromMs/msPerMinute - minute%minutesPerWeek) * msPerMinute // when this week began
	last := len(k.spans) - 1
	most := 2 * len(k.spans) * (MaxFinishHours/(7*24) + 2) // spans in twice the longest time there is
	for at := range most {
		s := k.spans[at%len(k.spans)]
		w := PriceWindow{week + s.From*msPerMinute, week + s.To*msPerMinute, s.Price}
		if at%len(k.spans) == last {
			week += msPerWeek
		}
		if n := len(out) - 1; n >= 0 && out[n].Price == w.Price { // over the week's end
			out[n].ToMs = w.ToMs
			continue
		}
		if w.FromMs > toMs {
			return out
		}
		if at == 0 && k.spans[last].Price == s.Price {
			w.FromMs -= (minutesPerWeek - k.spans[last].From) * msPerMinute
		}
		if w.ToMs > fromMs {
			out = append(out, w)
		}
	}
	return out
}

// Location is the contract's clock.
func (k *Contract) Location() *time.Location {
	return time.FixedZone("", int(k.OffsetMinutes)*60)
}

// ExplainContracts tells an operator, line by line, what the hours of a
// configuration come to.
func (c *Configuration) ExplainContracts() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(c.Contracts)) {
		k := c.Contracts[name]
		clock := time.UnixMilli(0).In(k.Location()).Format("UTC-07:00")
		out = append(out, fmt.Sprintf("contract %s, clock %s all year:", name, clock))
		for _, s := range k.spans {
			mark := ""
			if s.Price == k.Cheapest {
				mark = ", the cheapest"
			}
			out = append(out, fmt.Sprintf("  %s to %s: %g a core hour%s", weekMinute(s.From), weekMinute(s.To), s.Price, mark))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Queues)) {
		if b := c.Queues[name].Batch; b != nil {
			out = append(out, fmt.Sprintf("queue %s: batches by contract %s, complete within %g hours, "+
				"at most %d percent of each worker", name, b.Contract.Name, float64(b.FinishByMs)/msPerHour, b.SharePercent))
		}
	}
	return out
}

// weekMinute tells a minute of the week as a day and a time.
func weekMinute(m int64) string {
	return fmt.Sprintf("%s %02d:%02d", weekdays[m/minutesPerDay%7], m%minutesPerDay/60, m%60)
}
