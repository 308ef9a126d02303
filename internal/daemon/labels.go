package daemon

import (
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

// labelsOf returns the labels of a JSON object, sorted by key.
func labelsOf(v gjson.Result) []wire.Label {
	var out []wire.Label
	m := v.Map()
	for _, k := range sortedKeys(m) {
		out = append(out, wire.Label{Key: k, Value: m[k].Str})
	}
	return out
}
