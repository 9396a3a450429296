package bundler

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"

	"amaranthmill/internal/decoder"
)

// Parse decodes a bundle's bytes strictly: unknown and repeated fields, values of a wrong
// type and text after the end are faults. The error is an *InvalidError that lists all
// faults of form. Validate checks the values.
func Parse(content []byte) (*Bundle, error) {
	if problems := checkForm(content, Bundle{}); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	var b Bundle
	if err := json.Unmarshal(content, &b); err != nil {
		return nil, &InvalidError{Problems: []Problem{{Message: err.Error()}}}
	}
	return &b, nil
}

// Check parses a bundle's bytes and validates the bundle against the deployed inventory. A
// nil inventory skips the checks that need it. The error is an *InvalidError that lists all
// faults.
func Check(content []byte, inv *Inventory) (*Bundle, error) {
	problems := checkForm(content, Bundle{})
	var b Bundle
	err := json.Unmarshal(content, &b) // decodes the fields of the right type even if others have faults
	if err != nil && len(problems) == 0 {
		problems = append(problems, Problem{Message: err.Error()})
	}
	if err != nil && !errors.As(err, new(*json.UnmarshalTypeError)) {
		return nil, &InvalidError{Problems: problems}
	}
	for _, p := range Validate(&b, inv) {
		if !followsFromForm(p, problems) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return &b, nil
}

// checkForm returns the faults of form that make text an invalid JSON encoding of target's
// type.
func checkForm(text []byte, target any) []Problem {
	var out []Problem
	for _, f := range decoder.Check(text, target) {
		out = append(out, Problem{Path: f.Path, Message: f.Message})
	}
	return out
}

// followsFromForm reports whether p, a fault of a value, is only a consequence of a fault of
// form, because that is a fault of the same value or of one that contains it.
func followsFromForm(p Problem, formProblems []Problem) bool {
	return slices.ContainsFunc(formProblems, func(f Problem) bool {
		rest, ok := strings.CutPrefix(p.Path, f.Path)
		return ok && (f.Path == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}
