package bundler

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// maxShapeProblems bounds the faults that a garbled file reports.
const maxShapeProblems = 100

// shapeChecker walks a JSON text beside the Go type that it should fill. Unlike package
// json it finds every fault, and takes names exactly and once each.
type shapeChecker struct {
	dec      *json.Decoder
	problems []Problem
}

// checkShape returns the faults of text as the JSON form of like's type: unknown and
// repeated names, values of a wrong kind, text that is no JSON.
func checkShape(text []byte, like any) []Problem {
	c := &shapeChecker{dec: json.NewDecoder(bytes.NewReader(text))}
	c.dec.UseNumber()
	if err := c.value("", reflect.TypeOf(like)); err != nil {
		c.add("", "not valid JSON at byte %d: %v", c.dec.InputOffset(), err)
		return c.problems
	}
	if _, err := c.dec.Token(); !errors.Is(err, io.EOF) {
		c.add("", "text follows the end of the JSON value; remove it")
	}
	return c.problems
}

func (c *shapeChecker) add(path, format string, args ...any) {
	if len(c.problems) < maxShapeProblems {
		c.problems = append(c.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// value checks the next value against t. It returns an error only if the text is no JSON.
func (c *shapeChecker) value(path string, t reflect.Type) error {
	token, err := c.dec.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		if t.Kind() != reflect.Struct {
			c.add(path, "is an object; want %s", kindName(t))
			return c.skipRest(1)
		}
		return c.object(path, t)
	case json.Delim('['):
		if t.Kind() != reflect.Slice || t.Elem().Kind() == reflect.Uint8 {
			c.add(path, "is a list; want %s", kindName(t))
			return c.skipRest(1)
		}
		return c.list(path, t)
	}
	c.scalar(path, t, token)
	return nil
}

func (c *shapeChecker) object(path string, t reflect.Type) error {
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for c.dec.More() {
		token, err := c.dec.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		at := strings.TrimPrefix(path+"."+name, ".")
		if seen[name] {
			c.add(at, "is given twice; keep one")
		}
		seen[name] = true
		field, ok := fields[name]
		if !ok {
			c.add(at, "unknown field; remove it or use one of: %s", strings.Join(sortedNames(fields), ", "))
			var skipped json.RawMessage
			if err := c.dec.Decode(&skipped); err != nil {
				return err
			}
			continue
		}
		if err := c.value(at, field); err != nil {
			return err
		}
	}
	_, err := c.dec.Token()
	return err
}

func (c *shapeChecker) list(path string, t reflect.Type) error {
	for i := 0; c.dec.More(); i++ {
		if err := c.value(fmt.Sprintf("%s[%d]", path, i), t.Elem()); err != nil {
			return err
		}
	}
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

func (c *shapeChecker) scalar(path string, t reflect.Type, token json.Token) {
	if token == nil && t.Kind() == reflect.Slice { // as package json writes an empty list
		return
	}
	text, err := json.Marshal(token)
	if err == nil && token != nil {
		err = json.Unmarshal(text, reflect.New(t).Interface())
	}
	if err != nil || token == nil {
		c.add(path, "is %s; want %s", text, kindName(t))
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for field := range t.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// kindName says in words what JSON value fills t.
func kindName(t reflect.Type) string {
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
	case reflect.Int:
		return "a whole number"
	default:
		return "a number"
	}
}
