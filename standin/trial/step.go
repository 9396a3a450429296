package trial

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
)

// StepError reports the step of a trial that failed, and the state of the fleet at that time.
type StepError struct {
	Step          string
	Number, Total int
	FleetState    []string
	Cause         error // the failed wait or check
}

// Error returns the step and the cause on the first line and the state of the fleet on further lines.
func (e *StepError) Error() string {
	lines := append([]string{fmt.Sprintf("trial: step %d of %d, %s, failed: %v; state of the fleet:", e.Number, e.Total, e.Step, e.Cause)}, e.FleetState...)
	return strings.Join(lines, "\n  ")
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// methodName returns the name of a step's method.
func methodName(s step) string {
	name := runtime.FuncForPC(reflect.ValueOf(s).Pointer()).Name()
	return name[strings.LastIndex(name, ".")+1:]
}

// describeFleet lists the processes that ended and the groups that each running entry instance reports.
func (t *trial) describeFleet() []string {
	var out []string
	for _, exited := range t.fleet.processes.Ended() {
		out = append(out, fmt.Sprintf("%s has ended: %s", exited.Process, exited.State))
	}
	for _, e := range t.fleet.entries {
		if e.process == nil || !e.process.IsRunning() {
			continue
		}
		groups, err := t.fleet.groupsFrom(e)
		if err != nil {
			out = append(out, fmt.Sprintf("%s did not return its groups: %v", e.name, err))
			continue
		}
		for _, g := range groups {
			out = append(out, fmt.Sprintf("%s reports group %s: ready=%t %s", e.name, g.Group, g.Ready, g.Reason))
		}
	}
	return out
}
