package prober

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/ranker"
	"amaranthmill/keeper"
)

// Probes and the freshness that counts slow down with the instances of a failure domain,
// since their links hold reports of load back longer: Config.Interval and Config.FreshFor hold
// up to smallDomain instances, and largeDomainFactor times as long from largeDomain instances on.
const (
	smallDomain       = 5
	largeDomain       = 11
	largeDomainFactor = 3
)

// probersEach is how many instances of a failure domain probe an endpoint.
const probersEach = 2

// Core decides whom to probe and which targets take requests. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	peers     []identifier.Instance
	endpoints map[identifier.Endpoint]*endpoint
	records   []grouper.Record
	published map[string]targetKey
	reports   []grouper.Report
	nextShare time.Time
	byName    []*endpoint // all endpoints by name; nil if one was added since
	urgent    bool        // something changed that must not wait for the next tick
}

// NewCore returns a Core for cfg; its functions and clients are not used.
func NewCore(cfg Config) *Core {
	cfg = cfg.withDefaults()
	return &Core{cfg: cfg, peers: []identifier.Instance{cfg.Instance}, endpoints: map[identifier.Endpoint]*endpoint{}}
}

// Step applies e at now and returns what it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Listed:
		c.list(e.Listings)
	case RecordsSet:
		c.records = e.Records
	case PeersSet:
		c.peers = e.Instances
	case Probed:
		c.probed(now, e)
		return c.publishUrgent(now)
	case ProbeFailed:
		c.probeFailed(e)
		return c.publishUrgent(now)
	case DigestReceived:
		c.digest(now, e)
		return c.publishUrgent(now)
	case Tick:
		c.judge()
		return slices.Concat(c.probes(now), c.publish(now), c.share(now))
	}
	return c.publish(now)
}

// publishUrgent publishes if an endpoint's role or leaving changed, or its process is gone. Load
// and freshness wait for the next tick.
func (c *Core) publishUrgent(now time.Time) []Action {
	if !c.urgent {
		return nil
	}
	c.urgent = false
	return c.publish(now)
}

// list takes over the endpoints of the own failure domain. One that went from the list is
// kept unlisted, so that its leaving is not forgotten if the list lags.
func (c *Core) list(listings []keeper.Listing) {
	found := map[identifier.Endpoint]bool{}
	for _, l := range listings {
		if l.FailureDomain != c.cfg.FailureDomain || l.Kind == keeper.KindEntry {
			continue
		}
		name := identifier.Endpoint(l.Name)
		found[name] = true
		c.endpoint(name).list(l)
	}
	for name, ep := range c.endpoints {
		if !found[name] {
			ep.listed = false
		}
	}
}

// endpoint returns the endpoint of that name, made if it is new.
func (c *Core) endpoint(name identifier.Endpoint) *endpoint {
	ep := c.endpoints[name]
	if ep == nil {
		ep = &endpoint{name: name, leaving: map[identifier.ProcessStart]bool{}}
		c.endpoints[name] = ep
		c.byName = nil
	}
	return ep
}

func (c *Core) probed(now time.Time, e Probed) {
	ep := c.endpoint(e.Endpoint)
	ep.probing = false
	ep.latency = now.Sub(e.SentAt)
	ep.slow.observe(ep.latency)
	ep.sharing.due = true
	c.see(ep, e.Status, e.SentAt)
}

// see takes over an account of ep and notes whether it is urgent.
func (c *Core) see(ep *endpoint, s Status, at time.Time) {
	before, left := ep.status, ep.isLeaving()
	ep.see(s, at)
	c.urgent = c.urgent || !before.sameRole(ep.status) || left != ep.isLeaving()
}

func (c *Core) probeFailed(e ProbeFailed) {
	ep := c.endpoint(e.Endpoint)
	ep.probing = false
	if e.Refused && e.SentAt.After(ep.seenAt) {
		ep.refused = e.SentAt
		c.urgent = true
	}
}

// probes returns the probes that are due. An endpoint that other instances probe is probed
// here too once their accounts are late.
func (c *Core) probes(now time.Time) []Action {
	var out []Action
	for _, ep := range c.sorted() {
		mine := ranker.Chosen(ep.name, c.peers, c.cfg.Instance, probersEach)
		late := now.Sub(ep.seenAt) > c.freshFor()*3/4
		if !ep.listed || ep.probing || now.Before(ep.nextProbe) || !mine && !late {
			continue
		}
		ep.probing = true
		ep.nextProbe = now.Add(c.slowed(c.cfg.Interval))
		out = append(out, Probe{Endpoint: ep.name, Address: ep.Address})
	}
	return out
}

// freshFor returns how long an endpoint's own account counts among the present instances.
func (c *Core) freshFor() time.Duration { return c.slowed(c.cfg.FreshFor) }

// slowed returns d as it is among the present instances.
func (c *Core) slowed(d time.Duration) time.Duration {
	const steps = largeDomain - smallDomain
	above := min(max(len(c.peers)-smallDomain, 0), steps)
	return d + d*(largeDomainFactor-1)*time.Duration(above)/steps
}

// sorted returns the endpoints by name. The caller must not change the slice.
func (c *Core) sorted() []*endpoint {
	if c.byName == nil {
		c.byName = slices.SortedFunc(maps.Values(c.endpoints), func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	}
	return c.byName
}
