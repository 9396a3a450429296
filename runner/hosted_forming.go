package runner

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
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

// Times of forming groups.
const (
	formingTick  = 100 * time.Millisecond
	askTimeout   = 220 * time.Millisecond // engines answer within milliseconds, also at full load
	orderTimeout = 450 * time.Millisecond
)

// forming is the shell of the former core: it sends its orders and asks its questions.
type forming struct {
	h       *hosted
	engines platform.Engines
	step    *stepper.Stepper[groupformer.Event, groupformer.Action]
	ctx     context.Context
	where   addresses
	meters  *formingMeters
}

func newForming(h *hosted) *forming {
	f := &forming{h: h, engines: platform.Engines{Requester: h.requester}, ctx: context.Background(), meters: newFormingMeters(h.meter)}
	core := groupformer.New(groupformer.Config{FirstStart: h.settings.FirstStart, DrainTime: h.settings.Bounds.DrainTime.Std()})
	f.step = stepper.New(stepper.Config[groupformer.Event, groupformer.Action]{Core: core, Handle: f.handle})
	return f
}

// run lets time pass for the core until ctx ends. It returns nil.
func (f *forming) run(ctx context.Context) error {
	requested := false
	return runEvery(ctx, formingTick, func(context.Context) {
		if !requested && f.h.forwarder.Requests() > 0 {
			requested = true
			f.step.Submit(groupformer.FirstRequestReceived{})
		}
		f.step.Submit(groupformer.Ticked{})
	})
}

func (f *forming) setServices(s []resolver.Service) {
	f.step.Submit(groupformer.ServicesSet{Services: s})
}

func (f *forming) setEndpoints(e []endpointlister.Endpoint) {
	f.where.set(e)
	f.step.Submit(groupformer.EndpointsSet{Endpoints: e})
}

// pressure takes how the requests of a model fare at this instance.
func (f *forming) pressure(p scheduler.LatencyReport) {
	if service, model := forwarder.SplitPool(p.Pool); model != "" {
		f.step.Submit(groupformer.LatencyReported{Service: service, Model: model, Requests: p.Requests, MissedGoal: p.MissedGoal})
	}
}

// storeSet takes whether the store is out of reach.
func (f *forming) storeSet(lost bool) { f.step.Submit(groupformer.StoreHealthSet{Lost: lost}) }

// hold takes until when this instance may form groups.
func (f *forming) hold(h leaser.Hold) {
	f.h.logger.Debug().Time("until", h.Until).Uint64("fence", h.Fence).Msg("forming lease")
	f.step.Submit(groupformer.LeaseSet{Until: h.Until, Fence: h.Fence})
	f.h.replica.SetUrgent(!h.Until.IsZero())
	f.h.upstream.setDirect(!h.Until.IsZero())
}

// suspect takes that the requests of a group's head stand still.
func (f *forming) suspect(head identifier.Endpoint) {
	f.step.Submit(groupformer.HeadStalled{Head: head})
}

// handle carries out one action of the core. It must not block.
func (f *forming) handle(a groupformer.Action) {
	switch a := a.(type) {
	case groupformer.Order:
		go f.order(a)
	case groupformer.FetchReport:
		go f.ask(a)
	case groupformer.LogDecision:
		f.note(a)
	case groupformer.GroupCounts:
		f.supply(a)
	}
}

func (f *forming) order(o groupformer.Order) {
	ctx, cancel := context.WithTimeout(f.ctx, orderTimeout)
	defer cancel()
	result := f.engines.Order(ctx, f.where.of(o.ID), o)
	f.meters.ordered(o.Operation, result)
	e := f.h.logger.Info()
	if result != groupformer.ResultAccepted {
		e = f.h.logger.Warn()
	}
	withOperation(e, o.Operation).Str("endpoint", string(o.ID)).Uint64("expected", o.Expected).Stringer("result", result).Msg("order")
	f.step.Submit(groupformer.OrderEnded{ID: o.ID, Number: o.Number, Result: result})
}

func withOperation(e *zerolog.Event, o groupformer.Operation) *zerolog.Event {
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

// ask asks an engine for its report. One that did not answer before is asked by peers at
// the same time, because only this instance may be cut off from it.
func (f *forming) ask(a groupformer.FetchReport) {
	f.meters.asked(a.Reason)
	sightings := make(chan messenger.PeerReports, 1)
	if a.ViaPeers {
		go func() { sightings <- f.h.messenger.RequestReports(f.ctx, a.ID) }()
	} else {
		sightings <- messenger.PeerReports{}
	}
	report, err := f.report(f.ctx, a.ID)
	if err == nil {
		f.reported(a, report, "")
		return
	}
	sighting := <-sightings
	if sighting.Received {
		f.reported(a, sighting.Report, "peer")
		return
	}
	_, domain := f.where.find(a.ID)
	near := domain == f.h.settings.FailureDomain || slices.Contains(sighting.UnreachableFrom, domain)
	f.h.logger.Warn().Str("endpoint", string(a.ID)).Str("reason", a.Reason).AnErr("cause", err).
		Bool("near", near).Int("peers", len(sighting.UnreachableFrom)).Msg("engine does not report")
	f.step.Submit(groupformer.Unreachable{ID: a.ID, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), TriedInDomain: near, TriedByPeers: a.ViaPeers})
}

// report asks an engine for its report.
func (f *forming) report(ctx context.Context, id identifier.Endpoint) (groupformer.Reported, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	report, err := f.engines.Report(ctx, id, f.where.of(id))
	return report, err
}

func (f *forming) reported(a groupformer.FetchReport, r groupformer.Reported, via string) {
	f.h.logger.Info().Str("endpoint", string(a.ID)).Str("reason", a.Reason).Uint64("orders", r.AcceptedOrders).Str("via", via).
		Str("group", string(r.Endpoint.Membership.Group)).Stringer("state", r.Endpoint.Membership.State).Msg("engine reports")
	f.step.Submit(r)
}

// supply tells how many groups of a model there are.
func (f *forming) supply(s groupformer.GroupCounts) {
	f.meters.supply(s)
	f.h.logger.Info().Str("model", s.Model).Int("serving", s.Serving).Int("forming", s.Forming).Int("dissolving", s.Dissolving).
		Float64("share", s.TargetGroups).Int("engines", s.Engines).Int("idle", s.Idle).Msg("groups")
}

func (f *forming) note(n groupformer.LogDecision) {
	f.h.logger.Info().Str("group", string(n.Group)).Uint64("epoch", uint64(n.Epoch)).Str("model", n.Model).Str("endpoint", string(n.Endpoint)).
		Str("decision", n.Decision).Int("members", n.Members).Dur("took", n.Elapsed).Msg("group")
}

// addresses remembers where endpoints are, also after they left the list.
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

func (a *addresses) of(id identifier.Endpoint) netip.AddrPort {
	address, _ := a.find(id)
	return address
}

func (a *addresses) find(id identifier.Endpoint) (netip.AddrPort, identifier.FailureDomain) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := a.last[id]
	return e.Address, e.FailureDomain
}
