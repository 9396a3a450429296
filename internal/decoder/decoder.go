package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	Path    string // path of the value, such as "listen.callers" or "peers[2].address"; empty for the whole document
	Message string // what is wrong and how to correct it
}

// DocumentError lists all faults found in a document.
type DocumentError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *DocumentError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = strings.TrimPrefix(fmt.Sprintf("%s: %s", f.Path, f.Message), ": ")
	}
	return "decoder: " + strings.Join(lines, "\n")
}

// Decode decodes data, which must hold exactly one JSON document, into v, a pointer to a
// struct. The error is a *DocumentError with every fault.
func Decode(data []byte, v any) error {
	if faults := Check(data, reflect.ValueOf(v).Elem().Interface()); len(faults) > 0 {
		return &DocumentError{Faults: faults}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &DocumentError{Faults: []Fault{{Message: err.Error()}}}
	}
	return nil
}
