package trial

import (
	"context"
	"time"
)

// sampleEvery is the time between two looks at the groups.
const sampleEvery = 200 * time.Millisecond

// measures are the users' two, summed over the groups seen.
type measures struct {
	GroupDowntime        time.Duration // of groups that exist and do not serve
	StrandedAccelerators time.Duration // of live accelerators in such groups
}

// sample adds up the measures until ctx ends.
func (f *fleet) sample(ctx context.Context) measures {
	var m measures
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return m
		case <-time.After(sampleEvery):
		}
		groups, err := f.groups()
		now := time.Now()
		if err == nil {
			m.add(f, groups, now.Sub(last))
		}
		last = now
	}
}

func (m *measures) add(f *fleet, groups []group, d time.Duration) {
	for _, g := range groups {
		if g.Ready {
			continue
		}
		m.GroupDowntime += d
		for _, name := range g.Members {
			if e := f.engine(name); e != nil && e.process.IsRunning() {
				m.StrandedAccelerators += d
			}
		}
	}
}

func (f *fleet) engine(name string) *endpoint {
	for _, e := range f.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}
