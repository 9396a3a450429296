package groupformer

import (
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
)

// findLostMember returns a member that g can't go on with, and why. A member that drains stays
// while its head has work, so that a group that serves need not end before the drain time does.
func (f *Former) findLostMember(now time.Time, g *group) (identifier.Endpoint, string) {
	for rank, id := range g.members {
		e := f.engines[id]
		switch {
		case e == nil:
			continue // the head of a group that was taken up, which is not listed yet
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

// dissolve begins to break g up.
func (f *Former) dissolve(now time.Time, g *group, by identifier.Endpoint, why string) {
	f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Endpoint: by, Decision: "dissolve:" + why, Members: len(g.members), Elapsed: now.Sub(g.phaseSince)})
	g.phase, g.phaseSince = phaseDissolving, now
}

// advanceDissolving closes the head, takes it out of the group, and frees the members.
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
		if g.graceful && now.Sub(g.phaseSince) <= gracefulCloseLimit {
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

// advanceClosing cuts what still runs after the time for it, and asks a head that does not report.
func (f *Former) advanceClosing(now time.Time, g *group, head *engine) {
	if g.graceful && now.Sub(g.phaseSince) > gracefulCloseLimit {
		g.graceful = false
		f.sendOrder(now, head, Close{Group: g.name, Epoch: g.epoch, Abort: true})
		return
	}
	if !g.graceful && now.Sub(head.pendingSince) > closeTimeout {
		head.uncertain = true
	}
}

// releaseUnconfirmed gives the members of g free whose head does not answer, which need not mean that
// it is dead.
func (f *Former) releaseUnconfirmed(now time.Time, g *group) {
	f.releaseMembers(now, g)
	f.released[g.name] = releasedGroup{epoch: g.epoch, headUnconfirmed: true}
}

// releasedGroup is a group that was broken up.
type releasedGroup struct {
	epoch           identifier.Epoch
	headUnconfirmed bool // its head is not known to have left it
}

// hasUntrackedMembership reports whether e has a place in a group whose head may serve, and which f does
// not keep. Once e has left it, the head can't go on.
func (f *Former) hasUntrackedMembership(e *engine) bool {
	m := e.Membership
	if m.Group == "" || f.services[e.Service] == nil {
		return false
	}
	if g := f.groups[m.Group]; g != nil && g.epoch == m.Epoch {
		return false
	}
	freed, ok := f.released[m.Group]
	return !ok || freed.headUnconfirmed || m.Epoch > freed.epoch
}

// orderLeaves orders engines to leave groups that they are tied to.
func (f *Former) orderLeaves(now time.Time) {
	for _, e := range f.sortedEngines() {
		e.mustLeave = f.hasUntrackedMembership(e)
		if e.mustLeave && e.listed && !e.dead && !e.Draining {
			f.sendOrder(now, e, Leave{Group: e.Membership.Group, Epoch: e.Membership.Epoch})
		}
	}
}

// releaseMembers gives the members of g releaseMembers for other groups.
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
