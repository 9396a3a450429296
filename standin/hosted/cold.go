package hosted

import (
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Cold describes engines and endpoints that are cold for a time after their start. The zero value describes ones that never are.
type Cold struct {
	Time          time.Duration
	PerSecond     float64 // requests that a cold one takes from all instances together
	Excess, Slack float64 // as in the settings
}

// Allowed returns the requests that a cold engine may get in one second.
func (c Cold) Allowed() float64 { return c.PerSecond*c.Excess + c.Slack }

// ColdArrival is a request that reached a cold engine, which ran it.
type ColdArrival struct {
	Request string // ID of the caller's attempt
	At      time.Time
	Left    time.Duration // until the request's deadline, as of when it was sent
	Since   time.Time     // when the engine became cold
	Started bool          // the engine became cold by its start
}

// cooling is the cold time of an engine.
type cooling struct {
	since, until time.Time
	started      bool // cold by its start
	arrivals     []ColdArrival
}

// left returns the remaining cold time.
func (c *cooling) left() time.Duration { return max(time.Until(c.until), 0) }

// Chill makes the engine cold for a time without a start, as an evacuation of its failure domain does. Its entry says so.
func (e *Engine) Chill(d time.Duration) {
	e.mu.Lock()
	if e.cooling.left() == 0 {
		e.cooling.since, e.cooling.started = time.Now(), false
	}
	e.cooling.until = time.Now().Add(d)
	e.mu.Unlock()
	e.publish()
	time.AfterFunc(d, e.publish)
}

// startCold makes a started engine cold if the platform's engines are.
func (e *Engine) startCold(c Cold) {
	if c.Time == 0 {
		return
	}
	time.AfterFunc(c.Time, e.publish)
	e.cooling = cooling{since: time.Now(), until: time.Now().Add(c.Time), started: true}
}

// ColdArrivals returns the requests that reached the engine while it was cold, in order of time.
func (e *Engine) ColdArrivals() []ColdArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.cooling.arrivals)
}

// sayCold adds the remaining cold time to an answer, if there is any.
func (e *Engine) sayCold(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if left := e.cooling.left(); left > 0 {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// noteCold notes a request that the engine runs, if it is cold. The caller holds the lock.
func (e *Engine) noteCold(r *http.Request) {
	if e.cooling.left() == 0 {
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Deadline-Remaining")) // the instances always send a number
	e.cooling.arrivals = append(e.cooling.arrivals, ColdArrival{
		Request: r.Header.Get("X-Attempt-Id"), At: time.Now(), Left: time.Duration(ms) * time.Millisecond, Since: e.cooling.since, Started: e.cooling.started,
	})
}
