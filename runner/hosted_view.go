package runner

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/evacuator"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/replicator"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"
	"amaranthmill/targetlister"
)

// view derives the state that the components use from changes of the store's replica: the
// configuration in force, the endpoints, the targets and the other instances.
type view struct {
	hosted *hosted

	mu             sync.Mutex // guards the fields below
	lister         *endpointlister.Lister
	timer          *time.Timer                   // submits Ticked at the time that the lister requested
	changes        endpointlister.Collector      // changes of the list that are not published
	held           []endpointlister.EndpointHeld // endpoints without an entry that stay listed and are not logged
	endpoints      map[identifier.Endpoint]endpointlister.Endpoint
	targets        *targetlister.Lister
	instances      map[identifier.Instance]identifier.FailureDomain // including this one; the failure domain is empty if it is not known
	ownKey         string                                           // value of this instance's own key; empty if it is not listed
	holder         identifier.Instance                              // of the group-forming lease; empty if it is not known
	evacuator      *evacuator.Evacuator
	evacuated      []identifier.FailureDomain // as the components know it, sorted
	pace           configurationPace
	configurations configurationMeters
	decoder        platform.ConfigurationDecoder
}

func newView(h *hosted) *view {
	v := &view{hosted: h, lister: endpointlister.New(endpointlister.Config{}), endpoints: map[identifier.Endpoint]endpointlister.Endpoint{}, targets: targetlister.New(), instances: map[identifier.Instance]identifier.FailureDomain{}, evacuator: evacuator.New()}
	v.registerEvacuationGauge(h.meter)
	v.configurations = newConfigurationMeters(h.meter, h.resolver)
	v.timer = time.AfterFunc(time.Hour, func() { v.stepAndPublish(endpointlister.Ticked{}) })
	return v
}

// run waits until ctx is done and then stops the timer. It returns nil.
func (v *view) run(ctx context.Context) error {
	<-ctx.Done()
	v.timer.Stop()
	v.stopPace()
	return nil
}

// applyChanges applies changes of the store, in their order. The changes of the list of endpoints
// are published together after the last one. from is where the replica has them from. Evacuations begin before it is published and end after it.
func (v *view) applyChanges(changes []storeclient.Change, from replicator.Origin) {
	v.mu.Lock()
	defer v.mu.Unlock()
	evacuations := v.beginEvacuations(changes)
	for _, c := range changes {
		switch {
		case platform.IsConfigurationKey(c.Key):
			v.paceConfiguration(configurationChange{Change: c, origin: from})
		case c.Key == formingKey:
			v.setFormingHolder(c)
		case strings.HasPrefix(c.Key, instancePrefix):
			v.updateInstance(c)
		case strings.HasPrefix(c.Key, lossPrefix):
			v.hosted.quarantine.applyChange(c)
		case isEvacuationKey(c.Key): // applied by beginEvacuations and endEvacuations
		default:
			v.updateEndpoint(c)
		}
	}
	v.publish()
	v.endEvacuations(evacuations)
}

// handleRestored handles the end of an evacuation, at which the failure domain is still evacuated for the components. What
// must hold before requests are sent there again is done here: the endpoints of services with a cold limit count as cold
// from now on. v.mu is held.
func (v *view) handleRestored(a evacuator.Restored) {
	v.hosted.logger.Info().Str("failureDomain", string(a.Domain)).Dur("lasted", a.Lasted).Msg("failure domain restored")
	v.hosted.forwarder.ChangeTargets(v.targets.SetRestored(a.Domain, time.Now()))
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

// countInstances returns the number of instances that the store lists.
func (v *view) countInstances() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.instances)
}

// isLive reports whether the list shows a process and does not show it as draining.
func (v *view) isLive(p identifier.Process) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.endpoints[p.Endpoint]
	return ok && e.ProcessStart == p.Start && !e.Draining
}

// updateInstance applies a change of the key of this or another instance. v.mu is held.
func (v *view) updateInstance(c storeclient.Change) {
	name := identifier.Instance(strings.TrimPrefix(c.Key, instancePrefix))
	if name == v.hosted.settings.Instance {
		v.changeOwnKey(c)
	}
	if c.Deleted {
		delete(v.instances, name)
		v.hosted.peers.Remove(name)
	} else {
		v.instances[name] = v.addPeer(name, string(c.Value))
	}
	v.hosted.forwarder.SetInstances(v.listInstances())
	v.hosted.store.SetTrialDelayMax(min(time.Duration(len(v.instances))*circuitSpacing, circuitWaitMax))
	v.hosted.formingLease.SetCheckInterval(max(formingCheckInterval, time.Duration(len(v.instances))*formingCheckSpacing))
	v.hosted.logger.Info().Str("peer", string(name)).Bool("gone", c.Deleted).Int("instances", len(v.instances)).Msg("instances changed")
}

// listInstances returns the instances, sorted by name. v.mu is held.
func (v *view) listInstances() []scheduler.Instance {
	var out []scheduler.Instance
	for _, name := range slices.Sorted(maps.Keys(v.instances)) {
		out = append(out, scheduler.Instance{Name: name, FailureDomain: v.instances[name]})
	}
	return out
}

