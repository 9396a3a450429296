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

// eventContent is the contribution of one event to the answer.
type eventContent struct {
	length      int  // content characters
	end         bool // the event is the end mark
	opening     bool // the event only sets the role, as the first event of each attempt does
	unresumable bool // the event has a part that the position does not count, such as a tool call
}

// chunk has the fields of a streamed event that determine the position in the answer. One
// chunk is reused for all events of an answer to save allocations.
type chunk struct {
	Error   presence `json:"error"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Delta struct {
		Role      presence       `json:"role"`
		Content   characterCount `json:"content"`
		ToolCalls presence       `json:"tool_calls"`
	} `json:"delta"`
}

// parse returns the content of an event. It returns errEngine if the event is an error of the engine.
func (c *chunk) parse(event []byte) (eventContent, error) {
	data := eventData(event)
	if len(data) == 0 {
		return eventContent{}, nil
	}
	if bytes.Equal(data, endMark) {
		return eventContent{end: true}, nil
	}
	clear(c.Choices[:cap(c.Choices)])
	*c = chunk{Choices: c.Choices[:0]}
	if err := json.Unmarshal(data, c); err != nil {
		return eventContent{unresumable: true}, nil
	}
	if c.Error {
		return eventContent{}, errEngine
	}
	if len(c.Choices) == 0 {
		return eventContent{}, nil
	}
	delta := &c.Choices[0].Delta
	return eventContent{
		length:      int(delta.Content),
		opening:     bool(delta.Role) && delta.Content == 0 && !bool(delta.ToolCalls),
		unresumable: bool(delta.ToolCalls) || len(c.Choices) > 1,
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

// presence is true if a JSON field has a value other than null.
type presence bool

// UnmarshalJSON sets p according to the value. It returns no error.
func (p *presence) UnmarshalJSON(text []byte) error {
	*p = presence(!bytes.Equal(text, []byte("null")))
	return nil
}

// characterCount is the number of characters in a JSON string.
type characterCount int

// UnmarshalJSON counts the characters. It decodes the string only if that has escapes or
// invalid UTF-8. A value other than a string or null is an error.
func (n *characterCount) UnmarshalJSON(text []byte) error {
	*n = 0
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	if text[0] != '"' {
		return &json.UnmarshalTypeError{Value: string(text)}
	}
	if bytes.IndexByte(text, '\\') < 0 && utf8.Valid(text) {
		*n = characterCount(utf8.RuneCount(text) - len(`""`))
		return nil
	}
	var s string
	err := json.Unmarshal(text, &s)
	*n = characterCount(utf8.RuneCountInString(s))
	return err
}
