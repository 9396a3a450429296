package decoder

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

// Fault is one thing that is wrong with a document.
type Fault struct {
	Path string // of the field, such as "listen.callers" or "peers[2].address"
	Mend string // what is wrong and what mends it
}

// DocumentError is everything found wrong with a document.
type DocumentError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *DocumentError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s", f.Path, f.Mend)
	}
	return "decoder: " + strings.Join(lines, "\n")
}

// Decode reads the one JSON document of data into v, a pointer to a struct. It returns a
// *DocumentError with every unknown field, or with the first syntax or type error.
func Decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	if err := d.Decode(v); err != nil {
		return &DocumentError{Faults: []Fault{fault(err)}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &DocumentError{Faults: []Fault{{Path: "(document)", Mend: "has text after its end; remove it"}}}
	}
	var raw any
	if err := json.Unmarshal(data, &raw); err != nil {
		return &DocumentError{Faults: []Fault{fault(err)}}
	}
	if faults := unknown(raw, reflect.TypeOf(v).Elem(), ""); len(faults) > 0 {
		return &DocumentError{Faults: faults}
	}
	return nil
}

func fault(err error) Fault {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return Fault{Path: te.Field, Mend: fmt.Sprintf("is a JSON %s; write a %s", te.Value, te.Type)}
	}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		return Fault{Path: fmt.Sprintf("(byte %d)", se.Offset), Mend: se.Error()}
	}
	return Fault{Path: "(document)", Mend: err.Error()}
}

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

// unknown walks raw beside the type t and returns the fields that t does not have.
func unknown(raw any, t reflect.Type, path string) []Fault {
	if reflect.PointerTo(t).Implements(textType) {
		return nil
	}
	switch t.Kind() {
	case reflect.Pointer:
		return unknown(raw, t.Elem(), path)
	case reflect.Slice, reflect.Array:
		return unknownItems(raw, t, path)
	case reflect.Struct:
		return unknownFields(raw, t, path)
	default:
		return nil
	}
}

func unknownItems(raw any, t reflect.Type, path string) []Fault {
	items, _ := raw.([]any)
	var out []Fault
	for i, item := range items {
		out = append(out, unknown(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i))...)
	}
	return out
}

func unknownFields(raw any, t reflect.Type, path string) []Fault {
	object, _ := raw.(map[string]any)
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []Fault
	for _, name := range names {
		at := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldNamed(t, name)
		if !ok {
			out = append(out, Fault{Path: at, Mend: "is not a known field; remove it or write one of " + strings.Join(fieldNames(t), ", ")})
			continue
		}
		out = append(out, unknown(object[name], field.Type, at)...)
	}
	return out
}

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for f := range t.Fields() {
		if jsonName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for f := range t.Fields() {
		out = append(out, jsonName(f))
	}
	return out
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
