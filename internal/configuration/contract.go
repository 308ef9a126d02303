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
	// MaxFinishHours bounds the time that a batch may take: a month, which is less than the
	// retention of jobs.
	MaxFinishHours = 720

	minutesPerDay  = 24 * 60
	minutesPerWeek = 7 * minutesPerDay
	msPerWeek      = minutesPerWeek * msPerMinute
	epochWeekday   = 3 // 1 January 1970 was a Thursday
)

var weekdays = []string{"mon", "tue", "wed", "thu", "fri", "sat", "sun"}

var contractSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
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

var batchSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"contract":        {Kind: schema.Name, Required: true},
	"finish_by_hours": {Kind: schema.Number, Required: true},
	"share_percent":   {Kind: schema.Integer, Required: true, Min: 1, Max: 100},
}}

// Contract is the price of a core hour, by a repeating weekly schedule.
type Contract struct {
	Name             string
	UTCOffsetMinutes int64 // offset of its clock from UTC, all year: there is no daylight saving time
	Cheapest         float64
	spans            []priceSpan // cover the week in order; adjacent ones have different prices
}

// priceSpan is a part of the week, in minutes from Monday 00:00 on the contract's clock.
type priceSpan struct {
	From, To int64
	Price    float64
}

// BatchRules are the rules for the batches of a queue.
type BatchRules struct {
	Contract     *Contract
	FinishByMs   int64 // time to complete a job after it was submitted or became due
	SharePercent int64 // maximum share of each worker's capacity
}

// PriceWindow is a period with one price, in ms of the cluster's time.
type PriceWindow struct {
	FromMs, ToMs int64
	Price        float64
}

// declaredSpan is a span and the index of the declaration that it comes from.
type declaredSpan struct {
	priceSpan
	index int
}

func (c *compiler) addContract(path string, doc gjson.Result) {
	before := len(c.faults)
	contract := c.compileContract(path, doc)
	if len(c.faults) > before {
		contract = &Contract{Name: doc.Get("name").Str} // without spans, so that its queues are still checked
	}
	if c.config.Contracts[contract.Name] != nil {
		c.addFault(path+".name", "stands twice")
	}
	c.config.Contracts[contract.Name] = contract
}

