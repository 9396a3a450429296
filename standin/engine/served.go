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
	LastAnswer time.Time `json:"lastAnswer"`
	LastAsked  time.Time `json:"lastAsked"`
}

// count adds a request, or its whole answer, to the counts of a membership.
func (e *Engine) count(group string, epoch uint64, answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.served, func(s served) bool { return s.Group == group && s.Epoch == epoch })
	if i < 0 {
		e.served = append(e.served, served{Group: group, Epoch: epoch})
		i = len(e.served) - 1
	}
	if answered {
		e.served[i].Answered++
		e.served[i].LastAnswer = time.Now()
		return
	}
	e.served[i].LastAsked = time.Now()
}

func (e *Engine) getServed(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, http.StatusOK, e.served)
}
