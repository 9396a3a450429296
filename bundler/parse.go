package bundler

import "encoding/json"

// Parse decodes a bundle's bytes strictly: unknown and repeated fields, values of a
// wrong kind and text after the end are faults. It returns an *InvalidError with every
// fault of form. Validate checks the meaning.
func Parse(content []byte) (*Bundle, error) {
	if problems := checkShape(content, Bundle{}); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	var b Bundle
	if err := json.Unmarshal(content, &b); err != nil {
		return nil, &InvalidError{Problems: []Problem{{Message: err.Error()}}}
	}
	return &b, nil
}

// Check parses and validates a bundle's bytes against what is deployed and returns every
// fault. A nil inventory leaves out the checks that need it.
func Check(content []byte, inv *Inventory) (*Bundle, error) {
	b, err := Parse(content)
	if err != nil {
		return nil, err
	}
	if problems := Validate(b, inv); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return b, nil
}
