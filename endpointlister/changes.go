package endpointlister

import (
	"cmp"
	"slices"

	"amaranthmill/internal/identifier"
)

// Changes are changes of a list of endpoints. No endpoint is in both Changed and Removed. The
// receiver must not modify the slices.
type Changes struct {
	Changed  []Endpoint            // added or replaced
	Removed  []identifier.Endpoint // no longer listed
	Complete bool                  // Changed is the whole list, so that all others are removed
}

// Collector collects the actions of a Lister into Changes. The zero value has collected none. It is
// not safe for concurrent use.
type Collector struct {
	last map[identifier.Endpoint]Action // the last EndpointListed or EndpointDelisted of each endpoint
}

// Add adds an action. Actions that change no list are ignored.
func (c *Collector) Add(a Action) {
	if c.last == nil {
		c.last = map[identifier.Endpoint]Action{}
	}
	switch a := a.(type) {
	case EndpointListed:
		c.last[a.Endpoint.ID] = a
	case EndpointDelisted:
		c.last[a.ID] = a
	}
}

// Take returns what was collected, sorted by ID, and forgets it. It returns false if that is nothing.
func (c *Collector) Take() (Changes, bool) {
	var out Changes
	for _, a := range c.last {
		switch a := a.(type) {
		case EndpointListed:
			out.Changed = append(out.Changed, a.Endpoint)
		case EndpointDelisted:
			out.Removed = append(out.Removed, a.ID)
		}
	}
	c.last = nil
	slices.SortFunc(out.Changed, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	slices.Sort(out.Removed)
	return out, len(out.Changed)+len(out.Removed) > 0
}
