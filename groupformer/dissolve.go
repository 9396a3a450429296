package groupformer

import (
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
)

// findLostMember returns a member without which g can't continue, and the reason. A draining
// member other than the head stays in a serving group for the drain time, so that the head can
// complete its requests.
func (f *Former) findLostMember(now time.Time, g *group) (identifier.Endpoint, string) {
	for rank, id := range g.members {
		e := f.engines[id]
		switch {
		case e == nil:
			continue // the head of an adopted group, which is not listed yet
		case e.dead:
			return id, "dead"
		case e.Draining && (rank == 0 || g.phase != phaseServing || now.Sub(e.drainingSince) >= f.drainTime):
			return id, "draining"
		case rank == 0 && !e.listed && e.reportedAt.After(e.unlistedAt):
			return id, "unlisted"
		case g.phase != phaseForming && !e.uncertain && e.listed && !g.hasMember(e) && e.confirmsMembership():
			return id, "elsewhere"
		}
	}
	return "", ""
}

// dissolve starts to dissolve g.
func (f *Former) dissolve(now time.Time, g *group, cause identifier.Endpoint, reason string) {
	f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Endpoint: cause, Decision: "dissolve:" + reason, Members: len(g.members), Elapsed: now.Sub(g.phaseSince)})
	f.countLoss(now, g, reason)
	g.phase, g.phaseSince = phaseDissolving, now
}

// advanceDissolving closes the head, removes it from the group and then releases the members.
func (f *Former) advanceDissolving(now time.Time, g *group) {
	head := f.engines[g.members[0]]
	switch {
	case head == nil:
		if now.Sub(g.phaseSince) > unlistedHeadLimit {
			f.releaseUnconfirmed(now, g)
		}
		return
	case head.dead:
		f.releaseUnconfirmed(now, g)
		return
	case !g.hasMember(head):
		if !head.uncertain && head.pending == nil && (g.headLeft || head.confirmsMembership()) {
			f.releaseMembers(now, g)
		}
		return
	}
	switch head.Membership.State {
	case endpointlister.MemberOpen:
		if g.graceful && now.Sub(g.phaseSince) <= g.closeLimit() {
			f.sendOrder(now, head, Close{Group: g.name, Epoch: g.epoch})
			return
		}
		f.sendOrder(now, head, Leave{Group: g.name, Epoch: g.epoch})
	case endpointlister.MemberClosing:
		f.advanceClosing(now, g, head)
	default:
		f.sendOrder(now, head, Leave{Group: g.name, Epoch: g.epoch})
	}
}

// advanceClosing aborts the running requests when the time for a graceful close has passed,
// and queries a head that does not report an immediate close.
func (f *Former) advanceClosing(now time.Time, g *group, head *engine) {
	if g.graceful && now.Sub(g.phaseSince) > g.closeLimit() {
		g.graceful = false
		f.sendOrder(now, head, Close{Group: g.name, Epoch: g.epoch, Abort: true})
		return
	}
	if !g.graceful && now.Sub(head.pendingSince) > closeTimeout {
		head.uncertain = true
	}
}

// closeLimit returns the time after which the requests that run in a dissolving group are aborted. A group that demand
// dissolves without need completes them.
func (g *group) closeLimit() time.Duration {
	if g.lent {
		return lentCloseLimit
	}
	return gracefulCloseLimit
}

// releaseUnconfirmed releases the members of g without confirmation that the head has left the
// group. A head that does not answer need not be dead.
func (f *Former) releaseUnconfirmed(now time.Time, g *group) {
	f.releaseMembers(now, g)
	f.released[g.name] = releasedGroup{epoch: g.epoch, headUnconfirmed: true}
}

// releasedGroup is a group that was dissolved and whose members were released.
type releasedGroup struct {
	epoch           identifier.Epoch
	headUnconfirmed bool // the head is not known to have left the group
}

// hasUntrackedMembership reports whether e is a member of a group whose head may serve and
// which f does not track. Once e has left the group, its head can't continue to serve.
func (f *Former) hasUntrackedMembership(e *engine) bool {
	m := e.Membership
	if m.Group == "" || f.services[e.Service] == nil {
		return false
	}
	if g := f.groups[m.Group]; g != nil && g.epoch == m.Epoch {
		return false
	}
	released, ok := f.released[m.Group]
	return !ok || released.headUnconfirmed || m.Epoch > released.epoch
}

// orderLeaves orders engines with an untracked membership to leave their group.
func (f *Former) orderLeaves(now time.Time) {
	for _, e := range f.sortedEngines() {
		e.mustLeave = f.hasUntrackedMembership(e)
		if e.mustLeave && e.listed && !e.dead && !e.Draining {
			f.sendOrder(now, e, Leave{Group: e.Membership.Group, Epoch: e.Membership.Epoch})
		}
	}
}

// releaseMembers makes the members of g available to other groups.
func (f *Former) releaseMembers(now time.Time, g *group) {
	delete(f.groups, g.name)
	f.assignedCurrent = false
	f.released[g.name] = releasedGroup{epoch: g.epoch}
	for _, id := range g.members {
		if e := f.engines[id]; e != nil {
			e.idleSince = now
		}
	}
	f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Decision: "freed", Members: len(g.members), Elapsed: now.Sub(g.phaseSince)})
}
