package runner

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/forwarder"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/leaser"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"

	"github.com/rs/zerolog"
)

// Times of forming groups. reportTimeout and orderTimeout bound one exchange with an engine.
const (
	formingTickInterval = 100 * time.Millisecond
	reportTimeout       = 220 * time.Millisecond // engines answer within milliseconds, even at full load
	orderTimeout        = 450 * time.Millisecond
)

// Exchanges with engines at once. With hundreds at once, an instance of half a core does not get to
// read the answers within the timeouts, and takes engines that answer for silent ones.
const (
	maxOrders  = 32
	maxQueries = 32
)

// groupFormer drives a groupformer.Former: it sends the orders of the core to engines and
// queries the engines for their reports.
type groupFormer struct {
	hosted    *hosted
	engines   platform.Engines
	step      *stepper.Stepper[groupformer.Event, groupformer.Action]
	ctx       context.Context
	addresses addresses
	meters    *groupFormerMeters
	tick      *time.Timer   // submits the ticks that the core requests
	orders    chan struct{} // has an element for each order that is being sent
	queries   chan struct{} // has an element for each engine that is being queried

	hold atomic.Pointer[leaser.Hold] // until when this instance may form groups, by the monotonic clock; nil before the first
}

func newGroupFormer(h *hosted) *groupFormer {
	f := &groupFormer{hosted: h, engines: platform.Engines{Requester: h.requester, Logger: h.logger}, ctx: context.Background(), meters: newGroupFormerMeters(h.meter), orders: make(chan struct{}, maxOrders), queries: make(chan struct{}, maxQueries)}
	core := groupformer.New(groupformer.Config{FirstStart: h.settings.FirstStart, DrainTime: h.settings.Bounds.DrainTime.Std()})
	f.step = stepper.New(stepper.Config[groupformer.Event, groupformer.Action]{Core: core, Handle: f.handle})
	f.tick = time.AfterFunc(time.Hour, func() { f.step.Submit(groupformer.Ticked{}) })
	return f
}

// run submits ticks and the first request to the core until ctx is done. It returns nil.
func (f *groupFormer) run(ctx context.Context) error {
	requested := false
	return runEvery(ctx, formingTickInterval, func(context.Context) {
		if !requested && f.hosted.forwarder.Requests() > 0 {
			requested = true
			f.step.Submit(groupformer.FirstRequestReceived{})
		}
		f.step.Submit(groupformer.Ticked{})
	})
}

func (f *groupFormer) setServices(s []resolver.Service) {
	f.step.Submit(groupformer.ServicesSet{Services: s})
}

// changeEndpoints submits changes of the list of endpoints.
func (f *groupFormer) changeEndpoints(c endpointlister.Changes) {
	f.addresses.set(c.Changed)
	f.step.Submit(groupformer.EndpointsChanged(c))
}

// submitLatency submits how the requests of a model at this instance met their latency goal.
func (f *groupFormer) submitLatency(p scheduler.LatencyReport) {
	if service, model := forwarder.SplitPool(p.Pool); model != "" {
		f.step.Submit(groupformer.LatencyReported{Service: service, Model: model, Requests: p.Requests, MissedGoal: p.MissedGoal})
	}
}

// setStoreLost submits whether the store is unreachable.
func (f *groupFormer) setStoreLost(lost bool) { f.step.Submit(groupformer.StoreHealthSet{Lost: lost}) }

// setLease submits until when this instance may form groups. While it may, the replica fetches
// changes without delay and directly from the store.
func (f *groupFormer) setLease(h leaser.Hold) {
	f.hosted.logger.Debug().Time("until", h.Until).Uint64("fence", h.Fence).Msg("group-forming lease changed")
	f.hold.Store(&h)
	f.step.Submit(groupformer.LeaseSet{Until: h.Until, Fence: h.Fence})
	f.hosted.replica.SetUrgent(!h.Until.IsZero())
	f.hosted.upstream.setDirect(!h.Until.IsZero())
}

// submitStall submits that the requests of a group's head are stalled.
func (f *groupFormer) submitStall(head identifier.Endpoint) {
	f.step.Submit(groupformer.HeadStalled{Head: head})
}

