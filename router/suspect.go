package router

import (
	"slices"
	"time"
)

// maxSuspects bounds the fingerprints that are suspected at once; the oldest is removed first.
const maxSuspects = 4096

// lossesToConfirm is the number of losses from which a suspicion is confirmed and the fingerprint refused.
const lossesToConfirm = 2

// Suspicion states that targets were lost while they ran requests with this fingerprint.
// A Suspicion without losses clears the fingerprint.
type Suspicion struct {
	Fingerprint uint64
	LostTargets []string      // ID of each lost target with its epoch and process start
	TTL         time.Duration // how much longer the suspicion lasts
}

// suspect is the state of one suspected fingerprint.
type suspect struct {
	fingerprint uint64
	lost        []string
	lastLoss    time.Time // as observed by this instance
	until       time.Time // end of the suspicion
	running     bool      // the second run is in progress at this instance
}

// suspectList holds the suspected fingerprints in the order of their first loss.
type suspectList struct {
	ttl           time.Duration
	byFingerprint map[uint64]*suspect
	order         []uint64 // fingerprints, the oldest suspicion first
}

func newSuspectList(ttl time.Duration) suspectList {
	return suspectList{ttl: ttl, byFingerprint: map[uint64]*suspect{}}
}

// find returns the state of a suspected fingerprint, or nil. It removes an expired suspicion.
func (sl *suspectList) find(now time.Time, fingerprint uint64) *suspect {
	s := sl.byFingerprint[fingerprint]
	if s == nil || fingerprint == 0 {
		return nil
	}
	if !now.Before(s.until) {
		sl.clear(fingerprint)
		return nil
	}
	return s
}

// addLoss adds a loss to a fingerprint, which becomes suspected if it is not, and returns its state.
func (sl *suspectList) addLoss(now time.Time, fingerprint uint64, loss string) *suspect {
	s := sl.find(now, fingerprint)
	if s == nil {
		s = &suspect{fingerprint: fingerprint}
		sl.insert(s)
	}
	if !s.hasLost(loss) {
		s.lost = append(s.lost, loss)
	}
	s.lastLoss = now
	s.until = now.Add(sl.ttl)
	return s
}

func (sl *suspectList) insert(s *suspect) {
	if len(sl.order) >= maxSuspects {
		sl.clear(sl.order[0])
	}
	sl.byFingerprint[s.fingerprint] = s
	sl.order = append(sl.order, s.fingerprint)
}

func (sl *suspectList) clear(fingerprint uint64) {
	delete(sl.byFingerprint, fingerprint)
	if i := slices.Index(sl.order, fingerprint); i >= 0 {
		sl.order = slices.Delete(sl.order, i, i+1)
	}
}

// merge adds a peer's suspicion: the result has the losses of both, each once.
func (sl *suspectList) merge(now time.Time, e Suspicion) {
	if e.Fingerprint == 0 {
		return
	}
	if len(e.LostTargets) == 0 {
		sl.clear(e.Fingerprint)
		return
	}
	for _, loss := range e.LostTargets {
		sl.addLoss(now, e.Fingerprint, loss)
	}
	sl.byFingerprint[e.Fingerprint].until = now.Add(min(e.TTL, sl.ttl))
}

func (s *suspect) hasLost(loss string) bool { return slices.Contains(s.lost, loss) }

func (s *suspect) isConfirmed() bool { return len(s.lost) >= lossesToConfirm }

// loss is a lost target that this instance observed and that a later report may disprove.
type loss struct {
	name        string
	fingerprint uint64
	observedAt  time.Time
}

// Times that bound when a report can disprove a loss.
const (
	disproofDelay  = time.Second      // a ready report at least this much later than the loss proves that the target did not crash
	disproofWindow = 30 * time.Second // age after which a loss is final
)

// handleSuspicion merges a peer's suspicion. If this instance runs a copy of the request,
// the copy's target counts as lost until the copy is answered, and every peer is notified:
// the copy may still crash its target, and until it ends no other instance may start the
// second run.
func (r *Router) handleSuspicion(now time.Time, e Suspicion) {
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
	r.suspects.addLoss(now, e.Fingerprint, t.lossName())
	r.emit(s.announcement(now))
}

// recordLoss adds the target of f's broken attempt to the losses of f's fingerprint and announces the suspicion.
func (r *Router) recordLoss(now time.Time, f *flight) {
	if f.Fingerprint == 0 {
		return
	}
	s := r.suspects.addLoss(now, f.Fingerprint, f.potentialLoss.name)
	r.losses = append(r.losses, f.potentialLoss)
	r.losses[len(r.losses)-1].observedAt = now
	r.emit(s.announcement(now))
}

// clearSuspicion clears a fingerprint for which a request was answered completely, and announces that.
func (r *Router) clearSuspicion(now time.Time, fingerprint uint64) {
	if r.suspects.find(now, fingerprint) == nil {
		return
	}
	r.suspects.clear(fingerprint)
	r.emit(Suspect{Suspicion{Fingerprint: fingerprint}})
}

// withdrawDisproved withdraws the losses of t that its current report disproves: the same
// group epoch and process start is ready after the time of the loss.
func (r *Router) withdrawDisproved(now time.Time, t *target) {
	name := t.lossName()
	r.losses = slices.DeleteFunc(r.losses, func(l loss) bool {
		if now.Sub(l.observedAt) > disproofWindow {
			return true
		}
		if l.name != name || !t.Ready || t.ReportedAt.Before(l.observedAt.Add(disproofDelay)) {
			return false
		}
		r.removeLoss(now, l)
		return true
	})
}

// removeLoss removes l from its fingerprint and clears a fingerprint without losses.
func (r *Router) removeLoss(now time.Time, l loss) {
	s := r.suspects.find(now, l.fingerprint)
	if s == nil {
		return
	}
	s.lost = slices.DeleteFunc(s.lost, func(name string) bool { return name == l.name })
	if len(s.lost) == 0 {
		r.suspects.clear(l.fingerprint)
		r.emit(Suspect{Suspicion{Fingerprint: l.fingerprint}})
	}
}

// announcement returns the action that announces s to the peers.
func (s *suspect) announcement(now time.Time) Suspect {
	return Suspect{Suspicion{Fingerprint: s.fingerprint, LostTargets: slices.Clone(s.lost), TTL: s.until.Sub(now)}}
}
