package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// sentRequest is a request and its outcome as its caller observed them.
type sentRequest struct {
	id              string
	instance        int
	plain           bool // a request to the plain service, which must run at most once; otherwise a stream
	withSecondKey   bool // sent with the second API key
	sentAt, endedAt time.Time
	status          int       // status code of the answer; zero if there was no answer
	complete        bool      // the answer ended normally
	defect          string    // description of an invalid answer; empty if the answer is valid
	silenced        bool      // its connection to the instance was silenced permanently, before or after it was sent
	retryAfter      string    // value of the Retry-After header
	engine          string    // ID of the engine that signed the answer; empty for none
	leaving         bool      // the answer says that its engine leaves
	limited         bool      // the answer names a limit of its engine
	headerAt        time.Time // when the header of the answer came
}

// isServed reports whether the caller received a complete answer with status 200.
func (s sentRequest) isServed() bool { return s.complete && s.status == http.StatusOK }

// disruption is a period in which a fault affected one instance or all instances.
type disruption struct {
	instance   int       // or allInstances, or allEngines
	start, end time.Time // end is zero while the fault lasts
}

// Numbers that stand for more than one instance.
const (
	allInstances = -1 // every instance
	allEngines   = -2 // engines, whose faults may delay the requests of every instance
)

// record holds the requests, disruptions, key changes and violations of a run. The methods that
// add to it are safe for concurrent use.
type record struct {
	mu          sync.Mutex
	requests    []sentRequest
	disruptions []*disruption
	cuts        []*disruption // of instances from all engines
	evacuations []*evacuation // at most one lasts at a time
	keyChanges  []keyChange
	violations  []string
}

// keyChange is a change of the second API key after the store accepted it.
type keyChange struct {
	at    time.Time
	valid bool
}

func (r *record) addRequest(s sentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, s)
}

// addViolation records that a guarantee was broken.
func (r *record) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// startDisruption records that a fault affects an instance until the returned function is
// called.
func (r *record) startDisruption(instance int) (end func()) {
	s := &disruption{instance: instance, start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disruptions = append(r.disruptions, s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.end = time.Now()
	}
}

func (r *record) addKeyChange(valid bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keyChanges = append(r.keyChanges, keyChange{at: time.Now(), valid: valid})
}

// isStable reports whether no fault affected an instance or an engine between two times. The
// caller holds the lock.
func (r *record) isStable(instance int, from, to time.Time) bool {
	return r.isUndisrupted(from, to, instance, allInstances, allEngines)
}

// requestsByID returns the requests by their IDs. The caller holds the lock.
func (r *record) requestsByID() map[string]sentRequest {
	out := map[string]sentRequest{}
	for _, s := range r.requests {
		out[s.id] = s
	}
	return out
}

// isUndisrupted reports whether no fault affected any of the numbers between two times. The
// caller holds the lock.
func (r *record) isUndisrupted(from, to time.Time, numbers ...int) bool {
	for _, s := range r.disruptions {
		affected := slices.Contains(numbers, s.instance)
		if affected && s.start.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}