// submitPeerLeaving submits that a process of an engine has said to a peer that it leaves.
func (f *groupFormer) submitPeerLeaving(p identifier.Process) {
	f.hosted.leaving.add(time.Now(), p, messenger.LeavingByPeer)
	f.submitLeaving(p)
}

// submitLeaving submits that a process of an engine has said that it leaves.
func (f *groupFormer) submitLeaving(p identifier.Process) {
	f.step.Submit(groupformer.LeavingStated{ID: p.Endpoint, ProcessStart: p.Start})
}

// handle executes one action of the core. It must not block, because the stepper holds its lock.
func (f *groupFormer) handle(a groupformer.Action) {
	switch a := a.(type) {
	case groupformer.Order:
		go f.sendOrder(a)
	case groupformer.FetchReport:
		go f.fetchReport(a)
	case groupformer.LogDecision:
		f.logDecision(a)
	case groupformer.ShareChanged:
		f.logShare(a)
	case groupformer.GroupCounts:
		f.recordCounts(a)
	case groupformer.WakeAt:
		f.tick.Reset(time.Until(a.At))
	}
}

// sendOrder sends an order and submits its outcome. The timeout of the exchange begins when its turn
// has come. If the lease has ended by then, the order is not sent, because another instance may form
// groups.
func (f *groupFormer) sendOrder(o groupformer.Order) {
	f.orders <- struct{}{}
	defer func() { <-f.orders }()
	if h := f.hold.Load(); h == nil || !time.Now().Before(h.Until) {
		addOperation(f.hosted.logger.Warn(), o.Operation).Str("endpoint", string(o.ID)).Msg("lease ended while an order waited for its turn, it is not sent")
		f.step.Submit(groupformer.OrderEnded{ID: o.ID, Number: o.Number, Result: groupformer.ResultRefused})
		return
	}
	ctx, cancel := context.WithTimeout(f.ctx, orderTimeout)
	defer cancel()
	ended := f.engines.Order(ctx, f.addresses.address(o.ID), o)
	f.meters.countOrder(o.Operation, ended.Result)
	e := f.hosted.logger.Info()
	if ended.Result != groupformer.ResultAccepted {
		e = f.hosted.logger.Warn()
	}
	addOperation(e, o.Operation).Str("endpoint", string(o.ID)).Uint64("expected", o.Expected).Stringer("result", ended.Result).Msg("order")
	f.step.Submit(ended)
}

func addOperation(e *zerolog.Event, o groupformer.Operation) *zerolog.Event {
	e = e.Str("order", groupformer.OperationName(o))
	switch o := o.(type) {
	case groupformer.Join:
		return e.Str("group", string(o.Group)).Uint64("epoch", uint64(o.Epoch))
	case groupformer.Open:
		return e.Str("group", string(o.Group)).Uint64("epoch", uint64(o.Epoch))
	case groupformer.Close:
		return e.Str("group", string(o.Group)).Uint64("epoch", uint64(o.Epoch)).Bool("cut", o.Abort)
	case groupformer.Leave:
		return e.Str("group", string(o.Group)).Uint64("epoch", uint64(o.Epoch))
	case groupformer.Stage:
		return e.Str("model", o.Model)
	}
	return e
}

// fetchReport queries an engine for its report and submits the result. If the previous query
// failed, peers query the engine at the same time, because the engine may be unreachable from
// this instance only.
func (f *groupFormer) fetchReport(a groupformer.FetchReport) {
	f.meters.countReportQuery(a.Reason)
	peerReports := make(chan messenger.PeerReports, 1)
	if a.ViaPeers {
		_, domain := f.addresses.lookup(a.ID)
		go func() { peerReports <- f.hosted.messenger.RequestReports(f.ctx, a.ID, domain) }()
	} else {
		peerReports <- messenger.PeerReports{}
	}
	report, err := f.queryEngine(f.ctx, a.ID)
	if err == nil {
		f.submitReport(a, report, "")
		return
	}
	fromPeers := <-peerReports
	if fromPeers.Received {
		f.submitReport(a, fromPeers.Report, "peer")
		return
	}
	triedInDomain, triedByPeers := f.whoTried(a, fromPeers)
	f.hosted.logger.Warn().Str("endpoint", string(a.ID)).Str("reason", a.Reason).AnErr("cause", err).
		Bool("near", triedInDomain).Int("peers", len(fromPeers.UnreachableFrom)).Msg("engine does not report")
	f.step.Submit(groupformer.Unreachable{ID: a.ID, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), TriedInDomain: triedInDomain, TriedByPeers: triedByPeers})
}

