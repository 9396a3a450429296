package claimer

import (
	"net/http"
)

// Result is the outcome of a claimed call: Answered, NotRun or Unknown.
type Result interface{ result() }

// Answered is the result of a call whose complete answer was received. Truncated means that the
// answer's body exceeded Limits.MaxBodySize and is not stored: the call ran, and Body is empty.
type Answered struct {
	Status    int
	Header    http.Header
	Body      []byte
	Truncated bool
}

// NotRun is the result of a call that certainly did not run. Settling with NotRun removes the
// claim if it is still open, so that the key may be used again. As a Replay, NotRun is final: the
// call did not run and never will under this key.
type NotRun struct{}

// Unknown is the result of a call that may have run. As a Replay, Unknown is final unless the
// claimant resumes after a pause and stores a known result.
type Unknown struct{}

func (Answered) result() {}
func (NotRun) result()   {}
func (Unknown) result()  {}
