package claimer

import (
	"net/http"
)

// Result is how a claimed call ended: Answered, NotRun or Unknown.
type Result interface{ result() }

// Answered is the result of a call whose whole answer arrived. Truncated says that the
// answer's body was over Config.BodyLimit and is not kept: the call ran, and Body is empty.
type Answered struct {
	Status    int
	Header    http.Header
	Body      []byte
	Truncated bool
}

// NotRun is the result of a call that certainly did not run. Settling with it removes the
// claim, so that the key may be used again. As a Replay it is final: the call did not run
// and never will under this key.
type NotRun struct{}

// Unknown is the result of a call that may have run. As a Replay it is final unless the
// claimant, should it come back, knows better.
type Unknown struct{}

func (Answered) result() {}
func (NotRun) result()   {}
func (Unknown) result()  {}
