package daemon

import (
	"encoding/json"
)

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only our own types come here
	}
	return b
}