// whoTried returns whether an instance in the engine's failure domain, and whether peers, have tried in vain to query an
// engine. What an instance that is cut off has tried says nothing.
func (f *groupFormer) whoTried(a groupformer.FetchReport, fromPeers messenger.PeerReports) (inDomain, byPeers bool) {
	_, domain := f.addresses.lookup(a.ID)
	isCutOff := f.hosted.isCutOff.Load()
	inDomain = !isCutOff && domain == f.hosted.settings.FailureDomain || slices.Contains(fromPeers.UnreachableFrom, domain)
	byPeers = a.ViaPeers && (!isCutOff || len(fromPeers.UnreachableFrom) > 0)
	return inDomain, byPeers
}

// queryEngineForPeer queries an engine for its report for a peer. Its error is *messenger.CutOffError if this instance is
// cut off from most endpoints.
func (f *groupFormer) queryEngineForPeer(ctx context.Context, id identifier.Endpoint) (groupformer.Reported, error) {
	report, err := f.queryEngine(ctx, id)
	if err != nil && f.hosted.isCutOff.Load() {
		return report, &messenger.CutOffError{Cause: err}
	}
	return report, err
}

// queryEngine queries an engine for its report. The timeout of the exchange begins when its turn has
// come.
func (f *groupFormer) queryEngine(ctx context.Context, id identifier.Endpoint) (groupformer.Reported, error) {
	select {
	case f.queries <- struct{}{}:
	case <-ctx.Done():
		return groupformer.Reported{}, ctx.Err()
	}
	defer func() { <-f.queries }()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := f.engines.Report(ctx, id, f.addresses.address(id))
	return report, err
}

func (f *groupFormer) submitReport(a groupformer.FetchReport, r groupformer.Reported, via string) {
	f.hosted.logger.Info().Str("endpoint", string(a.ID)).Str("reason", a.Reason).Uint64("orders", r.AcceptedOrders).Str("via", via).
		Str("group", string(r.Endpoint.Membership.Group)).Stringer("state", r.Endpoint.Membership.State).Msg("engine reports")
	f.reportCold(r)
	f.step.Submit(r)
}

// recordCounts logs the number of groups of a model and updates the metrics.
func (f *groupFormer) recordCounts(s groupformer.GroupCounts) {
	f.meters.setCounts(s)
	f.hosted.logger.Info().Str("model", s.Model).Int("serving", s.Serving).Int("forming", s.Forming).Int("dissolving", s.Dissolving).
		Float64("share", s.TargetGroups).Int("engines", s.Engines).Int("idle", s.Idle).Int("evacuated", s.Evacuated).Float64("demand", s.Demand).Msg("groups")
}

func (f *groupFormer) logDecision(n groupformer.LogDecision) {
	f.hosted.logger.Info().Str("group", string(n.Group)).Uint64("epoch", uint64(n.Epoch)).Str("model", n.Model).Str("endpoint", string(n.Endpoint)).
		Str("decision", n.Decision).Int("members", n.Members).Dur("took", n.Elapsed).Msg("group")
}

// addresses keeps the last known address and failure domain of each endpoint, including
// endpoints that are no longer on the list.
type addresses struct {
	mu   sync.Mutex
	last map[identifier.Endpoint]endpointlister.Endpoint
}

func (a *addresses) set(endpoints []endpointlister.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == nil {
		a.last = map[identifier.Endpoint]endpointlister.Endpoint{}
	}
	for _, e := range endpoints {
		a.last[e.ID] = e
	}
}

func (a *addresses) address(id identifier.Endpoint) netip.AddrPort {
	address, _ := a.lookup(id)
	return address
}

func (a *addresses) lookup(id identifier.Endpoint) (netip.AddrPort, identifier.FailureDomain) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.last[id]
	return e.Address, e.FailureDomain
}
