package daemon

import (
	"encoding/json"
)

// mustJSON encodes a value of a type that always can be encoded.
func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // all callers pass types that can be encoded
	}
	return b
}
