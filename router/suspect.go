package router

import (
	"slices"
	"time"
)

// maxSuspects bounds the fingerprints that are suspected at once; the oldest goes first.
const maxSuspects = 4096

// lossesToConvict is the number of losses after which a fingerprint is refused.
const lossesToConvict = 2

// Suspicion says that targets were lost while they ran requests with this fingerprint.
// With no losses it clears the fingerprint.
type Suspicion struct {
	Fingerprint uint64
	LostTargets []string // each a target's ID with its epoch or process start
	TTL         time.Duration
}

// suspect is one suspected fingerprint.
type suspect struct {
	fingerprint uint64
	lost        []string
	lastLoss    time.Time // as seen here
	until       time.Time
	running     bool // a second run is under way at this instance
}

// suspectList has the suspected fingerprints in the order of their first loss.
type suspectList struct {
	lasts time.Duration
	byFP  map[uint64]*suspect
	order []uint64
}

func newSuspectList(lasts time.Duration) suspectList {
	return suspectList{lasts: lasts, byFP: map[uint64]*suspect{}}
}

// find returns the suspicion of a fingerprint at now, or nil.
func (sl *suspectList) find(now time.Time, fingerprint uint64) *suspect {
	s := sl.byFP[fingerprint]
	if s == nil || fingerprint == 0 {
		return nil
	}
	if !now.Before(s.until) {
		sl.clear(fingerprint)
		return nil
	}
	return s
}

// blame adds a loss to a fingerprint and returns its suspicion.
func (sl *suspectList) blame(now time.Time, fingerprint uint64, loss string) *suspect {
	s := sl.find(now, fingerprint)
	if s == nil {
		s = &suspect{fingerprint: fingerprint}
		sl.insert(s)
	}
	if !s.hasLost(loss) {
		s.lost = append(s.lost, loss)
	}
	s.lastLoss = now
	s.until = now.Add(sl.lasts)
	return s
}

func (sl *suspectList) insert(s *suspect) {
	if len(sl.order) >= maxSuspects {
		sl.clear(sl.order[0])
	}
	sl.byFP[s.fingerprint] = s
	sl.order = append(sl.order, s.fingerprint)
}

func (sl *suspectList) clear(fingerprint uint64) {
	delete(sl.byFP, fingerprint)
	if i := slices.Index(sl.order, fingerprint); i >= 0 {
		sl.order = slices.Delete(sl.order, i, i+1)
	}
}

// merge takes in a peer's suspicion: the losses of both count, each once.
func (sl *suspectList) merge(now time.Time, e Suspicion) {
	if e.Fingerprint == 0 {
		return
	}
	if len(e.LostTargets) == 0 {
		sl.clear(e.Fingerprint)
		return
	}
	for _, loss := range e.LostTargets {
		sl.blame(now, e.Fingerprint, loss)
	}
	sl.byFP[e.Fingerprint].until = now.Add(min(e.TTL, sl.lasts))
}

func (s *suspect) hasLost(loss string) bool { return slices.Contains(s.lost, loss) }

func (s *suspect) isConvicted() bool { return len(s.lost) >= lossesToConvict }

// loss is one that this instance saw and that a later report may withdraw.
type loss struct {
	name        string
	fingerprint uint64
	at          time.Time
}

// Times that bound the withdrawal of a loss.
const (
	withdrawAfter  = time.Second      // a report this much younger than the loss proves that there was none
	withdrawWithin = 30 * time.Second // after which a loss stands
)

// suspected takes in a peer's suspicion. A copy that runs here counts as a loss of its
// target until it has answered, and every peer is told: it may crash yet, and until
// then no other instance must give the request a second run.
func (r *Router) suspected(now time.Time, e Suspicion) {
	r.suspects.merge(now, e)
	s := r.suspects.find(now, e.Fingerprint)
	c, runs := r.running[e.Fingerprint]
	if s == nil || !runs || s.running {
		return
	}
	t := r.table.find(c.target)
	if t == nil || s.hasLost(t.lossName()) {
		return
	}
	r.suspects.blame(now, e.Fingerprint, t.lossName())
	r.act(s.told(now))
}

// blame holds the loss of the target of f's broken attempt against its fingerprint.
func (r *Router) blame(now time.Time, f *flight) {
	if f.Fingerprint == 0 {
		return
	}
	s := r.suspects.blame(now, f.Fingerprint, f.loss.name)
	r.losses = append(r.losses, f.loss)
	r.losses[len(r.losses)-1].at = now
	r.act(s.told(now))
}

// exonerate clears a fingerprint whose answer came whole.
func (r *Router) exonerate(now time.Time, fingerprint uint64) {
	if r.suspects.find(now, fingerprint) == nil {
		return
	}
	r.suspects.clear(fingerprint)
	r.act(Suspect{Suspicion{Fingerprint: fingerprint}})
}

// withdrawLoss takes back the losses of t that a report of it disproves: the same
// members in the same run, ready after the time of the loss.
func (r *Router) withdrawLoss(now time.Time, t *target) {
	name := t.lossName()
	r.losses = slices.DeleteFunc(r.losses, func(l loss) bool {
		if now.Sub(l.at) > withdrawWithin {
			return true
		}
		if l.name != name || !t.Ready || t.ReportedAt.Before(l.at.Add(withdrawAfter)) {
			return false
		}
		r.withdraw(now, l)
		return true
	})
}

func (r *Router) withdraw(now time.Time, l loss) {
	s := r.suspects.find(now, l.fingerprint)
	if s == nil {
		return
	}
	s.lost = slices.DeleteFunc(s.lost, func(name string) bool { return name == l.name })
	if len(s.lost) == 0 {
		r.suspects.clear(l.fingerprint)
		r.act(Suspect{Suspicion{Fingerprint: l.fingerprint}})
	}
}

// told returns the suspicion for the peers.
func (s *suspect) told(now time.Time) Suspect {
	return Suspect{Suspicion{Fingerprint: s.fingerprint, LostTargets: slices.Clone(s.lost), TTL: s.until.Sub(now)}}
}
