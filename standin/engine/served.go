package engine

import (
	"net/http"
	"slices"
	"time"
)

// served counts the requests of one membership.
type served struct {
	Group      string    `json:"group"`
	Epoch      uint64    `json:"epoch"`
	Answered   int       `json:"answered"`
	LastAnswer time.Time `json:"lastAnswer"` // when its last token was made
	LastAsked  time.Time `json:"lastAsked"`
}

// countAsked adds a request to the counts of a membership.
func (e *Engine) countAsked(group string, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servedBy(group, epoch).LastAsked = time.Now()
}

// countAnswer adds a whole answer, whose last token was made at a time, to the counts of a membership.
func (e *Engine) countAnswer(group string, epoch uint64, madeAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.servedBy(group, epoch)
	s.Answered++
	if madeAt.After(s.LastAnswer) {
		s.LastAnswer = madeAt
	}
}

// servedBy returns the counts of a membership.
func (e *Engine) servedBy(group string, epoch uint64) *served {
	i := slices.IndexFunc(e.served, func(s served) bool { return s.Group == group && s.Epoch == epoch })
	if i < 0 {
		e.served = append(e.served, served{Group: group, Epoch: epoch})
		i = len(e.served) - 1
	}
	return &e.served[i]
}

func (e *Engine) getServed(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, e.served)
}
