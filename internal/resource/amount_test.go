package resource

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func TestArithmetic(t *testing.T) {
	a, b := Amount{10, 20, 3}, Amount{4, 20, 1}
	must.Eq(t, Amount{14, 40, 4}, a.Plus(b))
	must.Eq(t, Amount{6, 0, 2}, a.Minus(b))
	must.Eq(t, Amount{5, 10, 1}, a.Share(50))
}

func TestFits(t *testing.T) {
	worker := Amount{10, 20, 1}
	for _, c := range []struct {
		task Amount
		fits bool
	}{{Amount{}, true}, {worker, true}, {Amount{11, 0, 0}, false}, {Amount{0, 21, 0}, false}, {Amount{0, 0, 2}, false}} {
		must.Eq(t, c.fits, c.task.Fits(worker), must.Sprint(c.task))
	}
}

func TestJSON(t *testing.T) {
	for text, want := range map[string]Amount{
		"61": {CPU: 61},
		`{"accelerators":1,"cpu":61,"memory":512}`: {61, 512, 1},
	} {
		t.Run(text, func(t *testing.T) {
			var got Amount
			must.NoError(t, json.Unmarshal([]byte(text), &got))
			must.Eq(t, want, got)
			b, err := json.Marshal(got)
			must.NoError(t, err)
			must.Eq(t, text, string(b))
		})
	}
}
