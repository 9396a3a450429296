package modeler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
)

// Platform models the platform's service: records by compare-and-swap, and repair leases.
type Platform struct {
	Down     bool
	Records  map[identifier.FabricDomain]grouper.StoredRecord
	Revision uint64
	leases   map[identifier.FabricDomain]lease
}

type lease struct {
	holder identifier.Instance
	lapses time.Time
}

// Save writes a record if its revision is still s.Revision.
func (p *Platform) Save(s grouper.Save) (grouper.StoredRecord, bool) {
	if p.Down || p.Records[s.Record.FabricDomain].Revision != s.Revision {
		return grouper.StoredRecord{}, false
	}
	p.Revision++
	stored := grouper.StoredRecord{Record: s.Record, Revision: p.Revision}
	p.Records[s.Record.FabricDomain] = stored
	return stored, true
}

// List returns the records by fabric domain.
func (p *Platform) List() []grouper.StoredRecord {
	out := make([]grouper.StoredRecord, 0, len(p.Records))
	for _, s := range p.Records {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b grouper.StoredRecord) int { return cmp.Compare(a.Record.FabricDomain, b.Record.FabricDomain) })
	return out
}

// renew gives or renews the lease of fd to holder, and reports whether it has it.
func (p *Platform) renew(now time.Time, fd identifier.FabricDomain, holder identifier.Instance, ttl time.Duration) bool {
	l := p.leases[fd]
	if p.Down || l.holder != holder && now.Before(l.lapses) {
		return false
	}
	p.leases[fd] = lease{holder: holder, lapses: now.Add(ttl)}
	return true
}
