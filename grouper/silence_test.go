package grouper_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/modeler"
	"amaranthmill/internal/scripter"
)

// maxSilence is how long a sound endpoint may answer nothing.
const maxSilence = 1600 * time.Millisecond

// TestSilentEndpointKeepsGroup guards against the loss of running answers because a sound
// endpoint is silent for a second or so: its reports are too old for a moment, and a standby
// that has loaded the model replaces it at once, which ends the epoch and its answers.
func TestSilentEndpointKeepsGroup(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprintf("instances=%d", instances), func(t *testing.T) {
			is := is.New(t)
			replaced := 0
			f := modeler.New(scripter.Start, modeler.Config{
				FailureDomain: "alpine", Instances: instances, LoadTime: 20 * time.Second, Engines: engines(4, 1, false),
				OnNote: func(_ *modeler.Instance, n grouper.Note) {
					if n.Decision == grouper.DecisionReplace {
						replaced++
					}
				},
			})
			f.SetBundle(&bundler.Bundle{Version: 1, Pools: []bundler.Pool{{
				Name: "guides", Base: "m", Version: "1", GroupSize: 3, Groups: []bundler.Placement{{FailureDomain: "alpine", Count: 1}},
			}}})
			f.Run(2*time.Minute, step)
			group := f.Platform.List()[0].Record.Groups[0]
			is.True(group.Standby != nil)
			for i := range 20 {
				e := f.Engine(group.Members[i%2].Endpoint)
				e.Reachable = false
				f.Run(maxSilence, step)
				e.Reachable = true
				f.Run(time.Minute+time.Duration(i)*step, step) // the next silence begins at another phase of the probes
			}
			is.Equal(replaced, 0)
			is.Equal(f.Platform.List()[0].Record.Groups[0].Epoch, group.Epoch)
		})
	}
}
