package groupformer_test

import (
	"fmt"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/resolver"
)

// executeOrder executes an order as an engine does and returns its result.
func (f *fleet) executeOrder(e *fakeEngine, o groupformer.Order) groupformer.Result {
	if e.dead {
		return groupformer.ResultUnanswered
	}
	if o.Expected != e.orders {
		return groupformer.ResultConflict
	}
	m := &e.Membership
	switch op := o.Operation.(type) {
	case groupformer.Join:
		return f.join(e, op)
	case groupformer.Open:
		if m.Group != op.Group || m.Epoch != op.Epoch || m.State != endpointlister.MemberReady || m.Rank != 0 {
			return groupformer.ResultConflict
		}
		e.orders++
		f.scheduleIfUnchanged(e, f.profile.OpenTime, *m, func() {
			f.checkMembersReady(e)
			e.Membership.State = endpointlister.MemberOpen
		})
	case groupformer.Close:
		if m.Group != op.Group || m.State != endpointlister.MemberOpen {
			return groupformer.ResultConflict
		}
		e.orders++
		m.State = endpointlister.MemberClosing
		wait := time.Duration(0)
		if !op.Abort {
			wait = f.closeTime
		}
		f.scheduleIfUnchanged(e, wait, *m, func() { e.Membership.State = endpointlister.MemberReady })
	case groupformer.Leave:
		if m.Group != op.Group || m.Epoch != op.Epoch {
			return groupformer.ResultConflict
		}
		f.checkHeadFinished(e, op)
		e.orders++
		*m = endpointlister.Membership{}
	case groupformer.Stage:
		e.orders++
		e.staging = true
		start := e.ProcessStart
		f.schedule(f.loadTime(op.Model), func() {
			if !e.dead && e.ProcessStart == start {
				e.Staged, e.staging, f.listChanged = []string{op.Model}, false, true
			}
		})
	}
	f.listChanged = true
	return groupformer.ResultAccepted
}

// scheduleIfUnchanged calls do after d, unless the engine exits or its membership changes
// before.
func (f *fleet) scheduleIfUnchanged(e *fakeEngine, d time.Duration, m endpointlister.Membership, do func()) {
	f.schedule(d, func() {
		if !e.dead && e.Membership == m {
			do()
			f.listChanged = true
		}
	})
}

func (f *fleet) loadTime(model string) time.Duration {
	d := f.findModel(model).LoadTime
	if f.beforeFirstRequest {
		d /= earlyLoadSpeedup
	}
	return d
}

func (f *fleet) findModel(name string) resolver.Model {
	return f.profile.Models[slices.IndexFunc(f.profile.Models, func(m resolver.Model) bool { return m.Name == name })]
}

func (f *fleet) join(e *fakeEngine, op groupformer.Join) groupformer.Result {
	if op.Epoch < e.minEpoch {
		return groupformer.ResultStale
	}
	f.checkPreviousHeadClosed(e, op)
	e.minEpoch = op.Epoch
	e.orders++
	f.members[op.Group] = op.Members
	d := f.loadTime(op.Model)
	switch {
	case slices.Contains(e.Models, op.Model):
		d = rejoinTime
	case slices.Contains(e.Staged, op.Model):
		d = f.findModel(op.Model).WarmLoadTime
	}
	loads := !slices.Contains(e.Models, op.Model) && !slices.Contains(e.Staged, op.Model)
	e.Membership = endpointlister.Membership{Group: op.Group, Epoch: op.Epoch, Rank: slices.Index(op.Members, e.ID), State: endpointlister.MemberJoining}
	f.scheduleIfUnchanged(e, d, e.Membership, func() {
		e.Membership.State = endpointlister.MemberReady
		e.Models = []string{op.Model}
		if loads {
			e.Staged = []string{op.Model}
		}
		f.wasReady[string(op.Group)+"/"+string(e.ID)] = true
	})
	f.listChanged = true
	return groupformer.ResultAccepted
}

// checkPreviousHeadClosed records a violation if e joins another group while the head of its
// current group serves.
func (f *fleet) checkPreviousHeadClosed(e *fakeEngine, op groupformer.Join) {
	old := e.Membership
	if old.Group == "" || old.Group == op.Group {
		return
	}
	for _, h := range f.engines {
		m := h.Membership
		if !h.dead && m.IsSameGroup(old) && m.Rank == 0 && (m.State == endpointlister.MemberOpen || m.State == endpointlister.MemberClosing) {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s joins %s while %s of %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID, old.Group))
		}
	}
}

// checkHeadFinished records a violation if e leaves a group whose head still completes its
// requests.
func (f *fleet) checkHeadFinished(e *fakeEngine, op groupformer.Leave) {
	for _, h := range f.engines {
		if h != e && h.finishing && !h.dead && h.Membership.Group == op.Group {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s leaves %s while %s serves", f.now.Format("05.00"), e.ID, op.Group, h.ID))
		}
	}
}

// checkMembersReady records a violation if a head opens although a member was never ready.
func (f *fleet) checkMembersReady(head *fakeEngine) {
	group := head.Membership.Group
	for _, id := range f.members[group] {
		if !f.wasReady[string(group)+"/"+string(id)] {
			f.violations = append(f.violations, fmt.Sprintf("%s: %s opens though %s was never ready", f.now.Format("05.00"), group, id))
		}
	}
}
