package groupformer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// discoverGroups adopts groups that engines report and this Former did not form. It also adds
// members that are listed later to adopted groups.
func (f *Former) discoverGroups(now time.Time) {
	found := map[identifier.Group][]*engine{}
	for _, e := range f.sortedEngines() {
		m := e.Membership
		if m.Group == "" || !e.listed || f.isReleased(e) {
			continue
		}
		if g := f.groups[m.Group]; g != nil {
			f.addAdoptedMember(g, e)
			continue
		}
		found[m.Group] = append(found[m.Group], e)
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		f.adoptGroup(now, name, found[name])
	}
}

// addAdoptedMember adds e to a group that was adopted before e was listed.
func (f *Former) addAdoptedMember(g *group, e *engine) {
	if !g.adopted || e.Membership.Epoch != g.epoch || slices.Contains(g.members, e.ID) {
		return
	}
	g.members = append(g.members, e.ID)
	f.assignedCurrent = false
}

// adoptGroup adopts a group from its listed members. The name of the group contains the head,
// so that the other members do not count as free while an unlisted head may serve.
func (f *Former) adoptGroup(now time.Time, name identifier.Group, members []*engine) {
	reporter := members[0]
	profile := f.services[reporter.Service]
	if profile == nil {
		return
	}
	model, known := modelOf(profile, members)
	if head := f.engines[headFromName(name)]; !known && (head == nil || !head.listed) {
		return
	}
	g := &group{
		name: name, epoch: reporter.Membership.Epoch, model: model, service: reporter.Service, phaseSince: now,
		phase: phaseForming, adopted: true, members: []identifier.Endpoint{headFromName(name)},
	}
	for _, m := range members {
		f.addAdoptedMember(g, m)
	}
	f.groups[name] = g
	f.assignedCurrent = false
	head := f.engines[g.members[0]]
	switch {
	case head == nil || !head.listed: // it may be listed soon
		g.phase = phaseServing
	case head.Membership.IsSameGroup(reporter.Membership) && head.Membership.State == endpointlister.MemberOpen:
		g.phase = phaseServing
	case head.Membership.IsSameGroup(reporter.Membership) && head.Membership.State != endpointlister.MemberClosing:
		f.emit(LogDecision{Group: g.name, Epoch: g.epoch, Model: g.model.Name, Endpoint: head.ID, Decision: "takeUp", Members: len(g.members)})
	default:
		f.dissolve(now, g, head.ID, "notOpen")
	}
}

// modelOf returns the model that the members of a group report, or false if no member reports
// a known model.
func modelOf(profile *resolver.EngineProfile, members []*engine) (resolver.Model, bool) {
	for _, m := range members {
		if model, known := profile.Model(m.model()); known {
			return model, true
		}
	}
	return resolver.Model{}, false
}

// advanceAdopted opens a group that another instance started to form, once every member itself
// has reported that it is ready. Only these reports show which engines were ordered to join.
func (f *Former) advanceAdopted(now time.Time, g *group) {
	ready := 0
	for _, id := range g.members {
		e := f.engines[id]
		switch {
		case e == nil || e.uncertain:
			return
		case !g.hasMember(e):
			f.dissolve(now, g, id, "elsewhere")
			return
		case e.Membership.State == endpointlister.MemberBroken:
			f.dissolve(now, g, id, "broken")
			return
		case e.Membership.State != endpointlister.MemberReady:
			continue
		case !e.reportedAt.After(g.phaseSince):
			e.uncertain = true // the list may lag behind the engine
			return
		}
		ready++
	}
	waited := now.Sub(g.phaseSince)
	switch {
	case ready == len(g.members) && f.arrangeByRank(g):
		f.orderOpen(now, g)
	case ready == len(g.members) && waited > incompleteFormingLimit:
		f.dissolve(now, g, "", "incomplete")
	case waited > joinLimit+f.maxLoadTime(g.service)*maxLoadsInTurn:
		f.dissolve(now, g, "", "late")
	}
}

// arrangeByRank reports whether the members of g, all of which are ready, are exactly those
// that its model needs. If so, it sets the model and sorts the members by rank.
func (f *Former) arrangeByRank(g *group) bool {
	model, known := f.services[g.service].Model(f.engines[g.members[0]].model())
	if !known || model.GroupSize != len(g.members) {
		return false
	}
	byRank := make([]identifier.Endpoint, model.GroupSize)
	for _, id := range g.members {
		rank := f.engines[id].Membership.Rank
		if rank < 0 || rank >= len(byRank) || byRank[rank] != "" {
			return false
		}
		byRank[rank] = id
	}
	g.model, g.members = model, byRank
	return true
}

// maxLoadTime returns the longest load time of the models of a service.
func (f *Former) maxLoadTime(service identifier.Service) time.Duration {
	longest := time.Duration(0)
	for _, m := range f.services[service].Models {
		longest = max(longest, m.LoadTime)
	}
	return longest
}

// headFromName returns the head of a group from the name of the group.
func headFromName(name identifier.Group) identifier.Endpoint {
	head, _, _ := strings.Cut(string(name), "_")
	return identifier.Endpoint(head)
}

// isReleased reports whether e is a member of a group that was dissolved. If e is the head of
// such a group and serves nevertheless, the group no longer counts as released, so that it is
// adopted again.
func (f *Former) isReleased(e *engine) bool {
	m := e.Membership
	released, ok := f.released[m.Group]
	if !ok || m.Epoch > released.epoch {
		return false
	}
	if !e.dead && m.Rank == 0 && (m.State == endpointlister.MemberOpen || m.State == endpointlister.MemberClosing) {
		delete(f.released, m.Group)
		return false
	}
	return true
}
