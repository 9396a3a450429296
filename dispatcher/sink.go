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

// maxEventBytes bounds one server-sent event of a streamed answer.
const maxEventBytes = 1 << 20

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

// errNoEndMark is returned for a stream that ended before its end mark.
var errNoEndMark = errors.New("dispatcher: the stream ended without its end mark")

// sink passes the answer on to the caller over all attempts and counts what it has.
type sink struct {
	w         router.Writer
	started   bool
	streams   bool // the answer is a stream of server-sent events
	ended     bool // the end mark went out
	delivered int  // content characters
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

// event passes one server-sent event on, its final blank line included.
func (s *sink) event(event []byte) error {
	if s.ended {
		return nil
	}
	data := eventData(event)
	if err := s.w.Write(event); err != nil {
		return &callerError{err}
	}
	if bytes.Equal(data, endMark) {
		s.ended = true
		return nil
	}
	s.delivered += contentLength(data)
	return nil
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

// chunk has the fields of a streamed part of an answer that the position depends on.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// contentLength returns the number of content characters in one part of an answer.
func contentLength(data []byte) int {
	var c chunk
	if len(data) == 0 || json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		return 0
	}
	return utf8.RuneCountInString(c.Choices[0].Delta.Content)
}
