package prober

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/ranker"
	"amaranthmill/storeclient"
)

// The probe interval and the time that a status report stays fresh grow with the number of instances
// of the failure domain, because links between more instances delay load reports longer.
// Config.Interval and Config.FreshFor apply up to smallDomain instances. From largeDomain instances
// on they are largeDomainFactor times as long, with linear interpolation in between.
const (
	smallDomain       = 5
	largeDomain       = 11
	largeDomainFactor = 3
)

// probersPerEndpoint is how many instances of a failure domain probe each endpoint.
const probersPerEndpoint = 2

// Core decides which endpoints to probe and which targets are ready. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	peers       []identifier.Instance
	endpoints   map[identifier.Endpoint]*endpoint
	records     []grouper.Record
	published   map[string]targetState
	reports     []grouper.Report
	nextShareAt time.Time
	sortedCache []*endpoint // all endpoints sorted by name; nil after an endpoint was added
	urgent      bool        // a change must be published before the next tick
}

// NewCore returns a Core for cfg. It does not use the functions and clients of cfg.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{cfg: cfg, peers: []identifier.Instance{cfg.Instance}, endpoints: map[identifier.Endpoint]*endpoint{}}
}

// Step applies e at time now and returns the resulting actions.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Listed:
		c.applyListings(e.Listings)
	case RecordsSet:
		c.records = e.Records
	case PeersSet:
		c.peers = e.Instances
	case Probed:
		c.handleProbed(now, e)
		return c.publishIfUrgent(now)
	case ProbeFailed:
		c.handleProbeFailed(e)
		return c.publishIfUrgent(now)
	case DigestReceived:
		c.applyDigest(now, e)
		return c.publishIfUrgent(now)
	case Tick:
		c.updateStragglers()
		return slices.Concat(c.startProbes(now), c.publishChanges(now), c.shareDigest(now))
	}
	return c.publishChanges(now)
}

// publishIfUrgent publishes if the status of an endpoint changed in more than its load, its leaving
// changed, or its process exited. Changes of load and freshness wait for the next tick.
func (c *Core) publishIfUrgent(now time.Time) []Action {
	if !c.urgent {
		return nil
	}
	c.urgent = false
	return c.publishChanges(now)
}

// applyListings takes over the listings of endpoints of the local failure domain. An endpoint that is
// no longer listed is kept as unlisted, so that its leaving is not forgotten if the list lags.
func (c *Core) applyListings(listings []storeclient.Listing) {
	found := map[identifier.Endpoint]bool{}
	for _, l := range listings {
		if l.FailureDomain != c.cfg.FailureDomain || l.Kind == storeclient.KindEntry {
			continue
		}
		name := identifier.Endpoint(l.Name)
		found[name] = true
		c.ensureEndpoint(name).applyListing(l)
	}
	for name, ep := range c.endpoints {
		if !found[name] {
			ep.listed = false
		}
	}
}

// ensureEndpoint returns the endpoint with this name and creates it if it is new.
func (c *Core) ensureEndpoint(name identifier.Endpoint) *endpoint {
	ep := c.endpoints[name]
	if ep == nil {
		ep = &endpoint{name: name, leaving: map[identifier.ProcessStart]bool{}}
		c.endpoints[name] = ep
		c.sortedCache = nil
	}
	return ep
}

func (c *Core) handleProbed(now time.Time, e Probed) {
	ep := c.ensureEndpoint(e.Endpoint)
	ep.probePending = false
	ep.latency = now.Sub(e.SentAt)
	ep.straggler.addSample(ep.latency)
	ep.shared.probedSince = true
	c.recordStatus(ep, e.Status, e.SentAt)
}

// recordStatus records a status of ep that is at least as recent as at, and notes whether the change
// is urgent.
func (c *Core) recordStatus(ep *endpoint, s Status, at time.Time) {
	before, wasLeaving := ep.status, ep.isLeaving()
	ep.recordStatus(s, at)
	c.urgent = c.urgent || !before.equalExceptLoad(ep.status) || wasLeaving != ep.isLeaving()
}

func (c *Core) handleProbeFailed(e ProbeFailed) {
	ep := c.ensureEndpoint(e.Endpoint)
	ep.probePending = false
	if e.Refused && e.SentAt.After(ep.statusAt) {
		ep.refusedAt = e.SentAt
		c.urgent = true
	}
}

// startProbes returns the probes that are due. An endpoint that other instances are chosen to probe is
// probed here as well if its last status is older than three quarters of the freshness time.
func (c *Core) startProbes(now time.Time) []Action {
	var out []Action
	for _, ep := range c.sortedEndpoints() {
		chosen := ranker.IsTopRanked(ep.name, c.peers, c.cfg.Instance, probersPerEndpoint)
		overdue := now.Sub(ep.statusAt) > c.freshFor()*3/4
		if !ep.listed || ep.probePending || now.Before(ep.nextProbeAt) || !chosen && !overdue {
			continue
		}
		ep.probePending = true
		ep.nextProbeAt = now.Add(c.scaleByPeers(c.cfg.Interval))
		out = append(out, Probe{Endpoint: ep.name, Address: ep.Address})
	}
	return out
}

// freshFor returns how long a status report stays fresh with the present number of instances.
func (c *Core) freshFor() time.Duration { return c.scaleByPeers(c.cfg.FreshFor) }

// scaleByPeers scales d by the present number of instances, from d up to largeDomainFactor times d.
func (c *Core) scaleByPeers(d time.Duration) time.Duration {
	const steps = largeDomain - smallDomain
	excess := min(max(len(c.peers)-smallDomain, 0), steps)
	return d + d*(largeDomainFactor-1)*time.Duration(excess)/steps
}

// sortedEndpoints returns the endpoints sorted by name. The caller must not change the slice.
func (c *Core) sortedEndpoints() []*endpoint {
	if c.sortedCache == nil {
		c.sortedCache = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	}
	return c.sortedCache
}
