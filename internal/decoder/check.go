package decoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"
)

// maxFaults limits the number of faults reported for one document, such as a corrupt file.
const maxFaults = 100

// checker compares a JSON text with the Go type that it is to be decoded into. Unlike package
// json it reports every fault, matches field names case-sensitively and rejects duplicates.
type checker struct {
	dec    *json.Decoder
	path   []pathStep // path of the value being checked
	fields map[reflect.Type]map[string]reflect.Type
	faults []Fault
}

// pathStep is a field name or, if the name is empty, an index in a list.
type pathStep struct {
	name  string
	index int
}

// Check returns the faults of text as a JSON document of target's type: unknown and
// duplicate field names, values of a wrong type, and invalid JSON.
func Check(text []byte, target any) []Fault {
	c := &checker{dec: json.NewDecoder(bytes.NewReader(text)), fields: map[reflect.Type]map[string]reflect.Type{}}
	c.dec.UseNumber()
	if err := c.checkValue(reflect.TypeOf(target)); err != nil {
		c.path = nil
		c.addFault("not valid JSON at byte %d: %v", c.dec.InputOffset(), err)
		return c.faults
	}
	if _, err := c.dec.Token(); !errors.Is(err, io.EOF) {
		c.addFault("text follows the end of the JSON value; remove it")
	}
	return c.faults
}

// addFault adds a fault at the path of the value being checked.
func (c *checker) addFault(format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, Fault{Path: c.formatPath(), Message: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) formatPath() string {
	var text strings.Builder
	for i, step := range c.path {
		switch {
		case step.name == "":
			fmt.Fprintf(&text, "[%d]", step.index)
		case i == 0:
			text.WriteString(step.name)
		default:
			text.WriteString("." + step.name)
		}
	}
	return text.String()
}

// checkValue checks the next value against t. It returns an error only if the text is not valid JSON.
func (c *checker) checkValue(t reflect.Type) error {
	token, err := c.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		if t.Kind() != reflect.Struct {
			c.addFault("is an object; want %s", describeExpected(t))
			return c.skipRest(1)
		}
		return c.checkObject(t)
	case json.Delim('['):
		if t.Kind() != reflect.Slice || t.Elem().Kind() == reflect.Uint8 {
			c.addFault("is a list; want %s", describeExpected(t))
			return c.skipRest(1)
		}
		return c.checkList(t)
	}
	c.checkScalar(t, token)
	return nil
}

func (c *checker) checkObject(t reflect.Type) error {
	fields := c.fieldTypes(t)
	seen := make(map[string]bool, len(fields))
	depth := len(c.path)
	for c.dec.More() {
		token, err := c.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		c.path = append(c.path[:depth], pathStep{name: name})
		if seen[name] {
			c.addFault("is given twice; keep one")
		}
		seen[name] = true
		if err := c.checkField(fields, name); err != nil {
			return err
		}
	}
	c.path = c.path[:depth]
	_, err := c.dec.Token()
	return err
}

// checkField checks the value of the field called name. It reports a field that is not in
// fields as unknown and skips its value.
func (c *checker) checkField(fields map[string]reflect.Type, name string) error {
	if t, ok := fields[name]; ok {
		return c.checkValue(t)
	}
	c.addFault("unknown field; remove it or use one of: %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
	var skipped json.RawMessage
	return c.dec.Decode(&skipped)
}

func (c *checker) checkList(t reflect.Type) error {
	depth := len(c.path)
	for i := 0; c.dec.More(); i++ {
		c.path = append(c.path[:depth], pathStep{index: i})
		if err := c.checkValue(t.Elem()); err != nil {
			return err
		}
	}
	c.path = c.path[:depth]
	_, err := c.dec.Token()
	return err
}

// skipRest skips the remaining tokens of depth nested objects or lists whose opening tokens
// have been read.
func (c *checker) skipRest(depth int) error {
	for depth > 0 {
		token, err := c.dec.Token()
		if err != nil {
			return err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
	}
	return nil
}

func (c *checker) checkScalar(t reflect.Type, token json.Token) {
	if _, ok := token.(string); ok && t.Kind() == reflect.String {
		return
	}
	if token == nil && t.Kind() == reflect.Slice { // package json writes a nil slice as null
		return
	}
	text, err := json.Marshal(token)
	if err == nil && token != nil {
		err = json.Unmarshal(text, reflect.New(t).Interface())
	}
	if err != nil || token == nil {
		c.addFault("is %s; want %s", text, describeExpected(t))
	}
}

// fieldTypes returns the types of t's fields by JSON field name.
func (c *checker) fieldTypes(t reflect.Type) map[string]reflect.Type {
	if fields, ok := c.fields[t]; ok {
		return fields
	}
	fields := map[string]reflect.Type{}
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	c.fields[t] = fields
	return fields
}

// describeExpected returns the text that names the kind of JSON value expected for t.
func describeExpected(t reflect.Type) string {
	if t == reflect.TypeFor[netip.AddrPort]() {
		return "an address such as \"10.0.0.1:8080\""
	}
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		return "a duration such as \"1.5s\""
	}
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "base64 text"
		}
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Uint64:
		return "a whole number from 0"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}
