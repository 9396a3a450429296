package bundler

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"amaranthmill/internal/decoder"
)

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
// fault. A nil inventory leaves out the checks that need it. The error is an *InvalidError.
func Check(content []byte, inv *Inventory) (*Bundle, error) {
	problems := checkShape(content, Bundle{})
	var b Bundle
	err := json.Unmarshal(content, &b) // fills what has the right form, whatever else has not
	if err != nil && len(problems) == 0 {
		problems = append(problems, Problem{Message: err.Error()})
	}
	if err != nil && !errors.As(err, new(*json.UnmarshalTypeError)) {
		return nil, &InvalidError{Problems: problems}
	}
	for _, p := range Validate(&b, inv) {
		if !isPartOf(p, problems) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return &b, nil
}

// checkShape returns the faults of form of text as the JSON form of like's type.
func checkShape(text []byte, like any) []Problem {
	var out []Problem
	for _, f := range decoder.Check(text, like) {
		out = append(out, Problem{Path: f.Path, Message: f.Message})
	}
	return out
}

// isPartOf reports whether a fault of meaning only follows from a fault of form: of the
// same value, or of one that it is part of.
func isPartOf(p Problem, form []Problem) bool {
	return slices.ContainsFunc(form, func(f Problem) bool {
		rest, ok := strings.CutPrefix(p.Path, f.Path)
		return ok && (f.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}
