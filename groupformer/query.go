package groupformer

import (
	"time"

	"amaranthmill/internal/identifier"
)

// suspectGroup asks every member of a head's group whether it lives.
func (f *Former) suspectGroup(head identifier.Endpoint) {
	e := f.engines[head]
	if e == nil {
		return
	}
	e.suspected = true
	g := f.groups[e.Membership.Group]
	if g == nil {
		return
	}
	for _, id := range g.members {
		if m := f.engines[id]; m != nil && !m.dead {
			m.suspected = true
		}
	}
}

// handleReport takes in an engine's own report. One of another process start shows that the
// process that was asked for has ended: another engine has its address, or it starts
// anew and will be listed so.
func (f *Former) handleReport(now time.Time, r Reported) {
	e := f.engines[r.ID]
	if e == nil {
		return
	}
	if r.Endpoint.ProcessStart == e.ProcessStart {
		e.applyReport(now, r)
		return
	}
	e.querying = false
	if !e.dead {
		e.dead = true
		f.emit(LogDecision{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "replaced"})
	}
}

// handleUnreachable counts an ask without an answer, from here and from every peer in reach. An
// engine that nobody near it has tried may be cut off from here and go on serving there.
func (f *Former) handleUnreachable(now time.Time, u Unreachable) {
	e := f.engines[u.ID]
	if e == nil || !e.querying {
		return
	}
	e.querying = false
	e.suspected = true
	e.failedQueries++
	if e.dead {
		return
	}
	switch {
	case !u.TriedByPeers:
	case u.ConnectionRefused && (f.mayBeFinishing(now, e) || !e.refusedSince.IsZero()):
		if e.refusedSince.IsZero() {
			e.refusedSince = now
		}
		e.dead = now.Sub(e.refusedSince) >= drainFinishLimit
	case u.TriedInDomain:
		e.dead = e.failedQueries >= deadAfterFailures
	default:
		e.dead = !e.listed && now.Sub(e.unlistedAt) >= unlistedDeadAfter
	}
	if e.dead {
		f.emit(LogDecision{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "dead"})
	}
}

// mayBeFinishing reports whether e may have stopped to listen because it is leaving, and still
// serve what it has. An engine that leaves says so, or takes its entry away, some
// seconds before that, unless the store was not well.
func (f *Former) mayBeFinishing(now time.Time, e *engine) bool {
	isHead := e.Membership.Rank == 0 && e.Membership.Group != ""
	return isHead && (e.Draining || !e.listed || f.storeLost || now.Sub(f.storeChangedAt) < storeSettleTime)
}

// queryEngines asks the engines whose state has to be learned.
func (f *Former) queryEngines(now time.Time) {
	for _, e := range f.sortedEngines() {
		wait, reason := time.Duration(0), ""
		switch {
		case e.querying:
			continue
		case e.dead && !e.listed:
			if now.Sub(e.unlistedAt) > forgetDeadAfter && f.groups[e.Membership.Group] == nil {
				f.sortedByID = nil
				delete(f.engines, e.ID)
			}
			continue
		case e.dead:
			wait, reason = deadQueryInterval, "dead"
		case e.suspected:
			wait, reason = queryInterval, "suspected"
			if e.failedQueries > deadAfterFailures {
				wait = unreachableQueryInterval
			}
		case e.uncertain:
			wait, reason = 4*queryInterval, "uncertain"
		default:
			continue
		}
		if now.Sub(e.queriedAt) < wait {
			continue
		}
		e.querying, e.queriedAt = true, now
		f.emit(FetchReport{ID: e.ID, Reason: reason, ViaPeers: e.failedQueries > 0 && !e.dead})
	}
}

// forgetDeadAfter is how long an engine that left the list is remembered.
const forgetDeadAfter = 10 * time.Second
