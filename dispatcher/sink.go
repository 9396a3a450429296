package dispatcher

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"unicode/utf8"

	"amaranthmill/router"
)

var (
	dataField = []byte("data:")
	endMark   = []byte("[DONE]")
)

// callerError wraps an error of the caller's Writer.
type callerError struct{ err error }

// Error returns the text of the Writer's error.
func (e *callerError) Error() string { return "dispatcher: writing to the caller: " + e.err.Error() }

// Unwrap returns the Writer's error.
func (e *callerError) Unwrap() error { return e.err }

// Errors of an answer that is not whole.
var (
	errNoEndMark  = errors.New("dispatcher: the stream ended without its end mark")
	errGap        = errors.New("dispatcher: the stream does not go on at the delivered position")
	errEngine     = errors.New("dispatcher: the engine ended the stream with an error")
	errTooLarge   = errors.New("dispatcher: the answer is too large")
	errUnbounded  = errors.New("dispatcher: the answer has neither a length nor an end")
	errUnexpected = errors.New("dispatcher: unexpected answer")
)

// sink passes the answer on to the caller over all attempts and follows what it has.
type sink struct {
	w        router.Writer
	answer   router.Answer
	attempt  int
	position int // content characters before the next event of this attempt
	started  bool
	streams  bool // the answer is a stream of server-sent events
	fixed    bool // parts went out that no position counts
}

// begin starts an attempt that resumes at a position.
func (s *sink) begin(attempt, resume int) {
	s.attempt, s.position = attempt, resume
	s.answer.Begin(attempt)
}

// start sends the status and header of the first attempt that answers.
func (s *sink) start(status int, header http.Header) error {
	if s.started {
		return nil
	}
	s.started = true
	s.streams = isStream(header)
	if err := s.w.Start(status, header); err != nil {
		return &callerError{err}
	}
	return nil
}

// isStream reports whether h heads a stream of server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// event passes one server-sent event on, its final blank line included, unless the
// caller has it already.
func (s *sink) event(event []byte) error {
	part, err := parseEvent(event)
	if err != nil {
		return err
	}
	if part.opening && s.answer.Delivered() > 0 {
		return nil
	}
	frame := router.Frame{Attempt: s.attempt, Position: s.position, Length: part.length, End: part.end}
	s.position += part.length
	switch s.answer.Accept(frame) {
	case router.Drop:
		return nil
	case router.Gap:
		return errGap
	}
	s.fixed = s.fixed || part.fixed
	if err := s.w.Write(event); err != nil {
		return &callerError{err}
	}
	return nil
}

// whole sends a whole answer.
func (s *sink) whole(status int, header http.Header, body []byte) error {
	if s.started {
		return errUnexpected
	}
	if err := s.start(status, header); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	if err := s.w.Write(body); err != nil {
		return &callerError{err}
	}
	return nil
}

// part is what one event means for the answer.
type part struct {
	length  int  // content characters
	end     bool // the end mark
	opening bool // names the role only, as the first event of each attempt does
	fixed   bool // has a part that no position counts, such as a tool call
}

// chunk has the fields of a streamed part of an answer that the position depends on.
type chunk struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Delta struct {
			Role      string          `json:"role"`
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
	} `json:"choices"`
}

// parseEvent returns what an event means. It returns errEngine for an error of the engine.
func parseEvent(event []byte) (part, error) {
	data := eventData(event)
	if len(data) == 0 {
		return part{}, nil
	}
	if bytes.Equal(data, endMark) {
		return part{end: true}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return part{fixed: true}, nil
	}
	if len(c.Error) > 0 {
		return part{}, errEngine
	}
	if len(c.Choices) == 0 {
		return part{}, nil
	}
	delta := &c.Choices[0].Delta
	return part{
		length:  utf8.RuneCountInString(delta.Content),
		opening: delta.Role != "" && delta.Content == "" && len(delta.ToolCalls) == 0,
		fixed:   len(delta.ToolCalls) > 0 || len(c.Choices) > 1,
	}, nil
}

// eventData returns the text of the data field of event.
func eventData(event []byte) []byte {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, dataField); ok {
			return bytes.TrimSpace(data)
		}
	}
	return nil
}
