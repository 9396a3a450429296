package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// render fills in a settings template of the deploy file from the platform's fields. It knows what the template of this
// repository uses: values, values as JSON, and sections for values that are present.
func render(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, ok := strings.Cut(text, "{{")
		out.WriteString(before)
		if !ok {
			return out.String(), nil
		}
		name, after, ok := strings.Cut(rest, "}}")
		if !ok {
			return "", fmt.Errorf("a placeholder has no end: %.20q", rest)
		}
		text = after
		if section, isSection := strings.CutPrefix(name, "#"); isSection {
			inner, tail, ok := strings.Cut(after, "{{/"+section+"}}")
			if !ok {
				return "", fmt.Errorf("section %s has no end", section)
			}
			text = tail
			if lookup(fields, section) != nil {
				filled, err := render(inner, fields)
				if err != nil {
					return "", err
				}
				out.WriteString(filled)
			}
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		v := lookup(fields, name)
		switch {
		case asJSON:
			encoded, err := json.Marshal(v)
			if err != nil {
				return "", err
			}
			out.Write(encoded)
		case v != nil:
			fmt.Fprint(&out, v)
		}
	}
}

func lookup(fields map[string]any, name string) any {
	var v any = fields
	for _, part := range strings.Split(name, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}
