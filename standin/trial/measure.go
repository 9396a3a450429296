package trial

import (
	"context"
	"time"
)

// sampleInterval is the time between two looks at the groups.
const sampleInterval = 200 * time.Millisecond

// disruption are the users' two, summed over the groups seen.
type disruption struct {
	GroupDowntime        time.Duration // of groups that exist and do not serve
	StrandedAccelerators time.Duration // of live accelerators in such groups
}

// sampleDisruption adds up the measures until ctx ends.
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

func (f *fleet) findEngine(name string) *endpoint {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
