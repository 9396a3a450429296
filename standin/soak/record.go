package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// sent is one request as its caller saw it.
type sent struct {
	id       string
	instance int
	plain    bool // for the plain service, which must run once at most; else a stream
	second   bool // with the second key
	at, end  time.Time
	status   int    // of the answer; zero if there was none
	whole    bool   // the answer ended as it should
	wrong    string // what was wrong with the answer; empty if nothing
	retry    string // the time after which to come back
}

// isServed reports whether the caller got the whole answer.
func (s sent) isServed() bool { return s.whole && s.status == http.StatusOK }

// spell is a time in which an instance, or all of them, were in trouble.
type spell struct {
	instance   int // allInstances for all
	start, end time.Time
}

// allInstances stands for each instance.
const allInstances = -1

// record is what happened. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	all    []sent
	spells []*spell
	keys   []keyChange
	wrong  []string
}

// keyChange is a change of the second key that the store has taken.
type keyChange struct {
	at    time.Time
	valid bool
}

func (r *record) add(s sent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, s)
}

// fault notes a broken promise.
func (r *record) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, fmt.Sprintf(format, args...))
}

// trouble notes that an instance is in trouble until the function that it returns is called.
func (r *record) trouble(instance int) (over func()) {
	s := &spell{instance: instance, start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spells = append(r.spells, s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.end = time.Now()
	}
}

func (r *record) keyChanged(valid bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = append(r.keys, keyChange{at: time.Now(), valid: valid})
}

// isCalm reports whether an instance was in no trouble from a time to another.
func (r *record) isCalm(instance int, from, to time.Time) bool {
	for _, s := range r.spells {
		concerned := s.instance == allInstances || s.instance == instance
		if concerned && s.start.Before(to) && (s.end.IsZero() || s.end.After(from)) {
			return false
		}
	}
	return true
}
