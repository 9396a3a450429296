package quarantiner_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
)

// TestChangesEqualCompleteList checks that a core that gets the changes of the list decides the same as
// one that gets the whole list after each of them.
func TestChangesEqualCompleteList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := scripter.Start
		byChanges, byList := quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})
		step := func(a, b quarantiner.Event) {
			got, want := slices.Clone(byChanges.Step(now, a)), byList.Step(now, b)
			if !reflect.DeepEqual(got, slices.Clone(want)) {
				t.Fatalf("%s: by changes %+v, by list %+v", now.Sub(scripter.Start), got, want)
			}
		}
		list := map[identifier.Endpoint]endpointlister.Endpoint{}
		draw := func() endpointlister.Endpoint {
			return endpointlister.Endpoint{
				ID:           identifier.Endpoint(fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(t, "endpoint"))),
				ProcessStart: identifier.ProcessStart(rapid.IntRange(1, 2).Draw(t, "start")), Draining: rapid.IntRange(0, 3).Draw(t, "draining") == 0,
			}
		}
		publish := func(c quarantiner.EndpointsChanged) {
			complete := quarantiner.EndpointsChanged{Complete: true}
			for _, e := range list {
				complete.Changed = append(complete.Changed, e)
			}
			step(c, complete)
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			e := draw()
			process := identifier.Process{Endpoint: e.ID, Start: e.ProcessStart}
			fp := identifier.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				list[e.ID] = e
				publish(quarantiner.EndpointsChanged{Changed: []endpointlister.Endpoint{e}})
			case 1:
				delete(list, e.ID)
				publish(quarantiner.EndpointsChanged{Removed: []identifier.Endpoint{e.ID}})
			case 2, 3:
				started := quarantiner.AttemptStarted{Fingerprint: fp, Process: process}
				step(started, started)
				result := quarantiner.Result(rapid.IntRange(0, 4).Draw(t, "result"))
				ended := quarantiner.AttemptEnded{Fingerprint: fp, Process: process, Result: result}
				step(ended, ended)
			case 4:
				checked := quarantiner.ConnectionChecked{Process: process, Accepted: rapid.Bool().Draw(t, "accepted")}
				step(checked, checked)
			default:
				step(quarantiner.Ticked{}, quarantiner.Ticked{})
			}
		}
	})
}
