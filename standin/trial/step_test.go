package trial

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/standin/spawner"
)

// A step that fails is named with what it waited for and which processes had ended.
func TestStepError(t *testing.T) {
	is := is.New(t)
	tr := &trial{f: &fleet{processes: spawner.Processes{Dir: t.TempDir()}}}
	p, err := tr.f.processes.Start("engine-1", "/bin/sleep", "60")
	is.NoErr(err)
	p.Kill()
	failed := &FailedError{Check: "not within 1m0s: all groups serve"}
	err = &StepError{Step: nameOf((*trial).rollOut), Number: 2, Of: 8, Seen: tr.seen(), Cause: failed}
	is.Equal(err.Error(), "trial: step 2 of 8, rollOut, failed: trial: not within 1m0s: all groups serve; seen then:\n  engine-1 has ended: signal: killed")
	var cause *FailedError
	is.True(errors.As(err, &cause))
}
