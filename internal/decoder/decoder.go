package decoder

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	Path    string // of the value, such as "listen.callers" or "peers[2].address"; empty for the whole document
	Message string // what is wrong and what mends it
}

// DocumentError is everything found wrong with a document.
type DocumentError struct {
	Faults []Fault
}

// Error lists the faults, one a line.
func (e *DocumentError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = strings.TrimPrefix(fmt.Sprintf("%s: %s", f.Path, f.Message), ": ")
	}
	return "decoder: " + strings.Join(lines, "\n")
}

// Decode reads the one JSON document of data into v, a pointer to a struct. It returns a
// *DocumentError with every fault of form.
func Decode(data []byte, v any) error {
	if faults := Check(data, reflect.ValueOf(v).Elem().Interface()); len(faults) > 0 {
		return &DocumentError{Faults: faults}
	}
	if err := json.Unmarshal(data, v); err != nil {
		return &DocumentError{Faults: []Fault{{Message: err.Error()}}}
	}
	return nil
}
