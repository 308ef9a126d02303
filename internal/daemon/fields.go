package daemon

import (
	"otterchute/internal/wire"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// fieldSchema says what a field of a document may be. Setups, jobs, reports and
// the settings file are all checked by such tables.
type fieldSchema struct {
	Kind     string
	Required bool
	Min, Max int64 // of a number, or of a list's or text's length
	Fields   map[string]fieldSchema
	Elem     *fieldSchema
}

var fieldKinds map[string]func(gjson.Result, string, fieldSchema, *[]fault)

func init() {
	fieldKinds = map[string]func(gjson.Result, string, fieldSchema, *[]fault){
		"text": func(v gjson.Result, path string, s fieldSchema, out *[]fault) {
			if v.Type != gjson.String {
				*out = append(*out, fault{path, "must be a text"})
			} else if n := int64(len(v.Str)); n < s.Min || s.Max > 0 && n > s.Max {
				*out = append(*out, fault{path, "must have " + bounds(s) + " bytes"})
			}
		},
		"name": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if v.Type != gjson.String || !nameOK(v.Str) {
				*out = append(*out, fault{path, "must be a name: 1 to 128 letters, digits, '-', '_', '.' or ':'"})
			}
		},
		"count": func(v gjson.Result, path string, s fieldSchema, out *[]fault) {
			i, err := strconv.ParseInt(v.Raw, 10, 64)
			if v.Type != gjson.Number || err != nil {
				*out = append(*out, fault{path, "must be a whole number"})
			} else if i < s.Min || s.Max > 0 && i > s.Max {
				*out = append(*out, fault{path, "must be " + bounds(s)})
			}
		},
		"number": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if v.Type != gjson.Number || v.Num < 0 {
				*out = append(*out, fault{path, "must be a number of 0 or more"})
			}
		},
		"flag": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if !v.IsBool() {
				*out = append(*out, fault{path, "must be true or false"})
			}
		},
		"room": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if v.IsObject() {
				any := false
				v.ForEach(func(k, e gjson.Result) bool {
					i, err := strconv.ParseInt(e.Raw, 10, 64)
					if k.Str != "cpu" && k.Str != "memory" && k.Str != "accelerators" {
						*out = append(*out, fault{path + "." + k.Str, "is not a known field"})
					} else if err != nil || i < 0 || i > 1<<40 {
						*out = append(*out, fault{path + "." + k.Str, "must be a whole number of 0 or more"})
					}
					any = any || i > 0
					return true
				})
				if !any {
					*out = append(*out, fault{path, "asks for nothing"})
				}
				return
			}
			checkField(v, path, fieldSchema{Kind: "count", Min: 1, Max: 1 << 40}, out)
		},
		"labels": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if !v.IsObject() {
				*out = append(*out, fault{path, "must be an object of names to texts"})
				return
			}
			v.ForEach(func(k, e gjson.Result) bool {
				if !nameOK(k.Str) || e.Type != gjson.String || len(e.Str) > 256 {
					*out = append(*out, fault{path + "." + k.Str, "must be a name with a text of at most 256 bytes"})
				}
				return true
			})
		},
		"choices": func(v gjson.Result, path string, _ fieldSchema, out *[]fault) {
			if !v.IsObject() {
				*out = append(*out, fault{path, "must be an object of label names to lists of values"})
				return
			}
			v.ForEach(func(k, e gjson.Result) bool {
				ok := nameOK(k.Str) && e.IsArray() && len(e.Array()) > 0
				for _, x := range e.Array() {
					ok = ok && x.Type == gjson.String
				}
				if !ok {
					*out = append(*out, fault{path + "." + k.Str, "must be a label name with a list of one or more texts"})
				}
				return true
			})
		},
		"list": func(v gjson.Result, path string, s fieldSchema, out *[]fault) {
			if !v.IsArray() {
				*out = append(*out, fault{path, "must be a list"})
				return
			}
			items := v.Array()
			if n := int64(len(items)); n < s.Min || s.Max > 0 && n > s.Max {
				*out = append(*out, fault{path, "must have " + bounds(s) + " entries"})
				return
			}
			for i, e := range items {
				checkField(e, path+"."+strconv.Itoa(i), *s.Elem, out)
			}
		},
		"object": func(v gjson.Result, path string, s fieldSchema, out *[]fault) {
			if !v.IsObject() {
				*out = append(*out, fault{path, "must be an object"})
				return
			}
			join := func(k string) string {
				if path == "" {
					return k
				}
				return path + "." + k
			}
			seen := map[string]bool{}
			v.ForEach(func(k, e gjson.Result) bool {
				sub, ok := s.Fields[k.Str]
				switch {
				case !ok:
					*out = append(*out, fault{join(k.Str), "is not a known field"})
				case seen[k.Str]:
					*out = append(*out, fault{join(k.Str), "stands twice"})
				default:
					checkField(e, join(k.Str), sub, out)
				}
				seen[k.Str] = true
				return len(*out) < 100
			})
			var missing []string // sorted only where there are some: a setup has thousands of objects
			for k, sub := range s.Fields {
				if sub.Required && !seen[k] {
					missing = append(missing, k)
				}
			}
			slices.Sort(missing)
			for _, k := range missing {
				*out = append(*out, fault{join(k), "is missing"})
			}
		},
		"any": func(gjson.Result, string, fieldSchema, *[]fault) {},
	}
}

func bounds(s fieldSchema) string {
	if s.Max == 0 {
		return "at least " + strconv.FormatInt(s.Min, 10)
	}
	return strconv.FormatInt(s.Min, 10) + " to " + strconv.FormatInt(s.Max, 10)
}

func nameOK(s string) bool {
	if len(s) == 0 || len(s) > 128 {
		return false
	}
	for _, c := range []byte(s) {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.' || c == ':') {
			return false
		}
	}
	return true
}

func checkField(v gjson.Result, path string, s fieldSchema, out *[]fault) {
	fieldKinds[s.Kind](v, path, s, out)
}

// checkDocument gives all faults of a JSON document against its table.
//
// Example: faults := checkDocument(body, jobSpecFields)
func checkDocument(doc []byte, spec fieldSchema) []fault {
	if !gjson.ValidBytes(doc) {
		return []fault{{"", "is not JSON"}}
	}
	var out []fault
	checkField(gjson.ParseBytes(doc), "", spec, &out)
	return out
}

func labelsOf(v gjson.Result) []wire.Label {
	var out []wire.Label
	m := v.Map()
	for _, k := range sorted(m) {
		out = append(out, wire.Label{Key: k, Value: m[k].Str})
	}
	return out
}
