package runner

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"amaranthmill/configurer"
	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/leaser"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/replicator"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
)

// Keys of the platform's store that the instances write.
const (
	instancePrefix = "mill/instances/"
	formingKey     = "mill/forming"
)

// Times and limits of a hosted instance.
const (
	storeTimeout    = time.Second            // of one call; the store answers in milliseconds, when slow in some hundreds
	storeBackoff    = 60 * time.Millisecond  // first wait between attempts of one call
	storeBackoffMax = 300 * time.Millisecond // longest wait between attempts of one call
	circuitFailures = 6                      // in a row
	circuitWait     = 300 * time.Millisecond // between trial calls while the store is away
	watchWait       = 900 * time.Millisecond // that one watch is held; one that the store has cut off unheard is noticed at its end
	storeShare      = 0.05                   // of the store's rates that one instance uses at most
	formingTTL      = 4 * time.Second        // a new holder comes within this after one that died
	formingLook     = 10 * time.Second       // the replica tells when the key goes; a look is for when it does not
	instanceTTL     = 6 * time.Second
	peerTimeout     = 350 * time.Millisecond // of one exchange with another instance
	pruneEvery      = 2 * time.Second
	stopMargin      = 400 * time.Millisecond // before the platform kills the process
	hostedNotice    = 2300 * time.Millisecond
	memoryShare     = 0.75 // of the machine's memory, from which on the collector works harder
	retryShare      = 0.9  // of the operator's bounds on repeats that is used
)

// hosted is the slices of one instance on a platform with a store of its own.
type hosted struct {
	settings  *configurer.Hosted
	logger    zerolog.Logger
	meter     metric.Meter
	metrics   http.Handler
	store     *storeclient.Client
	replica   *replicator.Replicator
	resolver  *resolver.Resolver
	requester *requester.Requester
	forwarder *forwarder.Forwarder
	view      *view
	forming   *forming
	peers     messenger.Peers
	messenger *messenger.Messenger
	upstream  *upstream
	formLease *leaser.Leaser
	ownLease  *leaser.Leaser
}

// newHosted builds the slices and connects them. Nothing runs yet.
func newHosted(s *configurer.Hosted, logger zerolog.Logger) (*hosted, error) {
	h := &hosted{settings: s, logger: logger, resolver: &resolver.Resolver{}}
	var err error
	if h.meter, h.metrics, err = newMeter(); err != nil {
		return nil, err
	}
	h.store = storeclient.New(storeclient.Config{
		Address: s.Store.Address, Instance: s.Instance, Dialect: platform.Store{}, HTTP: newQuickHTTP(storeTimeout),
		ReadsPerSecond: storeShare * s.Store.ReadsPerSecond, WritesPerSecond: storeShare * s.Store.WritesPerSecond,
		CallTimeout: storeTimeout, BackoffBase: storeBackoff, BackoffMax: storeBackoffMax, CircuitFailures: circuitFailures,
		TrialDelayBase: circuitWait, TrialDelayMax: circuitWait, WatchWait: watchWait, Logger: logger, Meter: h.meter,
	})
	h.requester = requester.New(requester.Config{IdentityHeader: platform.Headers{}.IdentityHeader()})
	h.forwarder = forwarder.New(forwarder.Config{
		Resolver: h.resolver, Requester: h.requester, Dialect: platform.Headers{}, Logger: logger, Meter: h.meter,
		Scheduler: scheduler.Config{
			FailureDomain: s.FailureDomain, RetryRatio: retryShare * s.Bounds.RetryRatio, RetrySlack: retryShare * s.Bounds.RetrySlack,
		},
		OnStalled:       h.stalled,
		OnLatencyReport: func(p scheduler.LatencyReport) { go h.forming.pressure(p) },
	})
	h.forming = newForming(h)
	h.view = newView(h)
	h.messenger = messenger.New(messenger.Config{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Peers: &h.peers,
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (storeclient.Changes, error) {
			return h.replica.Watch(ctx, after, wait)
		},
		UpdateSince: func(after uint64) replicator.Update { return h.replica.UpdateSince(after) },
		Report:      h.forming.report, OnStalled: h.forming.suspect, HTTP: newQuickHTTP(peerTimeout), Timeout: peerTimeout, Logger: logger,
	})
	h.upstream = &upstream{h: h, failedAt: map[identifier.Instance]time.Time{}}
	h.replica = replicator.New(replicator.Config{
		Store: h.store, Peers: h.messenger, Upstream: h.upstream, OnChange: h.view.changed, OnHealth: h.view.health, Logger: logger,
	})
	h.newLeases()
	return h, nil
}

