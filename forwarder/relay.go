package forwarder

import (
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"amaranthmill/internal/eventreader"
)

// relay writes the answer of a request to its caller, across all attempts, and tracks which
// events the caller received. It is safe for concurrent use.
type relay struct {
	mu            sync.Mutex // guards the fields below
	w             http.ResponseWriter
	controller    *http.ResponseController
	lastEventID   int           // last event that the caller received; -1 for none
	answerStarted bool          // the header of the answer was sent to the caller
	firstEventAt  time.Time     // time of the first event
	lastEventAt   time.Time     // time of the last event
	longestGap    time.Duration // longest time between two events
}

func newRelay(w http.ResponseWriter, lastEventID int) *relay {
	return &relay{w: w, controller: http.NewResponseController(w), lastEventID: lastEventID}
}

// hasStarted reports whether the caller has received the header of a stream.
func (r *relay) hasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answerStarted
}

// position returns the last event that the caller received, or -1 for none.
func (r *relay) position() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastEventID
}

// writeEvent relays an event unless the caller already received it. The first event is preceded
// by the header of its answer. The header stays the same if another endpoint resumes the stream.
func (r *relay) writeEvent(status int, header http.Header, event []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, numbered := eventreader.ID(event)
	if numbered && id <= r.lastEventID {
		return nil
	}
	if !r.answerStarted {
		r.startAnswer(header)
		r.w.WriteHeader(status)
	}
	if _, err := r.w.Write(event); err != nil {
		return err
	}
	if numbered {
		r.lastEventID = id
	}
	r.recordEventTime(time.Now())
	return r.controller.Flush()
}

// recordEventTime records the time at which an event was written to the caller. r.mu is held.
func (r *relay) recordEventTime(now time.Time) {
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	} else {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// startAnswer copies the endpoint's header fields to the caller's answer, except those of the
// connection. r.mu is held.
func (r *relay) startAnswer(header http.Header) {
	r.answerStarted = true
	out := r.w.Header()
	connection := out.Get("Connection")
	maps.Copy(out, header)
	deleteHopFields(out)
	if connection != "" {
		out.Set("Connection", connection)
	}
}

// writeHeld writes a held answer to the caller. After a stream it does nothing.
func (r *relay) writeHeld(a heldAnswer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answerStarted {
		return nil
	}
	r.startAnswer(a.header)
	r.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	r.w.WriteHeader(a.status)
	_, err := r.w.Write(a.body)
	return err
}
