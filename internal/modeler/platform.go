package modeler

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
)

// Platform models the platform's key-value store: records of replica groups, which are
// written by compare-and-swap, and repair leases.
type Platform struct {
	Down     bool
	Records  map[identifier.FabricDomain]grouper.StoredRecord
	Revision uint64
	leases   map[identifier.FabricDomain]lease
}

type lease struct {
	holder    identifier.Instance
	expiresAt time.Time
}

// Save writes s.Record if the stored record still has the revision s.Revision, and returns the
// record as stored. The result is false if nothing was written.
func (p *Platform) Save(s grouper.Save) (grouper.StoredRecord, bool) {
	if p.Down || p.Records[s.Record.FabricDomain].Revision != s.Revision {
		return grouper.StoredRecord{}, false
	}
	p.Revision++
	stored := grouper.StoredRecord{Record: s.Record, Revision: p.Revision}
	p.Records[s.Record.FabricDomain] = stored
	return stored, true
}

// List returns the records in order of their fabric domains.
func (p *Platform) List() []grouper.StoredRecord {
	out := make([]grouper.StoredRecord, 0, len(p.Records))
	for _, s := range p.Records {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b grouper.StoredRecord) int { return cmp.Compare(a.Record.FabricDomain, b.Record.FabricDomain) })
	return out
}

// renewLease grants or renews the lease of fd for holder, unless another instance holds it or
// the platform is down. It reports whether holder has the lease.
func (p *Platform) renewLease(now time.Time, fd identifier.FabricDomain, holder identifier.Instance, ttl time.Duration) bool {
	l := p.leases[fd]
	if p.Down || l.holder != holder && now.Before(l.expiresAt) {
		return false
	}
	p.leases[fd] = lease{holder: holder, expiresAt: now.Add(ttl)}
	return true
}
