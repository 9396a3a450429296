package hosted

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// LimitedArrival is a request that reached an engine while it named a limit.
type LimitedArrival struct {
	Request   string // ID of the caller's attempt
	At        time.Time
	PerSecond float64   // the limit
	Since     time.Time // when the engine began to name it
}

// limiting is the limit that an engine names. The zero value names none.
type limiting struct {
	perSecond float64
	since     time.Time
	arrivals  []LimitedArrival
}

// Limit makes the engine name in its answers the requests per second that it takes from all instances
// together, or none if perSecond is zero. It runs more requests all the same.
func (e *Engine) Limit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiting.perSecond, e.limiting.since = perSecond, time.Now()
}

// LimitedArrivals returns the requests that reached the engine while it named a limit, in order of
// time.
func (e *Engine) LimitedArrivals() []LimitedArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.limiting.arrivals)
}

// nameLimit notes a request and adds the limit to its answer, if the engine names one.
func (e *Engine) nameLimit(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := &e.limiting
	if l.perSecond == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(l.perSecond, 'f', -1, 64))
	l.arrivals = append(l.arrivals, LimitedArrival{Request: id, At: time.Now(), PerSecond: l.perSecond, Since: l.since})
}
