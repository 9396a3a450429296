package runner

import (
	"context"
	"net/netip"
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

// view turns the replica of the store into what the slices believe: the configuration in
// force, the endpoints, the targets and the other instances.
type view struct {
	h *hosted

	mu        sync.Mutex // guards the fields below
	lister    *endpointlister.Lister
	timer     *time.Timer
	endpoints []endpointlister.Endpoint
	instances map[identifier.Instance]bool // with this one
	holder    identifier.Instance          // that forms groups; empty if it is not known
}

func newView(h *hosted) *view {
	v := &view{h: h, lister: endpointlister.New(endpointlister.Config{}), instances: map[identifier.Instance]bool{}}
	v.timer = time.AfterFunc(time.Hour, func() { v.step(endpointlister.Ticked{}) })
	return v
}

// run waits until ctx ends. It returns nil.
func (v *view) run(ctx context.Context) error {
	<-ctx.Done()
	v.timer.Stop()
	return nil
}

// changed takes changes of the store.
func (v *view) changed(changes []storeclient.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := false
	for _, c := range changes {
		switch {
		case platform.IsConfigurationKey(c.Key):
			v.configure(c)
		case c.Key == formingKey:
			v.formingHeld(c)
		case strings.HasPrefix(c.Key, instancePrefix):
			v.instance(c)
		default:
			listed = v.endpoint(c) || listed
		}
	}
	if listed {
		v.publish()
	}
}

// configure puts the operator's configuration in force.
func (v *view) configure(c storeclient.Change) {
	if c.Deleted {
		v.h.logger.Warn().Msg("configuration is gone from the store, the one in force stays")
		return
	}
	configuration, err := platform.DecodeConfiguration(c.Value)
	if err != nil {
		v.h.logger.Error().Err(err).Uint64("revision", c.Revision).Msg("configuration can't be read, the one in force stays")
		return
	}
	if !v.h.resolver.Set(configuration) {
		return
	}
	v.h.logger.Info().Uint64("version", uint64(configuration.Version)).Uint64("revision", c.Revision).
		Int("routes", len(configuration.Routes)).Int("accounts", len(configuration.Accounts)).Msg("configuration in force")
	v.h.forming.setServices(configuration.Services)
	v.publish()
}

// formingHeld takes who forms groups. A key that is gone is asked for at once.
func (v *view) formingHeld(c storeclient.Change) {
	v.holder = ""
	if c.Deleted {
		go v.h.formLease.Freed()
		return
	}
	name, _, _ := strings.Cut(string(c.Value), "/")
	v.holder = identifier.Instance(name)
	v.h.logger.Info().Str("holder", name).Uint64("revision", c.Revision).Msg("groups are formed by")
}

// formingHolder returns the instance that forms groups, or "" if it is not known.
func (v *view) formingHolder() identifier.Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holder
}

// instance takes the key of another instance, or of this one.
func (v *view) instance(c storeclient.Change) {
	name := identifier.Instance(strings.TrimPrefix(c.Key, instancePrefix))
	if c.Deleted {
		delete(v.instances, name)
		v.h.peers.Remove(name)
	} else {
		v.instances[name] = true
		v.addPeer(name, string(c.Value))
	}
	v.h.forwarder.SetInstanceCount(max(len(v.instances), 1))
	v.h.logger.Info().Str("peer", string(name)).Bool("gone", c.Deleted).Int("instances", len(v.instances)).Msg("instances changed")
}

// addPeer reads "<run> <address> <failure domain> <lease>".
func (v *view) addPeer(name identifier.Instance, value string) {
	words := strings.Fields(value)
	if name == v.h.settings.Instance || len(words) < 3 {
		return
	}
	address, err := netip.ParseAddrPort(words[1])
	if err != nil {
		v.h.logger.Warn().Err(err).Str("peer", string(name)).Msg("peer names no address")
		return
	}
	v.h.peers.Set(messenger.Peer{Instance: name, FailureDomain: identifier.FailureDomain(words[2]), Address: address})
}

// endpoint takes an endpoint's entry and reports whether the list changed.
func (v *view) endpoint(c storeclient.Change) bool {
	id, ok := platform.ParseEndpointKey(c.Key)
	if !ok {
		return false
	}
	if c.Deleted {
		return v.apply(endpointlister.EntryRemoved{ID: id})
	}
	e, err := platform.DecodeEndpoint(c.Key, c.Value)
	if err != nil {
		v.h.logger.Warn().Err(err).Uint64("revision", c.Revision).Msg("entry names no endpoint")
		return v.apply(endpointlister.EntryRemoved{ID: id})
	}
	return v.apply(endpointlister.EntryWritten{Endpoint: e})
}

// health takes whether the store answers.
func (v *view) health(health replicator.Health) {
	v.h.forming.storeSet(health.Lost)
	if health.Lost {
		v.step(endpointlister.StoreLost{})
		return
	}
	v.step(endpointlister.StoreRegained{})
}

func (v *view) step(e endpointlister.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.apply(e) {
		v.publish()
	}
}

// apply steps the lister and reports whether the list changed.
func (v *view) apply(e endpointlister.Event) bool {
	changed := false
	for _, a := range v.lister.Step(time.Now(), e) {
		switch a := a.(type) {
		case endpointlister.List:
			v.endpoints, changed = a.Endpoints, true
		case endpointlister.EndpointDelisted:
			v.h.logger.Info().Str("endpoint", string(a.ID)).Dur("age", time.Since(a.RemovedAt)).Msg("endpoint gone")
		case endpointlister.WakeAt:
			v.timer.Reset(time.Until(a.At))
		}
	}
	return changed
}

// publish tells the slices of the endpoints.
func (v *view) publish() {
	v.h.forwarder.SetTargets(targets(v.endpoints, v.h.resolver))
	v.h.forming.setEndpoints(v.endpoints)
}

// targets returns what requests can be placed at: the endpoints of plain services and the
// heads of open replica groups, unless they are draining. A member that drains stays while
// its head has work.
func targets(endpoints []endpointlister.Endpoint, services *resolver.Resolver) []scheduler.Target {
	type forming struct {
		group identifier.Group
		epoch identifier.Epoch
	}
	members := map[forming][]endpointlister.Endpoint{}
	for _, e := range endpoints {
		if m := e.Membership; m.Group != "" {
			members[forming{m.Group, m.Epoch}] = append(members[forming{m.Group, m.Epoch}], e)
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
		model, _ := service.Engine.Model(e.Models[0]) // one that is not known needs no size
		addMembers(&t, members[forming{t.Group, t.Epoch}], model.GroupSize)
		out = append(out, t)
	}
	return out
}

// addMembers adds the group's members to t.
func addMembers(t *scheduler.Target, members []endpointlister.Endpoint, size int) {
	for _, m := range members {
		t.Members = append(t.Members, m.ID)
		t.SpansFabricDomains = t.SpansFabricDomains || m.FabricDomain != members[0].FabricDomain
	}
	t.MemberMissing = len(t.Members) < size
}
