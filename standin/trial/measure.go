package trial

import (
	"context"
	"time"
)

// sampleInterval is the time between two samples of the groups.
const sampleInterval = 200 * time.Millisecond

// disruption holds the two measures that the repair settings of a bundle weigh, summed over the
// sampled groups.
type disruption struct {
	GroupDowntime        time.Duration // time during which a group exists and is not ready
	StrandedAccelerators time.Duration // accelerator time of the running engines in such groups
}

// sampleDisruption samples the groups until ctx ends and returns the sums.
func (f *fleet) sampleDisruption(ctx context.Context) disruption {
	var m disruption
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return m
		case <-time.After(sampleInterval):
		}
		groups, err := f.fetchGroups()
		now := time.Now()
		if err == nil {
			m.add(f, groups, now.Sub(last))
		}
		last = now
	}
}

// add accounts a time span d to each group that is not ready.
func (m *disruption) add(f *fleet, groups []group, d time.Duration) {
	for _, g := range groups {
		if g.Ready {
			continue
		}
		m.GroupDowntime += d
		for _, name := range g.Members {
			if e := f.findEngine(name); e != nil && e.process.IsRunning() {
				m.StrandedAccelerators += d
			}
		}
	}
}

// findEngine returns the engine with a name, or nil.
func (f *fleet) findEngine(name string) *endpoint {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
