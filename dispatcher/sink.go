package dispatcher

import (
	"errors"
	"net/http"
	"strings"

	"amaranthmill/router"
)

// callerError wraps an error of the caller's Writer.
type callerError struct{ err error }

// Error returns the text of the Writer's error.
func (e *callerError) Error() string { return "dispatcher: writing to the caller: " + e.err.Error() }

// Unwrap returns the Writer's error.
func (e *callerError) Unwrap() error { return e.err }

// Errors of an answer that can't be passed on completely.
var (
	errNoEndMark  = errors.New("dispatcher: the stream ended without its end mark")
	errGap        = errors.New("dispatcher: the stream does not resume at the delivered position")
	errEngine     = errors.New("dispatcher: the engine ended the stream with an error")
	errTooLarge   = errors.New("dispatcher: the answer is too large")
	errUnbounded  = errors.New("dispatcher: the answer has neither a Content-Length nor a Transfer-Encoding")
	errUnexpected = errors.New("dispatcher: the answer is not a stream but part of a stream was already delivered")
)

// sink passes the answer of all attempts to the caller and tracks what was delivered.
type sink struct {
	w           router.Writer
	answer      router.AnswerTracker
	attempt     int
	position    int // content characters before the next event of this attempt
	started     bool
	unresumable bool // parts were delivered that the position does not count
	chunk       chunk
}

// beginAttempt starts an attempt whose answer resumes at a position.
func (s *sink) beginAttempt(attempt, resume int) {
	s.attempt, s.position = attempt, resume
	s.answer.BeginAttempt(attempt)
}

// start sends the status and header of the first attempt that is answered. Later calls do nothing.
func (s *sink) start(status int, header http.Header) error {
	if s.started {
		return nil
	}
	s.started = true
	if err := s.w.Start(status, header); err != nil {
		return &callerError{err}
	}
	return nil
}

// isStream reports whether h is the header of a stream of server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// writeEvent passes one server-sent event, including its final blank line, to the caller
// unless the caller already has it.
func (s *sink) writeEvent(event []byte) error {
	content, err := s.chunk.parse(event)
	if err != nil {
		return err
	}
	if content.opening && s.answer.Delivered() > 0 {
		return nil
	}
	frame := router.Frame{Attempt: s.attempt, Position: s.position, Length: content.length, End: content.end}
	s.position += content.length
	switch s.answer.Accept(frame) {
	case router.Drop:
		return nil
	case router.Gap:
		return errGap
	}
	s.unresumable = s.unresumable || content.unresumable
	if err := s.w.Write(event); err != nil {
		return &callerError{err}
	}
	return nil
}

// writeAnswer sends a complete answer that is not a stream.
func (s *sink) writeAnswer(status int, header http.Header, body []byte) error {
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
