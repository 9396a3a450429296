package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"amaranthmill/configurer"
	"amaranthmill/evictor"
	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/leaser"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/quarantiner"
	"amaranthmill/replicator"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
)

// Keys in the platform's store that the instances write: one key for each instance, and the key
// of the group-forming lease. Those of losses begin with lossPrefix.
const (
	instancePrefix = "mill/instances/"
	formingKey     = "mill/forming"
)

// Times and limits of a hosted instance.
const (
	storeTimeout         = time.Second             // of one call; the store answers within milliseconds, or some hundred milliseconds when slow
	storeBackoff         = 60 * time.Millisecond   // first wait between attempts of one call
	storeBackoffMax      = 300 * time.Millisecond  // longest wait between attempts of one call
	circuitFailures      = 6                       // consecutive failures that open the circuit
	circuitWait          = 300 * time.Millisecond  // between trial calls while the store is unreachable
	circuitWaitMax       = 1500 * time.Millisecond // the same in a large fleet
	circuitSpacing       = 12 * time.Millisecond   // between two trial calls of different instances on average, which lengthens the wait from 26 instances on, so that the calls of an outage don't grow with the fleet
	watchWait            = 900 * time.Millisecond  // maximum duration of one watch; it bounds how long a silently lost connection to the store goes unnoticed
	storeShare           = 0.05                    // maximum fraction of the store's rates that one instance uses
	narrowLinkMbps       = 100                     // Mbit/s, below which a link counts as narrow: ten versions per second of a configuration of 385 KB take 41 Mbit/s from the store, and an instance has other traffic
	narrowAcquireDelay   = 700 * time.Millisecond  // for which the group-forming lease must be free before an instance with a narrow link acquires it; with a tick of 200 ms, it delays the succession by less than a second
	linkStoreWait        = 500 * time.Millisecond  // maximum duration of one watch of the store where the link is known; see linkWatchWait
	linkMinInterval      = 200 * time.Millisecond  // between two watches where the link is known; with the default of 300 ms, a small entry may need longer than 0.3 s to a follower while values change all the time
	formingTTL           = 4 * time.Second         // after a holder has died, another instance acquires the lease within this time
	formingCheckInterval = 10 * time.Second        // the replica reports when the key is deleted; the check covers the case that it does not
	formingCheckSpacing  = time.Second             // between two checks of different instances on average, which lengthens the interval in a large fleet
	instanceTTL          = 6 * time.Second         // of the lease of the instance's own key
	peerReadTimeout      = 5 * time.Second         // of one request of a peer, so that a request without end ends
	peerTimeout          = 350 * time.Millisecond  // of one message exchange with another instance
	pruneInterval        = 2 * time.Second         // between two searches for idle connections
	stopMargin           = 400 * time.Millisecond  // between the instance's own stop limit and the platform's, at which the platform kills the process
	hostedStopNotice     = 2300 * time.Millisecond // from the report that the instance is not ready until it accepts no more connections
	lateBodyTime         = 500 * time.Millisecond  // after that, in which requests that have begun to arrive may become complete
	lastAnswerMargin     = 300 * time.Millisecond  // between the last answers and the instance's own stop limit
	memoryShare          = 0.75                    // fraction of the machine's memory that is the soft limit of the Go runtime, near which the garbage collector runs more often
	retryShare           = 0.9                     // fraction of the operator's bounds on retries that is used
	heldShare            = 0.125                   // fraction of the machine's memory that held answers may use

	maxResponseHeaderBytes = 64 << 10 // of an answer of the store or of a peer
)

// hosted holds the components of one instance on a platform that has its own store.
type hosted struct {
	settings      *configurer.HostedSettings
	logger        zerolog.Logger
	meter         metric.Meter
	metrics       http.Handler
	store         *storeclient.Client
	storeMeters   *storeMeters
	valueMeters   *valueMeters
	newClient     func(source netip.Addr, ackTimeout time.Duration) *http.Client // of the store and of peers
	replica       *replicator.Replicator
	resolver      *resolver.Resolver
	requester     *requester.Requester
	memory        *evictor.Memory // for callers' requests
	forwarder     *forwarder.Forwarder
	view          *view
	leaving       *leavingProcesses
	groupFormer   *groupFormer
	quarantine    *quarantine
	peers         messenger.Peers
	messenger     *messenger.Messenger
	upstream      *upstream
	formingLease  *leaser.Leaser
	instanceLease *leaser.Leaser
	isCutOff      atomic.Bool // a peer has shown that this instance has lost its links to most endpoints
}

// newHosted creates the components and connects them. It does not start them.
func newHosted(s *configurer.HostedSettings, logger zerolog.Logger) (*hosted, error) {
	return newHostedWith(s, logger, newHTTPClient)
}

