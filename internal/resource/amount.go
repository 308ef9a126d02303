// Package resource is what tasks take of a worker and what a worker has: amounts of
// processor, memory and accelerators, with their arithmetic and their JSON.
package resource

import (
	"encoding/json"
	"strconv"

	"github.com/tidwall/gjson"
)

// Amount is an amount in each dimension, in the units of the operators: usually
// thousandths of a core, megabytes and whole accelerators. A dimension may be
// negative where more was taken than there is.
type Amount struct{ CPU, Memory, GPU int64 }

// Plus is the sum, dimension by dimension.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.CPU + b.CPU, a.Memory + b.Memory, a.GPU + b.GPU}
}

// Minus is the difference, dimension by dimension.
func (a Amount) Minus(b Amount) Amount {
	return Amount{a.CPU - b.CPU, a.Memory - b.Memory, a.GPU - b.GPU}
}

// Fits tells whether no dimension is above that of another amount.
func (a Amount) Fits(in Amount) bool {
	return a.CPU <= in.CPU && a.Memory <= in.Memory && a.GPU <= in.GPU
}

// Share is a part of the amount, in percent, rounded down.
func (a Amount) Share(percent int64) Amount {
	return Amount{a.CPU * percent / 100, a.Memory * percent / 100, a.GPU * percent / 100}
}

// MarshalJSON writes a number where processor is all there is, else an object with
// cpu, memory and accelerators.
func (a Amount) MarshalJSON() ([]byte, error) {
	if a.Memory == 0 && a.GPU == 0 {
		return strconv.AppendInt(nil, a.CPU, 10), nil
	}
	return json.Marshal(map[string]int64{"cpu": a.CPU, "memory": a.Memory, "accelerators": a.GPU})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (a *Amount) UnmarshalJSON(b []byte) error {
	*a = Parse(gjson.ParseBytes(b))
	return nil
}

// Parse reads an amount from a number or an object; what it doesn't find is 0.
//
// Example: resource.Parse(gjson.Parse(`{"cpu": 500, "memory": 64}`))
func Parse(r gjson.Result) Amount {
	if r.IsObject() {
		return Amount{CPU: r.Get("cpu").Int(), Memory: r.Get("memory").Int(), GPU: r.Get("accelerators").Int()}
	}
	return Amount{CPU: r.Int()}
}
