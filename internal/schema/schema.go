// Package schema validates JSON documents against tables of fields: configurations, jobs,
// workers' reports and the settings file. A Field describes the valid values; Check
// returns the faults of a document with the path of each invalid value. Rules that involve
// several fields are not checked here.
package schema

import (
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// Kind is the type of a value.
type Kind int

// The kinds. Where Max is a bound, 0 means unbounded.
const (
	Any       Kind = iota
	String         // a string of Min to Max bytes
	Name           // 1 to 128 letters, digits, '-', '_', '.' or ':'
	Integer        // an integer from Min to Max
	Number         // a number of 0 or more
	Bool           // true or false
	Resources      // a positive integer, or an object of cpu, memory and accelerators
	Labels         // an object with names as keys and strings as values
	Choices        // an object with label names as keys and nonempty lists of strings as values
	List           // Min to Max elements that match Elem
	Object         // an object with the keys in Fields only
)

// Field describes the valid values at one position of a document.
type Field struct {
	Kind     Kind
	Required bool // for a field of an Object
	Min, Max int64
	Fields   map[string]Field // for an Object
	Elem     *Field           // for a List
}

// Fault describes one invalid value of a document. The path has the form "queues.0.name", or is ""
// for the whole document.
type Fault struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

const (
	maxFaults     = 100     // the check of an object stops after this many faults
	maxNameBytes  = 128     // the length of a Name
	maxLabelBytes = 256     // the length of a label's value
	maxAmount     = 1 << 40 // the amount of a resource
)

// Check returns the faults of a JSON document; none if it is valid.
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

// ValidName reports whether a string is a valid Name.
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

// checker collects the faults of one document.
type checker struct{ faults []Fault }

func (c *checker) add(path, reason string) { c.faults = append(c.faults, Fault{path, reason}) }

// checks holds the check function of each kind.
var checks map[Kind]func(c *checker, v gjson.Result, path string, f Field)

func init() { // a variable initializer would be cyclic: list and object call check
	checks = map[Kind]func(c *checker, v gjson.Result, path string, f Field){
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

func (c *checker) check(v gjson.Result, path string, f Field) { checks[f.Kind](c, v, path, f) }

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
	hasAmount := false
	v.ForEach(func(k, e gjson.Result) bool {
		i, err := strconv.ParseInt(e.Raw, 10, 64)
		switch {
		case k.Str != "cpu" && k.Str != "memory" && k.Str != "accelerators":
			c.add(path+"."+k.Str, "is not a known field")
		case err != nil || i < 0 || i > maxAmount:
			c.add(path+"."+k.Str, "must be a whole number of 0 or more")
		}
		hasAmount = hasAmount || i > 0
		return true
	})
	if !hasAmount {
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
		switch fieldPath := join(path, k.Str); {
		case !known:
			c.add(fieldPath, "is not a known field")
		case seen[k.Str]:
			c.add(fieldPath, "stands twice")
		default:
			c.check(e, fieldPath, field)
		}
		seen[k.Str] = true
		return len(c.faults) < maxFaults
	})
	for _, name := range f.missing(seen) {
		c.add(join(path, name), "is missing")
	}
}

// missing returns the sorted names of required fields that are not present. It allocates
// nothing if there are none, since a configuration has thousands of objects.
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

// within reports whether a number is within the bounds.
func (f Field) within(n int64) bool { return n >= f.Min && (f.Max <= 0 || n <= f.Max) }

// bounds describes the bounds in words.
func (f Field) bounds() string {
	if f.Max == 0 {
		return "at least " + strconv.FormatInt(f.Min, 10)
	}
	return strconv.FormatInt(f.Min, 10) + " to " + strconv.FormatInt(f.Max, 10)
}
