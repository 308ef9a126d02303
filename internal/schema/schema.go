// Package schema checks JSON documents against tables: configurations, jobs,
// workers' reports and the settings file. A Field says what a value may be; Check
// returns every Fault of a document with the path of the value it is about. It
// checks one document at a time and knows nothing that lies between its fields.
package schema

import (
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// Kind is what a value may be.
type Kind int

// The kinds, and which of a Field's bounds they go by.
const (
	Any       Kind = iota
	String         // a string of Min to Max bytes; Max 0 for no bound
	Name           // 1 to 128 letters, digits, '-', '_', '.' or ':'
	Integer        // a whole number of Min to Max; Max 0 for no bound
	Number         // a number of 0 or more
	Bool           // true or false
	Resources      // a Count of 1 or more, or an object of cpu, memory and accelerators
	Labels         // an object of names to strings
	Choices        // an object of label names to lists of one or more strings
	List           // Min to Max entries, each an Elem; Max 0 for no bound
	Object         // of Fields, and no others
)

// Field is what a value of a document may be.
type Field struct {
	Kind     Kind
	Required bool // within an Object
	Min, Max int64
	Fields   map[string]Field // of an Object
	Elem     *Field           // of a List
}

// Fault is one thing wrong in a document, with the path of its value, such as
// "queues.0.name"; the path is "" for the document as a whole.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

const (
	maxFaults     = 100     // of one object: more help nobody
	maxNameBytes  = 128     // of a Name
	maxLabelBytes = 256     // of a label's value
	maxAmount     = 1 << 40 // of a resource
)

// Check returns all faults of a JSON document; none if it is sound.
//
// Example: faults := schema.Check(body, schema.Field{Kind: schema.Object, Fields: fields})
func Check(doc []byte, f Field) []Fault {
	if !gjson.ValidBytes(doc) {
		return []Fault{{"", "is not JSON"}}
	}
	c := checker{}
	c.check(gjson.ParseBytes(doc), "", f)
	return c.faults
}

// ValidName tells whether a string is a Name.
//
// Example: schema.ValidName("edge-1")
func ValidName(s string) bool {
	if len(s) == 0 || len(s) > maxNameBytes {
		return false
	}
	for _, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' && c != ':' {
			return false
		}
	}
	return true
}

// checker gathers the faults of one document.
type checker struct{ faults []Fault }

func (c *checker) add(path, reason string) { c.faults = append(c.faults, Fault{path, reason}) }

// kinds holds the check of each kind.
var kinds map[Kind]func(c *checker, v gjson.Result, path string, f Field)

func init() { // they call each other
	kinds = map[Kind]func(c *checker, v gjson.Result, path string, f Field){
		Any:       func(*checker, gjson.Result, string, Field) {},
		String:    (*checker).text,
		Name:      (*checker).name,
		Integer:   (*checker).count,
		Number:    (*checker).number,
		Bool:      (*checker).flag,
		Resources: (*checker).resources,
		Labels:    (*checker).labels,
		Choices:   (*checker).choices,
		List:      (*checker).list,
		Object:    (*checker).object,
	}
}

func (c *checker) check(v gjson.Result, path string, f Field) { kinds[f.Kind](c, v, path, f) }

func (c *checker) text(v gjson.Result, path string, f Field) {
	if v.Type != gjson.String {
		c.add(path, "must be a text")
		return
	}
	if !f.within(int64(len(v.Str))) {
		c.add(path, "must have "+f.bounds()+" bytes")
	}
}

func (c *checker) name(v gjson.Result, path string, _ Field) {
	if v.Type != gjson.String || !ValidName(v.Str) {
		c.add(path, "must be a name: 1 to 128 letters, digits, '-', '_', '.' or ':'")
	}
}

func (c *checker) count(v gjson.Result, path string, f Field) {
	i, err := strconv.ParseInt(v.Raw, 10, 64)
	if v.Type != gjson.Number || err != nil {
		c.add(path, "must be a whole number")
		return
	}
	if !f.within(i) {
		c.add(path, "must be "+f.bounds())
	}
}

