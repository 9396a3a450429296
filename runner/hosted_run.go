package runner

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"amaranthmill/configurer"
	"amaranthmill/forwarder"
	"amaranthmill/leaser"
	"amaranthmill/resolver"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
)

// checkReady returns the reason why the instance should get no requests, or nil if it is ready.
func (h *hosted) checkReady() error {
	if h.resolver.Version() == 0 {
		return &resolver.NoConfigurationError{}
	}
	return nil
}

// RunHosted runs an instance on a platform until a signal stops it or one of its actors fails.
// The settings s were read from path, which is read again when it changes and at each signal from reloads. RunHosted
// returns the same errors as Run.
func RunHosted(path string, s *configurer.HostedSettings, reloads <-chan os.Signal, logger zerolog.Logger) error {
	runtime.GOMAXPROCS(s.Machine.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Machine.MemoryMB) * (1 << 20)))
	h, err := newHosted(s, logger)
	if err != nil {
		return err
	}
	callers := h.newCallersServer()
	draining := make(chan struct{})
	var g run.Group
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	st := newStopper(signals)
	st.notice, st.limit, st.logger = hostedStopNotice, s.Bounds.StopLimit.Std()-stopMargin, logger
	var stop forwarder.Stop
	st.drain = func() {
		close(draining)
		stop = st.bounds(time.Now())
		h.forwarder.Drain(stop)
	}
	peers := newTrackedServer(s.Listen.Peers.String(), h.forwarder.PeerHandler(h.messenger.Handler()))
	peers.ReadTimeout = peerReadTimeout
	st.finish = func(ctx context.Context) error { return shutdownAll(ctx, stop.AcceptUntil, callers, peers) }
	g.Add(st.run, st.interrupt)
	g.Add(newHTTPActor(callers, st.stopped))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Readiness.String(), h.readinessHandler(draining)), nil))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Metrics.String(), h.metrics), nil))
	g.Add(newHTTPActor(peers, st.stopped))
	reload := newReloader(path, s, reloads, logger, h.apply)
	for _, actor := range []func(context.Context) error{h.replica.Run, h.view.run, h.groupFormer.run, h.quarantine.run, h.pruneConnections, h.requestDemand, reload.run} {
		g.Add(newActor(actor))
	}
	for _, lease := range []*leaser.Leaser{h.formingLease, h.instanceLease} {
		g.Add(newDrainedActor(lease.Run, draining))
	}
	logger.Info().Stringer("callers", s.Listen.Callers).Str("failureDomain", string(s.FailureDomain)).Msg("instance runs")
	err = g.Run()
	logger.Info().Err(err).Msg("instance ends")
	return err
}

// bounds returns the bounds on the requests of a hosted instance whose stop begins now.
func (s *stopper) bounds(now time.Time) forwarder.Stop {
	answerUntil := now.Add(max(s.limit-lastAnswerMargin, 0))
	acceptUntil := now.Add(s.notice + lateBodyTime)
	if acceptUntil.After(answerUntil) {
		acceptUntil = answerUntil
	}
	return forwarder.Stop{AcceptUntil: acceptUntil, AnswerUntil: answerUntil}
}

// newDrainedActor returns an actor that runs f and cancels the context of f when draining is
// closed. The actor itself ends when it is interrupted, even if f has not returned.
func newDrainedActor(f func(context.Context) error, draining <-chan struct{}) (execute func() error, interrupt func(error)) {
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

// readinessHandler returns the handler of the load balancer's readiness checks.
func (h *hosted) readinessHandler(draining <-chan struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+h.settings.Listen.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-draining:
			http.Error(w, "the instance is stopping", http.StatusServiceUnavailable)
			return
		default:
		}
		if err := h.checkReady(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

// pruneConnections closes connections to endpoints that have been idle for too long, at
// intervals until ctx is done.
func (h *hosted) pruneConnections(ctx context.Context) error {
	return runEvery(ctx, pruneInterval, func(context.Context) { h.requester.Prune() })
}
