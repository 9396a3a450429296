package trial

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
)

// StepError says which step of a trial failed, and what the fleet looked like then.
type StepError struct {
	Step          string
	Number, Total int
	FleetState    []string
	Cause         error // what was waited for or checked
}

// Error returns the step, the cause and what was seen, a line each.
func (e *StepError) Error() string {
	lines := append([]string{fmt.Sprintf("trial: step %d of %d, %s, failed: %v; seen then:", e.Number, e.Total, e.Step, e.Cause)}, e.FleetState...)
	return strings.Join(lines, "\n  ")
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// methodName returns the name of a step's method.
func methodName(s step) string {
	name := runtime.FuncForPC(reflect.ValueOf(s).Pointer()).Name()
	return name[strings.LastIndex(name, ".")+1:]
}

// describeFleet describes the processes that ended and what each entry instance says of groups and instances.
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
			out = append(out, fmt.Sprintf("%s does not tell its groups: %v", e.name, err))
			continue
		}
		for _, g := range groups {
			out = append(out, fmt.Sprintf("%s sees group %s: ready=%t %s", e.name, g.Group, g.Ready, g.Reason))
		}
	}
	return out
}
