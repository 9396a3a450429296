package runner

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/replicator"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"
)

// view derives the state that the components use from changes of the store's replica: the
// configuration in force, the endpoints, the targets and the other instances.
type view struct {
	hosted *hosted

	mu        sync.Mutex // guards the fields below
	lister    *endpointlister.Lister
	timer     *time.Timer // submits Ticked at the time that the lister requested
	endpoints []endpointlister.Endpoint
	instances map[identifier.Instance]bool // including this one
	holder    identifier.Instance          // of the group-forming lease; empty if it is not known
}

func newView(h *hosted) *view {
	v := &view{hosted: h, lister: endpointlister.New(endpointlister.Config{}), instances: map[identifier.Instance]bool{}}
	v.timer = time.AfterFunc(time.Hour, func() { v.stepAndPublish(endpointlister.Ticked{}) })
	return v
}

// run waits until ctx is done and then stops the timer. It returns nil.
func (v *view) run(ctx context.Context) error {
	<-ctx.Done()
	v.timer.Stop()
	return nil
}

// applyChanges applies changes of the store, in their order. If the list of endpoints changed,
// it is published once, after the last change.
func (v *view) applyChanges(changes []storeclient.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listChanged := false
	for _, c := range changes {
		switch {
		case platform.IsConfigurationKey(c.Key):
			v.applyConfiguration(c)
		case c.Key == formingKey:
			v.setFormingHolder(c)
		case strings.HasPrefix(c.Key, instancePrefix):
			v.updateInstance(c)
		case strings.HasPrefix(c.Key, lossPrefix):
			v.hosted.quarantine.applyChange(c)
		default:
			listChanged = v.updateEndpoint(c) || listChanged
		}
	}
	if listChanged {
		v.publish()
	}
}

// applyConfiguration puts the operator's configuration in force. If the entry was deleted or
// can't be decoded, the configuration in force stays. v.mu is held.
func (v *view) applyConfiguration(c storeclient.Change) {
	if c.Deleted {
		v.hosted.logger.Warn().Msg("configuration was deleted from the store, the one in force stays")
		return
	}
	configuration, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		v.hosted.logger.Error().Err(err).Uint64("revision", c.Revision).Msg("configuration can't be decoded, the one in force stays")
		return
	}
	if !v.hosted.resolver.Set(configuration) {
		return
	}
	v.hosted.logger.Info().Uint64("version", uint64(configuration.Version)).Uint64("revision", c.Revision).
		Int("routes", len(configuration.Routes)).Int("accounts", len(configuration.Accounts)).Msg("configuration in force")
	v.hosted.groupFormer.setServices(configuration.Services)
	v.publish()
}

// setFormingHolder records the instance that forms groups. If the key was deleted, this instance
// tries at once to acquire the lease. v.mu is held.
func (v *view) setFormingHolder(c storeclient.Change) {
	v.holder = ""
	if c.Deleted {
		go v.hosted.formingLease.Freed()
		return
	}
	name, _, _ := strings.Cut(string(c.Value), "/")
	v.holder = identifier.Instance(name)
	v.hosted.logger.Info().Str("holder", name).Uint64("revision", c.Revision).Msg("groups are formed by")
}

// formingHolder returns the instance that forms groups, or "" if it is not known.
func (v *view) formingHolder() identifier.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder
}

// isLive reports whether the list shows a process and does not show it as draining.
func (v *view) isLive(p identifier.Process) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.ContainsFunc(v.endpoints, func(e endpointlister.Endpoint) bool {
		return e.ID == p.Endpoint && e.ProcessStart == p.Start && !e.Draining
	})
}

// updateInstance applies a change of the key of this or another instance. v.mu is held.
func (v *view) updateInstance(c storeclient.Change) {
	name := identifier.Instance(strings.TrimPrefix(c.Key, instancePrefix))
	if c.Deleted {
		delete(v.instances, name)
		v.hosted.peers.Remove(name)
	} else {
		v.instances[name] = true
		v.addPeer(name, string(c.Value))
	}
	v.hosted.forwarder.SetInstanceCount(max(len(v.instances), 1))
	v.hosted.logger.Info().Str("peer", string(name)).Bool("gone", c.Deleted).Int("instances", len(v.instances)).Msg("instances changed")
}

// addPeer adds a peer from the value of its key, "<process> <address> <failure domain> <lease>".
func (v *view) addPeer(name identifier.Instance, value string) {
	words := strings.Fields(value)
	if name == v.hosted.settings.Instance || len(words) < 3 {
		return
	}
	address, err := netip.ParseAddrPort(words[1])
	if err != nil {
		v.hosted.logger.Warn().Err(err).Str("peer", string(name)).Msg("entry of a peer has no valid address, the peer is ignored")
		return
	}
	v.hosted.peers.Set(messenger.Peer{Instance: name, FailureDomain: identifier.FailureDomain(words[2]), Address: address})
}

