// Package resource defines the resources of workers and tasks: amounts of CPU, memory and
// accelerators, with their arithmetic and JSON encoding.
package resource

import (
	"encoding/json"
	"strconv"

	"github.com/tidwall/gjson"
)

// Amount is a quantity of each resource. Operators choose the units: usually thousandths
// of a core, megabytes and whole accelerators. A dimension is negative if more is taken
// than available.
type Amount struct{ CPU, Memory, GPU int64 }

// Plus returns the sum in each dimension.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

// Minus returns the difference in each dimension.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// Fits reports whether no dimension exceeds that of another amount.
func (a Amount) Fits(in Amount) bool {
	return a.CPU <= in.CPU && a.Memory <= in.Memory && a.GPU <= in.GPU
}

// Share returns a percentage of each dimension, rounded toward zero.
func (a Amount) Share(percent int64) Amount {
	return Amount{a.CPU * percent / 100, a.Memory * percent / 100, a.GPU * percent / 100}
}

// MarshalJSON returns a number if only CPU is set, else an object with cpu, memory and
// accelerators.
func (a Amount) MarshalJSON() ([]byte, error) {
	if a.Memory == 0 && a.GPU == 0 {
		return strconv.AppendInt(nil, a.CPU, 10), nil
	}
	return json.Marshal(map[string]int64{"cpu": a.CPU, "memory": a.Memory, "accelerators": a.GPU})
}

// UnmarshalJSON decodes either form of MarshalJSON, see Parse.
func (a *Amount) UnmarshalJSON(b []byte) error {
	*a = Parse(gjson.ParseBytes(b))
	return nil
}

// Parse returns the amount in a number or an object; missing dimensions are 0.
//
// Example: resource.Parse(gjson.Parse(`{"cpu": 500, "memory": 64}`))
func Parse(r gjson.Result) Amount {
	if r.IsObject() {
		return Amount{CPU: r.Get("cpu").Int(), Memory: r.Get("memory").Int(), GPU: r.Get("accelerators").Int()}
	}
	return Amount{CPU: r.Int()}
}