func (c *checker) number(v gjson.Result, path string, _ Field) {
	if v.Type != gjson.Number || v.Num < 0 {
		c.add(path, "must be a number of 0 or more")
	}
}

func (c *checker) flag(v gjson.Result, path string, _ Field) {
	if !v.IsBool() {
		c.add(path, "must be true or false")
	}
}

func (c *checker) resources(v gjson.Result, path string, _ Field) {
	if !v.IsObject() {
		c.check(v, path, Field{Kind: Integer, Min: 1, Max: maxAmount})
		return
	}
	some := false
	v.ForEach(func(k, e gjson.Result) bool {
		i, err := strconv.ParseInt(e.Raw, 10, 64)
		switch {
		case k.Str != "cpu" && k.Str != "memory" && k.Str != "accelerators":
			c.add(path+"."+k.Str, "is not a known field")
		case err != nil || i < 0 || i > maxAmount:
			c.add(path+"."+k.Str, "must be a whole number of 0 or more")
		}
		some = some || i > 0
		return true
	})
	if !some {
		c.add(path, "asks for nothing")
	}
}

func (c *checker) labels(v gjson.Result, path string, _ Field) {
	if !v.IsObject() {
		c.add(path, "must be an object of names to texts")
		return
	}
	v.ForEach(func(k, e gjson.Result) bool {
		if !ValidName(k.Str) || e.Type != gjson.String || len(e.Str) > maxLabelBytes {
			c.add(path+"."+k.Str, "must be a name with a text of at most 256 bytes")
		}
		return true
	})
}

func (c *checker) choices(v gjson.Result, path string, _ Field) {
	if !v.IsObject() {
		c.add(path, "must be an object of label names to lists of values")
		return
	}
	v.ForEach(func(k, e gjson.Result) bool {
		ok := ValidName(k.Str) && e.IsArray() && len(e.Array()) > 0
		for _, x := range e.Array() {
			ok = ok && x.Type == gjson.String
		}
		if !ok {
			c.add(path+"."+k.Str, "must be a label name with a list of one or more texts")
		}
		return true
	})
}

func (c *checker) list(v gjson.Result, path string, f Field) {
	if !v.IsArray() {
		c.add(path, "must be a list")
		return
	}
	items := v.Array()
	if !f.within(int64(len(items))) {
		c.add(path, "must have "+f.bounds()+" entries")
		return
	}
	for i, e := range items {
		c.check(e, path+"."+strconv.Itoa(i), *f.Elem)
	}
}

func (c *checker) object(v gjson.Result, path string, f Field) {
	if !v.IsObject() {
		c.add(path, "must be an object")
		return
	}
	seen := map[string]bool{}
	v.ForEach(func(k, e gjson.Result) bool {
		field, known := f.Fields[k.Str]
		switch at := join(path, k.Str); {
		case !known:
			c.add(at, "is not a known field")
		case seen[k.Str]:
			c.add(at, "stands twice")
		default:
			c.check(e, at, field)
		}
		seen[k.Str] = true
		return len(c.faults) < maxFaults
	})
	for _, name := range f.missing(seen) {
		c.add(join(path, name), "is missing")
	}
}

// missing returns the required fields that were not seen. They are sorted only
// where there are some: a configuration has thousands of objects.
func (f Field) missing(seen map[string]bool) (names []string) {
	for name, field := range f.Fields {
		if field.Required && !seen[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// within tells whether a number keeps to the bounds.
func (f Field) within(n int64) bool { return n >= f.Min && (f.Max <= 0 || n <= f.Max) }

// bounds tells the bounds in words.
func (f Field) bounds() string {
	if f.Max == 0 {
		return "at least " + strconv.FormatInt(f.Min, 10)
	}
	return strconv.FormatInt(f.Min, 10) + " to " + strconv.FormatInt(f.Max, 10)
}