// updateEndpoint applies a change of an endpoint's entry and reports whether the list of
// endpoints changed. An entry that can't be decoded counts as removed. v.mu is held.
func (v *view) updateEndpoint(c storeclient.Change) bool {
	id, ok := platform.ParseEndpointKey(c.Key)
	if !ok {
		return false
	}
	if c.Deleted {
		return v.stepLister(endpointlister.EntryRemoved{ID: id})
	}
	e, err := platform.DecodeEndpoint(c.Key, c.Value)
	if err != nil {
		v.hosted.logger.Warn().Err(err).Uint64("revision", c.Revision).Msg("entry of an endpoint can't be decoded, the endpoint counts as removed")
		return v.stepLister(endpointlister.EntryRemoved{ID: id})
	}
	return v.stepLister(endpointlister.EntryWritten{Endpoint: e})
}

// setStoreHealth passes on whether the store answers.
func (v *view) setStoreHealth(health replicator.Health) {
	v.hosted.groupFormer.setStoreLost(health.Lost)
	v.hosted.quarantine.setStoreLost(health.Lost)
	if health.Lost {
		v.stepAndPublish(endpointlister.StoreLost{})
		return
	}
	v.stepAndPublish(endpointlister.StoreRegained{})
}

func (v *view) stepAndPublish(e endpointlister.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stepLister(e) {
		v.publish()
	}
}

// stepLister steps the lister, executes its actions and reports whether the list of endpoints
// changed. v.mu is held.
func (v *view) stepLister(e endpointlister.Event) bool {
	changed := false
	for _, a := range v.lister.Step(time.Now(), e) {
		switch a := a.(type) {
		case endpointlister.List:
			v.endpoints, changed = a.Endpoints, true
		case endpointlister.EndpointDelisted:
			v.hosted.logger.Info().Str("endpoint", string(a.ID)).Dur("age", time.Since(a.RemovedAt)).Msg("endpoint gone")
		case endpointlister.WakeAt:
			v.timer.Reset(time.Until(a.At))
		}
	}
	return changed
}

// publish passes the endpoints on to the forwarder and the group former. v.mu is held.
func (v *view) publish() {
	v.hosted.quarantine.setEndpoints(v.endpoints) // before the forwarder places requests at new targets
	v.hosted.forwarder.SetTargets(newTargets(v.endpoints, v.hosted.resolver))
	v.hosted.groupFormer.setEndpoints(v.endpoints)
}

// newTargets returns the targets of requests: the endpoints of plain services and the heads of
// open replica groups, except draining ones. A draining member other than the head still
// belongs to its group, because the member serves as long as the head has work.
func newTargets(endpoints []endpointlister.Endpoint, services *resolver.Resolver) []scheduler.Target {
	type groupEpoch struct {
		group identifier.Group
		epoch identifier.Epoch
	}
	members := map[groupEpoch][]endpointlister.Endpoint{}
	for _, e := range endpoints {
		if m := e.Membership; m.Group != "" {
			members[groupEpoch{m.Group, m.Epoch}] = append(members[groupEpoch{m.Group, m.Epoch}], e)
		}
	}
	var out []scheduler.Target
	for _, e := range endpoints {
		service := services.Service(e.Service)
		if service == nil || e.Draining {
			continue
		}
		t := scheduler.Target{
			ID: e.ID, Pool: forwarder.PoolOf(e.Service, ""), Address: e.Address, FailureDomain: e.FailureDomain, ProcessStart: e.ProcessStart, Slots: e.Slots,
		}
		if service.Engine == nil || len(service.Engine.Models) == 0 {
			out = append(out, t)
			continue
		}
		if e.Membership.State != endpointlister.MemberOpen || len(e.Models) == 0 {
			continue
		}
		t.Pool, t.Group, t.Epoch = forwarder.PoolOf(e.Service, e.Models[0]), e.Membership.Group, e.Membership.Epoch
		model, _ := service.Engine.Model(e.Models[0]) // an unknown model has size zero, so that no member counts as missing
		addMembers(&t, members[groupEpoch{t.Group, t.Epoch}], model.GroupSize)
		out = append(out, t)
	}
	return out
}

// addMembers adds the members of a group of the given full size to t and sets the fields that
// depend on them.
func addMembers(t *scheduler.Target, members []endpointlister.Endpoint, size int) {
	for _, m := range members {
		t.Members = append(t.Members, m.ID)
		t.SpansFabricDomains = t.SpansFabricDomains || m.FabricDomain != members[0].FabricDomain
	}
	t.MemberMissing = len(t.Members) < size
}
