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
			f, decisions := newSilenceFleet(instances)
			group := f.Platform.List()[0].Record.Groups[0]
			is.True(group.Standby != nil)
			for i := range 20 {
				f.Engine(group.Members[i%2].Endpoint).Reachable = false
				f.Run(maxSilence, step)
				f.Engine(group.Members[i%2].Endpoint).Reachable = true
				f.Run(time.Minute+time.Duration(i)*step, step) // the next silence begins at another phase of the probes
			}
			is.Equal(decisions[grouper.DecisionReplace], 0)
			is.Equal(f.Platform.List()[0].Record.Groups[0].Epoch, group.Epoch)
		})
	}
}

// TestSilentEndpointIsDrained guards against the loss of running answers because a sound
// endpoint is silent for a second or so during a rollout or while its group is removed: its
// group counts as not serving, or as drained, and is changed at once.
func TestSilentEndpointIsDrained(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(*bundler.Bundle)
		begin  time.Duration // from the change of the bundle to the first silence
	}{
		{"update", func(b *bundler.Bundle) { b.Pools[0].Version = "2" }, -maxSilence},
		{"remove", func(b *bundler.Bundle) { b.Pools = nil }, -maxSilence},
		{"updateDraining", func(b *bundler.Bundle) { b.Pools[0].Version = "2" }, 2 * time.Second},
		{"removeDraining", func(b *bundler.Bundle) { b.Pools = nil }, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for phase := range 10 { // of the probes
				testSilentDuringChange(t, tc.change, tc.begin, time.Duration(phase)*step)
			}
		})
	}
}

// testSilentDuringChange changes the bundle while a request runs at a group whose first member
// is silent at times, and checks that the group keeps its epoch until the request has ended.
func testSilentDuringChange(t *testing.T, change func(*bundler.Bundle), begin, phase time.Duration) {
	is := is.New(t)
	f, _ := newSilenceFleet(1)
	f.Run(phase, step)
	group := f.Platform.List()[0].Record.Groups[0]
	first := f.Engine(group.Members[0].Endpoint)
	first.InFlight = 1
	f.Run(time.Second, step) // the request is reported
	b := silenceBundle()
	b.Version = 2
	change(b)
	if begin < 0 {
		first.Reachable = false
		f.Run(-begin, step)
		f.SetBundle(b)
		f.Run(maxSilence+begin, step)
	} else {
		f.SetBundle(b)
		f.Run(begin, step)
		first.Reachable = false
		f.Run(maxSilence, step)
	}
	first.Reachable = true
	f.Run(5*time.Second, step)
	is.Equal(first.Epoch, group.Epoch) // the request still runs
	is.Equal(len(f.Platform.List()[0].Record.Groups), 1)
	first.InFlight = 0
	f.Run(10*time.Second, step)
	is.True(first.Epoch != group.Epoch)
}

// newSilenceFleet returns a fleet with a group of three and a standby that has loaded the
// model, and the number of each decision.
func newSilenceFleet(instances int) (*modeler.Fleet, map[grouper.Decision]int) {
	decisions := map[grouper.Decision]int{}
	f := modeler.New(scripter.Start, modeler.Config{
		FailureDomain: "alpine", Instances: instances, LoadTime: 20 * time.Second, Engines: engines(4, 1, false),
		OnNote: func(_ *modeler.Instance, n grouper.Note) { decisions[n.Decision]++ },
	})
	f.SetBundle(silenceBundle())
	f.Run(2*time.Minute, step)
	return f, decisions
}

func silenceBundle() *bundler.Bundle {
	return &bundler.Bundle{Version: 1, Pools: []bundler.Pool{{
		Name: "guides", Base: "m", Version: "1", GroupSize: 3, Groups: []bundler.Placement{{FailureDomain: "alpine", Count: 1}},
	}}}
}
