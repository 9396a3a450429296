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

// maxFaults bounds the faults that a garbled file reports.
const maxFaults = 100

// shapeChecker walks a JSON text beside the Go type that it should fill. Unlike package
// json it finds every fault, and takes names exactly and once each.
type shapeChecker struct {
	dec    *json.Decoder
	path   []pathStep // to the value being checked
	fields map[reflect.Type]map[string]reflect.Type
	faults []Fault
}

// pathStep is a field's name or, if that is empty, a place in a list.
type pathStep struct {
	name  string
	index int
}

// Check returns the faults of text as the JSON form of like's type: unknown and
// repeated names, values of a wrong kind, text that is no JSON.
func Check(text []byte, like any) []Fault {
	c := &shapeChecker{dec: json.NewDecoder(bytes.NewReader(text)), fields: map[reflect.Type]map[string]reflect.Type{}}
	c.dec.UseNumber()
	if err := c.value(reflect.TypeOf(like)); err != nil {
		c.path = nil
		c.add("not valid JSON at byte %d: %v", c.dec.InputOffset(), err)
		return c.faults
	}
	if _, err := c.dec.Token(); !errors.Is(err, io.EOF) {
		c.add("text follows the end of the JSON value; remove it")
	}
	return c.faults
}

// add adds a fault of the value being checked.
func (c *shapeChecker) add(format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, Fault{Path: c.pathText(), Message: fmt.Sprintf(format, args...)})
	}
}

func (c *shapeChecker) pathText() string {
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

// value checks the next value against t. It returns an error only if the text is no JSON.
func (c *shapeChecker) value(t reflect.Type) error {
	token, err := c.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		if t.Kind() != reflect.Struct {
			c.add("is an object; want %s", kindName(t))
			return c.skipRest(1)
		}
		return c.object(t)
	case json.Delim('['):
		if t.Kind() != reflect.Slice || t.Elem().Kind() == reflect.Uint8 {
			c.add("is a list; want %s", kindName(t))
			return c.skipRest(1)
		}
		return c.list(t)
	}
	c.scalar(t, token)
	return nil
}

func (c *shapeChecker) object(t reflect.Type) error {
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
			c.add("is given twice; keep one")
		}
		seen[name] = true
		if err := c.field(fields, name); err != nil {
			return err
		}
	}
	c.path = c.path[:depth]
	_, err := c.dec.Token()
	return err
}

// field checks the value of a field by name.
func (c *shapeChecker) field(fields map[string]reflect.Type, name string) error {
	if t, ok := fields[name]; ok {
		return c.value(t)
	}
	c.add("unknown field; remove it or use one of: %s", strings.Join(slices.Sorted(maps.Keys(fields)), ", "))
	var skipped json.RawMessage
	return c.dec.Decode(&skipped)
}

func (c *shapeChecker) list(t reflect.Type) error {
	depth := len(c.path)
	for i := 0; c.dec.More(); i++ {
		c.path = append(c.path[:depth], pathStep{index: i})
		if err := c.value(t.Elem()); err != nil {
			return err
		}
	}
	c.path = c.path[:depth]
	_, err := c.dec.Token()
	return err
}

// skipRest reads up to the end of an object or list that has been entered depth times.
func (c *shapeChecker) skipRest(depth int) error {
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

func (c *shapeChecker) scalar(t reflect.Type, token json.Token) {
	if _, ok := token.(string); ok && t.Kind() == reflect.String {
		return
	}
	if token == nil && t.Kind() == reflect.Slice { // as package json writes an empty list
		return
	}
	text, err := json.Marshal(token)
	if err == nil && token != nil {
		err = json.Unmarshal(text, reflect.New(t).Interface())
	}
	if err != nil || token == nil {
		c.add("is %s; want %s", text, kindName(t))
	}
}

// fieldTypes returns the types of t's fields by their names in JSON.
func (c *shapeChecker) fieldTypes(t reflect.Type) map[string]reflect.Type {
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

// kindName says in words what JSON value fills t.
func kindName(t reflect.Type) string {
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
