package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"amaranthmill/standin/hosted"
)

// Times of evacuations, and the operators' bound on the requests that follow them.
const (
	maxEvacuationGap = 3 * time.Second // between the beginnings of two evacuations
	minEvacuation    = 7 * time.Second // longer than the bound
	maxEvacuation    = 10 * time.Second
	evacuationBound  = 5 * time.Second // from the store's acknowledgement until no request is sent to the failure domain
)

// evacuationPrefix begins the operator's keys that evacuate failure domains.
const evacuationPrefix = "op/evacuate/"

// zones are the failure domains of the engines if some are evacuated: those of the first fabric domain are in the first one. All
// instances are in the first one too.
var zones = []string{"here", "there"}

// AddEvacuations returns steps with evacuations of failure domains, of which each fourth has a malformed value and must change
// nothing. The result is ordered by time.
func AddEvacuations(steps []Step, r *rand.Rand, length time.Duration) []Step {
	return addSteps(steps, r, maxEvacuationGap, length, func(r *rand.Rand) Fault {
		return EvacuateDomain{Domain: randomNumber(r), Malformed: r.IntN(4) == 0, For: minEvacuation + randomDuration(r, maxEvacuation-minEvacuation)}
	})
}

// zoneOf returns the failure domain of a new engine in a fabric domain. Endpoints of the plain service, which have none, are spread
// over the failure domains. The caller holds the lock.
func (s *soak) zoneOf(domain string) string {
	switch {
	case !s.cfg.Evacuations || domain == domains[0]:
		return zones[0]
	case domain != "":
		return zones[1]
	}
	balance := 0
	for _, e := range s.engines {
		switch {
		case e.Domain != "" || e.IsDead():
		case e.Zone == zones[0]:
			balance++
		default:
			balance--
		}
	}
	if balance > 0 {
		return zones[1]
	}
	return zones[0]
}

// evacuation is a time for which a failure domain was evacuated, from the store's acknowledgements.
type evacuation struct {
	zone       string
	start, end time.Time // end is zero while it lasts
}

// evacuateDomain evacuates a failure domain for a time, unless one is evacuated already.
func (s *soak) evacuateDomain(f EvacuateDomain) {
	zone := zones[f.Domain%len(zones)]
	if s.record.isAnyEvacuated() {
		return
	}
	key := evacuationPrefix + zone
	if f.Malformed {
		s.platform.Store.PutRaw(key, []byte("{"))
		s.runInBackground(func() {
			s.sleep(time.Second)
			if !s.record.isAnyEvacuated() {
				s.platform.Store.Remove(key)
			}
		})
		return
	}
	s.platform.Store.Put(key, struct{}{})
	end := s.record.startEvacuation(zone)
	s.runInBackground(func() {
		s.sleep(f.For)
		end() // before the removal, after which requests are allowed
		s.platform.Store.Remove(key)
	})
}

// startEvacuation records that a failure domain is evacuated until the returned function is called. That disturbs no guarantee.
func (r *record) startEvacuation(zone string) (end func()) {
	v := &evacuation{zone: zone, start: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuations = append(r.evacuations, v)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		v.end = time.Now()
	}
}

func (r *record) isAnyEvacuated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuations) > 0 && r.evacuations[len(r.evacuations)-1].end.IsZero()
}

// isEvacuated reports whether a failure domain has been evacuated for evacuationBound at a time, all of which an instance was
// undisturbed. The caller holds the lock.
func (r *record) isEvacuated(zone string, instance int, at time.Time) bool {
	for _, v := range r.evacuations {
		if v.zone == zone && at.After(v.start.Add(evacuationBound)) && (v.end.IsZero() || at.Before(v.end)) {
			return r.isUndisrupted(at.Add(-evacuationBound), at, instance, allInstances)
		}
	}
	return false
}

// findRequestsToEvacuated describes the requests that reached an engine in an evacuated failure domain. It also returns the number of
// requests that were sent while the bound applied to their instance.
func (r *record) findRequestsToEvacuated(engines []*hosted.Engine) (violations []string, bound int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.requestsByID()
	for _, e := range engines {
		for id, at := range e.LastRuns() {
			if s, ok := sent[id]; ok && r.isEvacuated(e.Zone, s.instance, at) {
				violations = append(violations, fmt.Sprintf("request %s at instance %d reached engine %s in the evacuated domain %s at %s", id, s.instance, e.ID, e.Zone, at.Format("05.000")))
			}
		}
	}
	for _, s := range r.requests {
		if r.isEvacuated(zones[0], s.instance, s.sentAt) || r.isEvacuated(zones[1], s.instance, s.sentAt) {
			bound++
		}
	}
	return violations, bound
}