// newLeases builds the leases of the instance's own key and of forming groups.
func (h *hosted) newLeases() {
	s := h.settings
	run := fmt.Sprintf("%s/%d", s.Instance, time.Now().UnixNano())
	h.ownLease = leaser.New(leaser.Config{
		Platform: h.store, Key: instancePrefix + string(s.Instance), Owner: string(s.Instance) + "/",
		Token: fmt.Sprintf("%s %s %s", run, s.Listen.Peers, s.FailureDomain), TTL: max(instanceTTL, s.Store.LeaseMin.Std()),
		OnHold: func(leaser.Hold) {}, ReleaseTimeout: s.Bounds.StopLimit.Std(),
	})
	h.formLease = leaser.New(leaser.Config{
		Platform: h.store, Key: formingKey, Owner: string(s.Instance) + "/", Token: run, CheckInterval: formingLook,
		TTL: max(formingTTL, s.Store.LeaseMin.Std()), OnHold: h.forming.hold, ReleaseTimeout: s.Bounds.StopLimit.Std(),
	})
}

// newQuickHTTP returns a client whose connections notice soon when the other side has gone silent.
func newQuickHTTP(silence time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: requester.NewDialer(silence).DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}
}

// stalled takes that a target stands still, and tells the instance that forms groups.
func (h *hosted) stalled(t scheduler.Target) {
	if t.Group == "" {
		return
	}
	go func() {
		h.forming.suspect(t.ID)
		if holder := h.view.formingHolder(); holder != h.settings.Instance {
			h.messenger.NotifyStalled(context.Background(), holder, t.ID)
		}
	}()
}

// ready returns why the instance should get no requests, or nil.
func (h *hosted) ready() error {
	if h.resolver.Version() == 0 {
		return &resolver.NoConfigurationError{}
	}
	return nil
}

// RunHosted runs an instance on a platform, with the settings s that were read from path,
// until it is stopped by a signal or one of its actors fails. It returns what Run does.
func RunHosted(path string, s *configurer.Hosted, logger zerolog.Logger) error {
	runtime.GOMAXPROCS(s.Machine.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Machine.MemoryMB) * (1 << 20)))
	h, err := newHosted(s, logger)
	if err != nil {
		return err
	}
	callers := newHTTPServer(s.Listen.Callers.String(), h.forwarder)
	draining := make(chan struct{})
	var g run.Group
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	st := newStopper(signals)
	st.notice, st.limit, st.logger = hostedNotice, s.Bounds.StopLimit.Std()-stopMargin, logger
	st.drain = func() {
		close(draining)
		h.forwarder.Drain()
	}
	st.finish = callers.Shutdown
	g.Add(st.run, st.interrupt)
	g.Add(newHTTPActor(callers, st.stopped))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Readiness.String(), h.readiness(draining)), nil))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Metrics.String(), h.metrics), nil))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Peers.String(), h.messenger.Handler()), nil))
	reload := newReloader(path, s, logger, h.apply)
	for _, actor := range []func(context.Context) error{h.replica.Run, h.view.run, h.forming.run, h.prune, reload.run} {
		g.Add(newActor(actor))
	}
	for _, lease := range []*leaser.Leaser{h.formLease, h.ownLease} {
		g.Add(untilDrained(lease.Run, draining))
	}
	logger.Info().Stringer("callers", s.Listen.Callers).Str("failureDomain", string(s.FailureDomain)).Msg("instance runs")
	err = g.Run()
	logger.Info().Err(err).Msg("instance ends")
	return err
}

// untilDrained returns the actor of a function that is told to end when the stop begins. The
// actor itself ends with the others, also if the function has not.
func untilDrained(f func(context.Context) error, draining <-chan struct{}) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	execute = func() error {
		work, stop := context.WithCancel(ctx)
		go func() {
			select {
			case <-draining:
			case <-ctx.Done():
			}
			stop()
		}()
		ended := make(chan error, 1)
		go func() { ended <- f(work) }()
		<-ctx.Done()
		select {
		case err := <-ended:
			return err
		default:
			return nil
		}
	}
	return execute, func(error) { cancel() }
}

// readiness answers the balancer.
func (h *hosted) readiness(draining <-chan struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.settings.Listen.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-draining:
			http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
			return
		default:
		}
		if err := h.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

// prune closes connections to endpoints that were idle for too long.
func (h *hosted) prune(ctx context.Context) error {
	return runEvery(ctx, pruneEvery, func(context.Context) { h.requester.Prune() })
}
