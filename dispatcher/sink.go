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
	answer   router.AnswerTracker
	attempt  int
	position int // content characters before the next event of this attempt
	started  bool
	fixed    bool // parts went out that no position counts
	chunk    chunk
}

// begin starts an attempt that resumes at a position.
func (s *sink) begin(attempt, resume int) {
	s.attempt, s.position = attempt, resume
	s.answer.BeginAttempt(attempt)
}

// start sends the status and header of the first attempt that answers.
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

// isStream reports whether h heads a stream of server-sent events.
func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// event passes one server-sent event on, its final blank line included, unless the
// caller has it already.
func (s *sink) event(event []byte) error {
	part, err := s.chunk.parse(event)
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
