package daemon

import (
	"otterchute/internal/wire"

	"github.com/tidwall/gjson"
)

// labelsOf reads labels from a document, in the order of their keys.
func labelsOf(v gjson.Result) []wire.Label {
	var out []wire.Label
	m := v.Map()
	for _, k := range sortedKeys(m) {
		out = append(out, wire.Label{Key: k, Value: m[k].Str})
	}
	return out
}
