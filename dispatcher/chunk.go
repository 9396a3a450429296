package dispatcher

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

var (
	dataField = []byte("data:")
	endMark   = []byte("[DONE]")
)

// part is what one event means for the answer.
type part struct {
	length  int  // content characters
	end     bool // the end mark
	opening bool // names the role only, as the first event of each attempt does
	fixed   bool // has a part that no position counts, such as a tool call
}

// chunk has the fields of a streamed part of an answer that the position depends on. It
// is used for one event after another, so that an event costs few allocations.
type chunk struct {
	Error   presence `json:"error"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Delta struct {
		Role      presence   `json:"role"`
		Content   characters `json:"content"`
		ToolCalls presence   `json:"tool_calls"`
	} `json:"delta"`
}

// parse returns what an event means. It returns errEngine for an error of the engine.
func (c *chunk) parse(event []byte) (part, error) {
	data := eventData(event)
	if len(data) == 0 {
		return part{}, nil
	}
	if bytes.Equal(data, endMark) {
		return part{end: true}, nil
	}
	clear(c.Choices[:cap(c.Choices)])
	*c = chunk{Choices: c.Choices[:0]}
	if err := json.Unmarshal(data, c); err != nil {
		return part{fixed: true}, nil
	}
	if c.Error {
		return part{}, errEngine
	}
	if len(c.Choices) == 0 {
		return part{}, nil
	}
	delta := &c.Choices[0].Delta
	return part{
		length:  int(delta.Content),
		opening: bool(delta.Role) && delta.Content == 0 && !bool(delta.ToolCalls),
		fixed:   bool(delta.ToolCalls) || len(c.Choices) > 1,
	}, nil
}

// eventData returns the text of the first data field of event.
func eventData(event []byte) []byte {
	for len(event) > 0 {
		line, rest, _ := bytes.Cut(event, []byte("\n"))
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data)
		}
		event = rest
	}
	return nil
}

// presence says whether a JSON field has a value other than null.
type presence bool

// UnmarshalJSON notes the value. It returns no error.
func (p *presence) UnmarshalJSON(text []byte) error {
	*p = presence(!bytes.Equal(text, []byte("null")))
	return nil
}

// characters counts the characters of a JSON string.
type characters int

// UnmarshalJSON counts without making the string. Anything but a string or null is an error.
func (n *characters) UnmarshalJSON(text []byte) error {
	*n = 0
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	if text[0] != '"' {
		return &json.UnmarshalTypeError{Value: string(text)}
	}
	if bytes.IndexByte(text, '\\') < 0 && utf8.Valid(text) {
		*n = characters(utf8.RuneCount(text) - len(`""`))
		return nil
	}
	var s string
	err := json.Unmarshal(text, &s)
	*n = characters(utf8.RuneCountInString(s))
	return err
}
