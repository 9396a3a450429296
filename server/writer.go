package server

import (
	"encoding/json"
	"net/http"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/router"
)

// writer sends an answer to the caller and flushes each part. It is used by one goroutine.
type writer struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	id      identifier.Request
	stream  bool // the answer is made of server-sent events
	started bool
}

func newWriter(w http.ResponseWriter, id identifier.Request, stream bool) *writer {
	return &writer{w: w, flush: http.NewResponseController(w), id: id, stream: stream}
}

// Start sends the status and header.
func (w *writer) Start(status int, header http.Header) error {
	for name, values := range header {
		w.w.Header()[name] = values
	}
	w.w.Header().Set(headerRequest, string(w.id))
	w.started = true
	w.w.WriteHeader(status)
	return nil
}

// Write sends part and flushes it. It returns an error once the caller has gone.
func (w *writer) Write(part []byte) error {
	if _, err := w.w.Write(part); err != nil {
		return err
	}
	return w.flush.Flush()
}

// end finishes the answer by its outcome. An answer that had started and is not whole is
// cut off, in a stream after an event that says the outcome.
func (w *writer) end(o router.Outcome) {
	p, bad := problemOf(o, w.id)
	switch {
	case !bad:
		return
	case !w.started:
		writeProblem(w.w, w.id, o)
		return
	case w.stream:
		w.event(p)
	}
	panic(http.ErrAbortHandler)
}

type errorEvent struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	problemwriter.Problem
	Message string `json:"message"`
}

func (w *writer) event(p problemwriter.Problem) {
	b, err := json.Marshal(errorEvent{errorDetail{Problem: p, Message: p.Detail}})
	if err != nil {
		return
	}
	_ = w.Write([]byte("data: " + string(b) + "\n\n")) // the connection is cut off next
}
