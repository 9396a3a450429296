package hosted

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Arrival is a request that reached an engine after the engine had begun to leave or had asked for no
// requests for a time.
type Arrival struct {
	Request string // ID of the caller's attempt
	At      time.Time
	Closed  time.Time // end of the time for which the engine turned the request away; zero if it did not
}

// statement is what an engine says about itself in its answers. The zero value says nothing.
type statement struct {
	leaving     bool
	closedUntil time.Time
	arrivals    []Arrival
}

// Leave makes the engine say in all its answers that it leaves. Its entry shows that only if listed
// is set. It serves until it is killed.
func (e *Engine) Leave(listed bool) {
	e.mu.Lock()
	e.statement.leaving = true
	e.draining = e.draining || listed
	e.mu.Unlock()
	e.publish()
}

// Close makes the engine turn requests away for d. Each of these answers says how long the engine
// wants none.
func (e *Engine) Close(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if until := time.Now().Add(d); until.After(e.statement.closedUntil) {
		e.statement.closedUntil = until
	}
}

// Arrivals returns the requests that reached the engine since it first said that it leaves or
// wants no requests, in order of time.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.statement.arrivals)
}

// sayLeaving adds to an answer that the engine leaves, if it does.
func (e *Engine) sayLeaving(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.statement.leaving || e.draining {
		w.Header().Set("Server-Leaving", "1")
	}
}

// turnAway notes a request and, while the engine wants none, answers it and returns true.
func (e *Engine) turnAway(w http.ResponseWriter, id string) bool {
	e.mu.Lock()
	s := &e.statement
	if !s.leaving && s.closedUntil.IsZero() {
		e.mu.Unlock()
		return false
	}
	a := Arrival{Request: id, At: time.Now()}
	left := s.closedUntil.Sub(a.At)
	if left > 0 {
		a.Closed = s.closedUntil
	}
	s.arrivals = append(s.arrivals, a)
	e.mu.Unlock()
	if left <= 0 {
		return false
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}
