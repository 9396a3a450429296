package server

import (
	"encoding/json"
	"net/http"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/router"
)

// writer sends an answer to the caller and flushes each part. It is not safe for concurrent use.
type writer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	id      identifier.Request
	stream  bool // the answer consists of server-sent events
	started bool
}

func newWriter(w http.ResponseWriter, id identifier.Request, stream bool) *writer {
	return &writer{w: w, flush: http.NewResponseController(w), id: id, stream: stream}
}

// Start sends the status and the header.
func (w *writer) Start(status int, header http.Header) error {
	for name, values := range header {
		w.w.Header()[name] = values
	}
	w.w.Header().Set(headerRequest, string(w.id))
	w.started = true
	w.w.WriteHeader(status)
	return nil
}

// Write sends part and flushes it. It returns an error if the caller has closed the connection.
func (w *writer) Write(part []byte) error {
	if _, err := w.w.Write(part); err != nil {
		return err
	}
	return w.flush.Flush()
}

// end finishes the answer according to its outcome. An answer that was started and is not
// complete is aborted; a stream first gets an event that states the outcome.
func (w *writer) end(o router.Outcome) {
	p, failed := newProblem(o, w.id)
	switch {
	case !failed:
		return
	case !w.started:
		writeProblem(w.w, w.id, o)
		return
	case w.stream:
		w.writeErrorEvent(p)
	}
	panic(http.ErrAbortHandler)
}

// errorEvent is the content of the last event of an aborted stream.
type errorEvent struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	problemwriter.Problem
	Message string `json:"message"`
}

func (w *writer) writeErrorEvent(p problemwriter.Problem) {
	b, err := json.Marshal(errorEvent{errorDetail{Problem: p, Message: p.Detail}})
	if err != nil {
		return
	}
	_ = w.Write([]byte("data: " + string(b) + "\n\n")) // an error can be ignored, because the caller of writeErrorEvent aborts the connection
}
