package trial

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/standin/spawner"
)

// The error of a failed step names the step, the condition that it waited for and the processes
// that had ended.
func TestStepError(t *testing.T) {
	is := is.New(t)
	tr := &trial{fleet: &fleet{processes: spawner.Processes{Dir: t.TempDir()}}}
	p, err := tr.fleet.processes.Start("engine-1", "/bin/sleep", "60")
	is.NoErr(err)
	p.Kill()
	failed := &CheckError{Check: "not within 1m0s: all groups serve"}
	err = &StepError{Step: methodName((*trial).rollOutBundle), Number: 2, Total: 8, FleetState: tr.describeFleet(), Cause: failed}
	is.Equal(err.Error(), "trial: step 2 of 8, rollOutBundle, failed: trial: not within 1m0s: all groups serve; state of the fleet:\n  engine-1 has ended: signal: killed")
	var cause *CheckError
	is.True(errors.As(err, &cause))
}
