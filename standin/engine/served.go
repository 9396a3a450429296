package engine

import (
	"net/http"
	"slices"
	"time"
)

// requestCounts holds the number and times of the requests that the engine received under
// one membership, that is, as the member of a group under one epoch.
type requestCounts struct {
	Group       string    `json:"group"`
	Epoch       uint64    `json:"epoch"`
	Answered    int       `json:"answered"`
	LastAnswer  time.Time `json:"lastAnswer"` // when the last token of the latest answer was produced
	LastRequest time.Time `json:"lastAsked"`  // when the latest request arrived
}

// countRequest records the arrival of a request for a membership.
func (e *Engine) countRequest(group string, epoch uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.findOrAddCounts(group, epoch).LastRequest = time.Now()
}

// countAnswer counts a complete answer, whose last token was produced at lastTokenAt.
func (e *Engine) countAnswer(group string, epoch uint64, lastTokenAt time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.findOrAddCounts(group, epoch)
	s.Answered++
	if lastTokenAt.After(s.LastAnswer) {
		s.LastAnswer = lastTokenAt
	}
}

// findOrAddCounts returns the counts of a membership and adds them if they are missing. The
// caller holds e.mu.
func (e *Engine) findOrAddCounts(group string, epoch uint64) *requestCounts {
	i := slices.IndexFunc(e.counts, func(s requestCounts) bool { return s.Group == group && s.Epoch == epoch })
	if i < 0 {
		e.counts = append(e.counts, requestCounts{Group: group, Epoch: epoch})
		i = len(e.counts) - 1
	}
	return &e.counts[i]
}

func (e *Engine) getServed(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.counts)
}
