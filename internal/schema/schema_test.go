package schema

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheck(t *testing.T) {
	object := func(f Field) Field { return Field{Kind: Object, Fields: map[string]Field{"v": f}} }
	for _, c := range []struct {
		name   string
		field  Field
		doc    string
		faults []Fault
	}{
		{"not JSON", object(Field{}), `{`, []Fault{{"", "is not JSON"}}},
		{"not an object", object(Field{}), `[]`, []Fault{{"", "must be an object"}}},
		{"unknown", object(Field{}), `{"w":1}`, []Fault{{"w", "is not a known field"}}},
		{"twice", object(Field{}), `{"v":1,"v":2}`, []Fault{{"v", "stands twice"}}},
		{"missing", object(Field{Required: true}), `{}`, []Fault{{"v", "is missing"}}},
		{"text", object(Field{Kind: String, Max: 2}), `{"v":"abc"}`, []Fault{{"v", "must have 0 to 2 bytes"}}},
		{"text of no bound", object(Field{Kind: String}), `{"v":"abc"}`, nil},
		{"not a text", object(Field{Kind: String}), `{"v":1}`, []Fault{{"v", "must be a text"}}},
		{"name", object(Field{Kind: Name}), `{"v":"a b"}`, []Fault{{"v", "must be a name: 1 to 128 letters, digits, '-', '_', '.' or ':'"}}},
		{"count", object(Field{Kind: Integer, Min: 1, Max: 3}), `{"v":4}`, []Fault{{"v", "must be 1 to 3"}}},
		{"count of no bound", object(Field{Kind: Integer, Min: 1}), `{"v":0}`, []Fault{{"v", "must be at least 1"}}},
		{"negative bounds", object(Field{Kind: Integer, Min: -3, Max: 3}), `{"v":-3}`, nil},
		{"fraction", object(Field{Kind: Integer}), `{"v":1.5}`, []Fault{{"v", "must be a whole number"}}},
		{"number", object(Field{Kind: Number}), `{"v":-1}`, []Fault{{"v", "must be a number of 0 or more"}}},
		{"flag", object(Field{Kind: Bool}), `{"v":"true"}`, []Fault{{"v", "must be true or false"}}},
		{"resources", object(Field{Kind: Resources}), `{"v":{"cpu":1,"memory":2}}`, nil},
		{"resources as a number", object(Field{Kind: Resources}), `{"v":0}`, []Fault{{"v", "must be 1 to 1099511627776"}}},
		{"no resources", object(Field{Kind: Resources}), `{"v":{"cpu":0,"disk":1}}`, []Fault{{"v.disk", "is not a known field"}}},
		{"nothing", object(Field{Kind: Resources}), `{"v":{}}`, []Fault{{"v", "asks for nothing"}}},
		{"labels", object(Field{Kind: Labels}), `{"v":{"a b":"x"}}`, []Fault{{"v.a b", "must be a name with a text of at most 256 bytes"}}},
		{"choices", object(Field{Kind: Choices}), `{"v":{"a":[]}}`, []Fault{{"v.a", "must be a label name with a list of one or more texts"}}},
		{"list", object(Field{Kind: List, Max: 1, Elem: &Field{Kind: Bool}}), `{"v":[true,false]}`, []Fault{{"v", "must have 0 to 1 entries"}}},
		{"list's entry", object(Field{Kind: List, Elem: &Field{Kind: Bool}}), `{"v":[true,1]}`, []Fault{{"v.1", "must be true or false"}}},
	} {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.faults, Check([]byte(c.doc), c.field)) })
	}
}

func TestValidName(t *testing.T) {
	for name, valid := range map[string]bool{"": false, "a": true, "Edge-1_x.y:z": true, "a/b": false, string(make([]byte, 129)): false} {
		must.Eq(t, valid, ValidName(name), must.Sprint(name))
	}
}
