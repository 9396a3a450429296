package targetlister

import (
	"maps"
	"reflect"
	"slices"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// groupEpoch identifies a membership of a group.
type groupEpoch struct {
	group identifier.Group
	epoch identifier.Epoch
}

// Lister is the deterministic core that maintains the targets. It is not safe for concurrent use.
type Lister struct {
	services  map[identifier.Service]resolver.Service
	endpoints map[identifier.Endpoint]endpointlister.Endpoint
	members   map[groupEpoch]map[identifier.Endpoint]bool // listed members of each group
	targets   map[identifier.Endpoint]scheduler.Target
	evacuated map[identifier.FailureDomain]bool
	restored  map[identifier.FailureDomain]time.Time // when requests to a failure domain were last allowed again
}

// New returns a Lister without services, which has no targets.
func New() *Lister {
	return &Lister{
		services: map[identifier.Service]resolver.Service{}, endpoints: map[identifier.Endpoint]endpointlister.Endpoint{},
		members: map[groupEpoch]map[identifier.Endpoint]bool{}, targets: map[identifier.Endpoint]scheduler.Target{}, evacuated: map[identifier.FailureDomain]bool{},
		restored: map[identifier.FailureDomain]time.Time{},
	}
}

// SetServices replaces the services of the operators' configuration and returns the changes of the
// targets.
func (l *Lister) SetServices(services []resolver.Service) scheduler.TargetsChanged {
	l.services = map[identifier.Service]resolver.Service{}
	for _, s := range services {
		l.services[s.Name] = s
	}
	affected := map[identifier.Endpoint]bool{}
	for id := range l.endpoints {
		affected[id] = true
	}
	return l.update(affected)
}

// Apply applies changes of the list and returns the changes of the targets.
func (l *Lister) Apply(c endpointlister.Changes) scheduler.TargetsChanged {
	if c.Complete {
		missing := maps.Clone(l.endpoints)
		for _, e := range c.Changed {
			delete(missing, e.ID)
		}
		c.Removed = slices.Collect(maps.Keys(missing))
	}
	affected := map[identifier.Endpoint]bool{}
	for _, id := range c.Removed {
		l.remove(id, affected)
	}
	for _, e := range c.Changed {
		l.remove(e.ID, affected)
		l.add(e, affected)
	}
	return l.update(affected)
}

// add adds an endpoint, and it and the members of its group to affected.
func (l *Lister) add(e endpointlister.Endpoint, affected map[identifier.Endpoint]bool) {
	l.endpoints[e.ID] = e
	affected[e.ID] = true
	key := groupEpoch{e.Membership.Group, e.Membership.Epoch}
	if key.group == "" {
		return
	}
	maps.Copy(affected, l.members[key])
	if l.members[key] == nil {
		l.members[key] = map[identifier.Endpoint]bool{}
	}
	l.members[key][e.ID] = true
}

// remove removes an endpoint, if it is known, and adds it and the members of its group to affected.
func (l *Lister) remove(id identifier.Endpoint, affected map[identifier.Endpoint]bool) {
	e, ok := l.endpoints[id]
	if !ok {
		return
	}
	delete(l.endpoints, id)
	affected[id] = true
	key := groupEpoch{e.Membership.Group, e.Membership.Epoch}
	maps.Copy(affected, l.members[key])
	if delete(l.members[key], id); len(l.members[key]) == 0 {
		delete(l.members, key)
	}
}

// update derives the targets of endpoints again and returns those that differ, sorted by ID.
func (l *Lister) update(affected map[identifier.Endpoint]bool) scheduler.TargetsChanged {
	var out scheduler.TargetsChanged
	for _, id := range slices.Sorted(maps.Keys(affected)) {
		old, was := l.targets[id]
		t, is := l.derive(id)
		switch {
		case is && (!was || !reflect.DeepEqual(t, old)):
			l.targets[id] = t
			out.Changed = append(out.Changed, t)
		case was && !is:
			delete(l.targets, id)
			out.Removed = append(out.Removed, id)
		}
	}
	return out
}

// derive returns the target of an endpoint, or false if it is none.
func (l *Lister) derive(id identifier.Endpoint) (scheduler.Target, bool) {
	e, listed := l.endpoints[id]
	service, known := l.services[e.Service]
	if !listed || !known || e.Draining {
		return scheduler.Target{}, false
	}
	t := scheduler.Target{
		ID: e.ID, Pool: forwarder.PoolOf(e.Service, ""), Address: e.Address, FailureDomain: e.FailureDomain, ProcessStart: e.ProcessStart, Slots: e.Slots,
		Evacuated: l.evacuated[e.FailureDomain],
	}
	l.setCold(&t, e, service.Cold)
	if service.Engine == nil || len(service.Engine.Models) == 0 {
		return t, true
	}
	if e.Membership.State != endpointlister.MemberOpen || len(e.Models) == 0 {
		return scheduler.Target{}, false
	}
	t.Pool, t.Group, t.Epoch = forwarder.PoolOf(e.Service, e.Models[0]), e.Membership.Group, e.Membership.Epoch
	model, _ := service.Engine.Model(e.Models[0]) // an unknown model has size zero, so that no member counts as missing
	l.addMembers(&t, model.GroupSize)
	return t, true
}

// addMembers adds the listed members of the group of t, whose full size is given, and sets the fields
// that depend on them.
func (l *Lister) addMembers(t *scheduler.Target, size int) {
	t.Members = slices.Sorted(maps.Keys(l.members[groupEpoch{t.Group, t.Epoch}]))
	for _, id := range t.Members {
		t.SpansFabricDomains = t.SpansFabricDomains || l.endpoints[id].FabricDomain != l.endpoints[t.ID].FabricDomain
	}
	t.MemberMissing = len(t.Members) < size || l.hasEvacuatedMember(t)
}