func (c *compiler) compileContract(path string, doc gjson.Result) *Contract {
	before := len(c.faults)
	var declared []declaredSpan
	for i, hours := range doc.Get("hours").Array() {
		for _, span := range c.parseSpans(path+".hours."+strconv.Itoa(i), hours) {
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
	contract := &Contract{Name: doc.Get("name").Str, UTCOffsetMinutes: doc.Get("utc_offset_minutes").Int()}
	contract.fillWeek(declared, doc.Get("price").Num)
	return contract
}

// parseSpans returns the spans of one declaration: one per day, or two if it crosses the end of the
// week.
func (c *compiler) parseSpans(path string, doc gjson.Result) (out []priceSpan) {
	from, fromOK := minuteOfDay(doc.Get("from").Str)
	to, toOK := minuteOfDay(doc.Get("to").Str)
	if !fromOK || from == minutesPerDay {
		c.addFault(path+".from", "must be a time of day, 00:00 to 23:59")
	}
	if !toOK {
		c.addFault(path+".to", "must be a time of day, 00:00 to 24:00")
	}
	if fromOK && toOK && from == to {
		c.addFault(path+".to", "is the same as from: a whole day is 00:00 to 24:00")
	}
	length := to - from
	if length < 0 { // past midnight, into the next day
		length += minutesPerDay
	}
	price := doc.Get("price").Num
	for _, day := range c.parseDays(path, doc) {
		begin := int64(day)*minutesPerDay + from
		end := begin + length
		out = append(out, priceSpan{begin, min(end, minutesPerWeek), price})
		if end > minutesPerWeek {
			out = append(out, priceSpan{0, end - minutesPerWeek, price})
		}
	}
	return out
}

// parseDays returns the days of the week that a declaration applies to; all if it lists none.
func (c *compiler) parseDays(path string, doc gjson.Result) (days []int) {
	given := doc.Get("days")
	if !given.Exists() {
		return []int{0, 1, 2, 3, 4, 5, 6}
	}
	for i, name := range given.Array() {
		day := slices.Index(weekdays, name.Str)
		if day < 0 || slices.Contains(days, day) {
			c.addFault(fmt.Sprintf("%s.days.%d", path, i), "must be one of "+strings.Join(weekdays, ", ")+", once")
		}
		days = append(days, day)
	}
	return days
}

// checkOverlaps reports each declaration that overlaps an earlier one, once.
func (c *compiler) checkOverlaps(path string, declared []declaredSpan) {
	reported := map[int]bool{}
	for i := 1; i < len(declared); i++ {
		a, b := declared[i-1], declared[i]
		later := max(a.index, b.index)
		if b.From < a.To && !reported[later] {
			reported[later] = true
			c.addFault(fmt.Sprintf("%s.hours.%d", path, later), fmt.Sprintf("overlap hours.%d", min(a.index, b.index)))
		}
	}
}

// fillWeek sets the spans of the week: the declared ones, in order, and the base price between
// them.
func (k *Contract) fillWeek(declared []declaredSpan, basePrice float64) {
	at := int64(0)
	for _, d := range declared {
		k.addSpan(priceSpan{at, max(at, d.From), basePrice})
		k.addSpan(d.priceSpan)
		at = max(at, d.To)
	}
	k.addSpan(priceSpan{at, minutesPerWeek, basePrice})
	k.Cheapest = math.Inf(1)
	for _, s := range k.spans {
		k.Cheapest = min(k.Cheapest, s.Price)
	}
}

// addSpan appends a span, or extends the last one if the price is the same.
func (k *Contract) addSpan(s priceSpan) {
	if last := len(k.spans) - 1; last >= 0 && k.spans[last].Price == s.Price {
		k.spans[last].To = s.To
	} else if s.From < s.To {
		k.spans = append(k.spans, s)
	}
}

// minuteOfDay parses a time of day such as 22:00.
func minuteOfDay(s string) (int64, bool) {
	if s == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse("15:04", s)
	return int64(t.Hour()*60 + t.Minute()), err == nil && len(s) == 5
}

// compileBatchRules compiles and checks the batch rules of a queue.
func (c *compiler) compileBatchRules(path string, doc gjson.Result) *BatchRules {
	b := &BatchRules{
		Contract:     c.config.Contracts[doc.Get("contract").Str],
		FinishByMs:   int64(doc.Get("finish_by_hours").Num * msPerHour),
		SharePercent: doc.Get("share_percent").Int(),
	}
	if b.Contract == nil {
		c.addFault(path+".contract", "is not among the contracts")
	}
	if b.FinishByMs < msPerMinute || b.FinishByMs > MaxFinishHours*msPerHour {
		c.addFault(path+".finish_by_hours", fmt.Sprintf("must be a minute to %d hours", MaxFinishHours))
	}
	return b
}

// PriceWindows returns the periods of one price between two times, in order. The first may start
// before fromMs, and the last may end after toMs.
func (k *Contract) PriceWindows(fromMs, toMs int64) (out []PriceWindow) {
	if len(k.spans) == 1 {
		return []PriceWindow{{math.MinInt64 / 2, math.MaxInt64 / 2, k.spans[0].Price}}
	}
	minute := fromMs/msPerMinute + k.UTCOffsetMinutes + epochWeekday*minutesPerDay
	week := (fromMs/msPerMinute - minute%minutesPerWeek) * msPerMinute // the start of this week
	last := len(k.spans) - 1
	maxSpans := 2 * len(k.spans) * (MaxFinishHours/(7*24) + 2) // spans in twice the longest possible time
	for at := range maxSpans {
		s := k.spans[at%len(k.spans)]
		w := PriceWindow{week + s.From*msPerMinute, week + s.To*msPerMinute, s.Price}
		if at%len(k.spans) == last {
			week += msPerWeek
		}
		if n := len(out) - 1; n >= 0 && out[n].Price == w.Price { // continues past the end of the week
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

// Location returns the time zone of the contract.
func (k *Contract) Location() *time.Location {
	return time.FixedZone("", int(k.UTCOffsetMinutes)*60)
}

// ExplainContracts describes the contracts and batch rules of a configuration to an operator, line
// by line.
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

// weekMinute formats a minute of the week as a day and a time.
func weekMinute(m int64) string {
	return fmt.Sprintf("%s %02d:%02d", weekdays[m/minutesPerDay%7], m%minutesPerDay/60, m%60)
}