// addPeer adds a peer, unless it is this instance, from the value of its key, "<process> <address>
// <failure domain> [link=<Mbit/s>] <lease>". It returns the failure domain, which is empty if the value has none.
func (v *view) addPeer(name identifier.Instance, value string) identifier.FailureDomain {
	words := strings.Fields(value)
	if len(words) < 3 {
		return ""
	}
	domain := identifier.FailureDomain(words[2])
	if name == v.hosted.settings.Instance {
		return domain
	}
	address, err := netip.ParseAddrPort(words[1])
	if err != nil {
		v.hosted.logger.Warn().Err(err).Str("peer", string(name)).Msg("entry of a peer has no valid address, the peer is ignored")
		return domain
	}
	v.hosted.peers.Set(messenger.Peer{Instance: name, FailureDomain: domain, Address: address, LinkMbps: parseLink(words[3:])})
	return domain
}

// updateEndpoint applies a change of an endpoint's entry. An entry that can't be decoded counts as
// removed. v.mu is held.
func (v *view) updateEndpoint(c storeclient.Change) {
	id, ok := platform.ParseEndpointKey(c.Key)
	if !ok {
		return
	}
	if c.Deleted {
		v.stepLister(endpointlister.EntryRemoved{ID: id})
		return
	}
	e, err := platform.DecodeEndpoint(c.Key, c.Value, c.Revision)
	if err != nil {
		v.hosted.logger.Warn().Err(err).Uint64("revision", c.Revision).Msg("entry of an endpoint can't be decoded, the endpoint counts as removed")
		v.stepLister(endpointlister.EntryRemoved{ID: id})
		return
	}
	v.stepLister(e)
}

// setStoreHealth passes on whether the store answers.
func (v *view) setStoreHealth(health replicator.Health) {
	v.hosted.storeMeters.countHealth(time.Now(), health)
	v.hosted.groupFormer.setStoreLost(health.Lost)
	v.hosted.quarantine.setStoreLost(health.Lost)
	if health.Lost {
		v.stepAndPublish(endpointlister.StoreLost{AnsweredAt: health.Since})
		return
	}
	v.stepAndPublish(endpointlister.StoreRegained{})
}

// handleRestore passes on that the store was restored from an older copy.
func (v *view) handleRestore(r replicator.Restored) {
	v.stepAndPublish(endpointlister.StoreRestored{Revision: r.Revision})
}

// recordContact passes on that the store answers a peer.
func (v *view) recordContact(c replicator.Contact) {
	v.stepAndPublish(endpointlister.StoreSeen(c))
}

func (v *view) stepAndPublish(e endpointlister.Event) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stepLister(e)
	v.publish()
}

// stepLister steps the lister, executes its actions and collects the changes of the list. v.mu is
// held.
func (v *view) stepLister(e endpointlister.Event) {
	for _, a := range v.lister.Step(time.Now(), e) {
		v.changes.Add(a)
		switch a := a.(type) {
		case endpointlister.EndpointListed:
			v.endpoints[a.Endpoint.ID] = a.Endpoint
		case endpointlister.EndpointDelisted:
			delete(v.endpoints, a.ID)
			v.hosted.logger.Info().Str("endpoint", string(a.ID)).Dur("age", time.Since(a.RemovedAt)).Stringer("heldBy", a.HeldBy).Msg("endpoint gone")
		case endpointlister.EndpointHeld:
			v.held = append(v.held, a)
		case endpointlister.WakeAt:
			v.timer.Reset(time.Until(a.At))
		}
	}
}

// maxLoggedIDs bounds the endpoints that one log line names.
const maxLoggedIDs = 8

// logHeld logs the endpoints that stay listed although their entries are missing. v.mu is held.
func (v *view) logHeld() {
	if len(v.held) == 0 {
		return
	}
	var ids []string
	for _, h := range v.held[:min(len(v.held), maxLoggedIDs)] {
		ids = append(ids, string(h.ID))
	}
	first := v.held[0]
	line := v.hosted.logger.Info().Int("count", len(v.held)).Strs("endpoints", ids).Bool("storeLost", first.HeldBy == endpointlister.HoldStoreLost).Stringer("heldBy", first.HeldBy)
	if !first.Until.IsZero() {
		line = line.Dur("for", time.Until(first.Until))
	}
	line.Msg("entries of endpoints are missing, the endpoints stay listed for now")
	v.held = nil
}

// publish passes the collected changes of the list on to the components. v.mu is held.
func (v *view) publish() {
	v.logHeld()
	changes, ok := v.changes.Take()
	if !ok {
		return
	}
	v.hosted.leaving.applyList(time.Now(), changes)
	v.hosted.quarantine.changeEndpoints(changes) // before the forwarder places requests at new targets
	if targets := v.targets.Apply(changes); len(targets.Changed)+len(targets.Removed) > 0 {
		v.hosted.forwarder.ChangeTargets(targets)
	}
	v.hosted.groupFormer.changeEndpoints(changes)
}