// newHostedWith creates the components with clients of the store and of peers that newClient returns.
func newHostedWith(s *configurer.HostedSettings, logger zerolog.Logger, newClient func(source netip.Addr, ackTimeout time.Duration) *http.Client) (*hosted, error) {
	h := &hosted{settings: s, logger: logger, resolver: &resolver.Resolver{}, newClient: newClient}
	var err error
	if h.meter, h.metrics, err = newMeter(); err != nil {
		return nil, err
	}
	h.storeMeters, h.valueMeters = newStoreMeters(h.meter), newValueMeters(h.meter)
	h.store = h.newStore()
	h.requester = requester.New(requester.Config{IdentityHeader: platform.Headers{}.IdentityHeader(), SourceAddress: s.SourceAddress})
	h.memory = evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: int64(s.Callers.MemoryMB) << 20}, Logger: logger, Meter: h.meter})
	h.forwarder = h.newForwarder()
	h.leaving = newLeavingProcesses(h.meter)
	h.groupFormer = newGroupFormer(h)
	h.quarantine = newQuarantine(h)
	h.view = newView(h)
	h.messenger = h.newMessenger()
	h.upstream = &upstream{hosted: h, failedAt: map[identifier.Instance]time.Time{}, pending: map[identifier.Instance]int{}}
	h.replica = replicator.New(replicator.Config{
		Store: h.store, Peers: h.messenger, Upstream: h.upstream, OnChange: h.view.applyChanges, OnHealth: h.view.setStoreHealth,
		OnContact: h.view.recordContact, OnRestore: h.view.handleRestore, Values: h.upstream, OnValue: h.valueMeters.countArrival,
		MinInterval: minInterval(s.Machine.LinkMbps), ListAfterTimeout: s.Machine.LinkMbps > 0 && s.Machine.LinkMbps < narrowLinkMbps, Logger: logger,
	})
	h.newLeases()
	return h, nil
}

// newStore returns the client of the store. The budgets are this instance's share of the store's rates.
func (h *hosted) newStore() *storeclient.Client {
	s := h.settings
	return storeclient.New(storeclient.Config{
		Address: s.Store.Address, Instance: s.Instance, Dialect: platform.Store{}, HTTP: h.newClient(s.SourceAddress, storeTimeout),
		ReadsPerSecond: storeShare * s.Store.ReadsPerSecond, WritesPerSecond: storeShare * s.Store.WritesPerSecond,
		CallTimeout: storeTimeout, BackoffBase: storeBackoff, BackoffMax: storeBackoffMax, CircuitFailures: circuitFailures,
		TrialDelayBase: circuitWait, TrialDelayMax: circuitWait, WatchWait: storeWait(s.Machine.LinkMbps), OnRestore: h.handleRestore, Logger: h.logger, Meter: h.meter,
	})
}

// handleRestore makes the leases be acquired again after a restore of the store.
func (h *hosted) handleRestore(storeclient.Era) {
	h.instanceLease.Restored()
	h.formingLease.Restored()
}

// newForwarder returns the forwarder of callers' requests. Its callbacks use components that are created after it.
func (h *hosted) newForwarder() *forwarder.Forwarder {
	s := h.settings
	return forwarder.New(forwarder.Config{
		Resolver: h.resolver, Requester: h.requester, Dialect: platform.Headers{}, Logger: h.logger, Meter: h.meter,
		Scheduler: scheduler.Config{
			Instance: s.Instance, FailureDomain: s.FailureDomain, RetryRatio: retryShare * s.Bounds.RetryRatio, RetrySlack: retryShare * s.Bounds.RetrySlack,
			ColdExcess: s.Bounds.ColdExcess, ColdSlack: s.Bounds.ColdSlack,
			RetryWindow: s.Bounds.RetryWindow.Std(), FirstStart: s.FirstStart, Random: rand.NewPCG(rand.Uint64(), rand.Uint64()),
		},
		Memory:          h.memory,
		HeldBytes:       int64(heldShare * float64(s.Machine.MemoryMB) * (1 << 20)),
		OnStalled:       h.reportStall,
		OnLeaving:       h.reportLeaving,
		OnLimits:        func(news []scheduler.LimitNews) { go h.messenger.ExchangeLimits(context.Background(), news) },
		OnLimitQuery:    func() { go h.messenger.QueryLimits(context.Background()) },
		OnLatencyReport: func(p scheduler.LatencyReport) { go h.groupFormer.submitLatency(p) },
		OnDemand:        func(r scheduler.DemandReport) { go h.reportDemand(r) },
		OnAttempt:       func(e quarantiner.Event) { h.quarantine.step.Submit(e) },
		OnReach:         h.setReach,
		PeerAddress:     h.peerAddress, Probe: h.probe,
	})
}

// newMessenger returns the messenger that answers peers from the other components. The replica is created after
// it.
func (h *hosted) newMessenger() *messenger.Messenger {
	s := h.settings
	return messenger.New(messenger.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Peers: &h.peers,
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (replicator.PeerChanges, error) {
			return h.replica.Watch(ctx, after, wait)
		},
		UpdateSince: func(after uint64) replicator.Update { return h.replica.UpdateSince(after) },
		Values:      h.replicaValues(), OnTransfer: h.valueMeters.countTransfer,
		Report: h.groupFormer.queryEngineForPeer, CheckConnection: h.checkConnectionForPeer, OnStalled: h.groupFormer.submitStall, OnLeaving: h.groupFormer.submitPeerLeaving, Leaving: h.leaving.list,
		OnLimits: h.forwarder.ReportLimits, OnDemand: h.groupFormer.submitDemand,
		OnLosses: func(r quarantiner.Report) { h.quarantine.step.Submit(quarantiner.ReportReceived{Report: r}) },
		Reach:    h.forwarder.Reach, Evacuations: h.view.listEvacuations, Capacities: h.forwarder.Capacities, Explain: h.forwarder.Explain, Quarantines: h.listQuarantines, Lift: h.liftQuarantine,
		OnUnacknowledged: func(fp identifier.Fingerprint) {
			h.quarantine.step.Submit(quarantiner.AnnouncementFailed{Fingerprint: fp})
		}, HTTP: h.newClient(s.SourceAddress, peerTimeout), Timeout: peerTimeout, Logger: h.logger,
	})
}

// newLeases creates the lease of the instance's own key and the lease of forming groups.
func (h *hosted) newLeases() {
	s := h.settings
	process := fmt.Sprintf("%s/%d", s.Instance, time.Now().UnixNano())
	h.instanceLease = leaser.New(leaser.Config{
		Platform: h.store, Key: instancePrefix + string(s.Instance), Owner: string(s.Instance) + "/",
		Token: fmt.Sprintf("%s %s %s", process, s.Listen.Peers, s.FailureDomain) + linkWord(s.Machine.LinkMbps), TTL: max(instanceTTL, s.Store.LeaseMin.Std()),
		OnHold: func(leaser.Hold) {}, ReleaseTimeout: s.Bounds.StopLimit.Std(),
	})
	h.formingLease = leaser.New(leaser.Config{
		Platform: h.store, Key: formingKey, Owner: string(s.Instance) + "/", Token: process, CheckInterval: formingCheckInterval,
		TTL: max(formingTTL, s.Store.LeaseMin.Std()), AcquireDelay: acquireDelay(s.Machine.LinkMbps), OnHold: h.groupFormer.setLease, ReleaseTimeout: s.Bounds.StopLimit.Std(),
	})
}

// acquireDelay returns for how long the group-forming lease must be free before an instance acquires it. The holder
// queries the store directly, so that one with a wide link should come first.
func acquireDelay(linkMbps float64) time.Duration {
	if linkMbps > 0 && linkMbps < narrowLinkMbps {
		return narrowAcquireDelay
	}
	return 0
}

// storeWait returns the longest time for which the store holds a watch.
func storeWait(linkMbps float64) time.Duration {
	if linkMbps > 0 {
		return linkStoreWait
	}
	return watchWait
}

// minInterval returns the time between two watches, or zero for the default.
func minInterval(linkMbps float64) time.Duration {
	if linkMbps > 0 {
		return linkMinInterval
	}
	return 0
}

// newHTTPClient returns a client whose connections fail soon after the other side stops
// acknowledging; see requester.NewDialer.
func newHTTPClient(source netip.Addr, ackTimeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: requester.NewDialer(source, ackTimeout).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// reportStall reports a stalled group head to the group former of this instance and to the
// instance that forms groups. Other targets are ignored, and so is what an instance that is cut off sees.
func (h *hosted) reportStall(t scheduler.Target) {
	if t.Group == "" || h.isCutOff.Load() {
		return
	}
	go func() {
		h.groupFormer.submitStall(t.ID)
		if holder := h.view.formingHolder(); holder != h.settings.Instance {
			h.messenger.NotifyStalled(context.Background(), holder, t.ID)
		}
	}()
}

// leavingNoticeDelay is the time in which the list usually shows that an endpoint drains, so that
// the instance that forms groups need not be notified.
const leavingNoticeDelay = 500 * time.Millisecond

// reportLeaving reports a process that has said that it leaves to the group former of this instance,
// and to the instance that forms groups if the list does not show it soon.
func (h *hosted) reportLeaving(p identifier.Process) {
	h.leaving.add(time.Now(), p, messenger.LeavingByAnswer)
	go h.groupFormer.submitLeaving(p)
	time.AfterFunc(leavingNoticeDelay, func() {
		if holder := h.view.formingHolder(); holder != h.settings.Instance && h.view.isLive(p) {
			h.messenger.NotifyLeaving(context.Background(), holder, p)
		}
	})
}
