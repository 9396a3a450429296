package runner

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"amaranthmill/configurer"

	"github.com/oklog/run"
	"github.com/rs/zerolog"
)

// Run runs an instance until a signal stops it or one of its actors fails. It returns nil
// after a graceful stop, a *StopError if requests may have been aborted, and otherwise the
// error of the actor that failed.
func Run(s *configurer.Settings, logger zerolog.Logger) error {
	i, err := newInstance(s, logger)
	if err != nil {
		return err
	}
	i.setListings(nil)
	i.updatePeers()
	callers := i.newCallersServer()
	var g run.Group
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	st := newStopper(signals)
	st.notice, st.limit, st.logger = s.Limits.StopNotice.Std(), s.Limits.StopLimit.Std(), logger
	st.drain = i.server.Drain
	st.finish = func(ctx context.Context) error { return i.finish(ctx, callers.Server) }
	g.Add(st.run, st.interrupt)
	g.Add(newHTTPActor(callers, st.stopped))
	g.Add(newHTTPActor(newHTTPServer(s.Listen.Administration.String(), i.administrationHandler()), nil))
	for _, actor := range []func(context.Context) error{
		i.linker.Run, i.bundles.Run, i.prober.Run, i.grouper.Run, i.claimer.Run,
		i.directory.run, i.records.run, i.reports.run, i.sendSummaries, i.renewCertificates, i.shares.run,
	} {
		g.Add(newActor(actor))
	}
	logger.Info().Stringer("callers", s.Listen.Callers).Msg("instance runs")
	return g.Run()
}

// newActor returns an actor that runs f. An interrupt cancels the context of f.
func newActor(f func(context.Context) error) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { return f(ctx) }, func(error) { cancel() }
}

// httpServer is an *http.Server or a *trackedServer.
type httpServer interface {
	ListenAndServe() error // returns http.ErrServerClosed once the server was closed or shut down
	Close() error
}

// newHTTPActor returns the actor of an HTTP server. If stopped is not nil, a server that was
// shut down waits until stopped is closed before its actor ends, because the end of one actor
// interrupts all others, which still have work during a graceful stop.
func newHTTPActor(s httpServer, stopped <-chan struct{}) (execute func() error, interrupt func(error)) {
	execute = func() error {
		err := s.ListenAndServe()
		if !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		if stopped != nil {
			<-stopped
		}
		return nil
	}
	return execute, func(error) { _ = s.Close() }
}

// administrationHandler returns the handler of the administration listener: metrics, health
// checks and the administration API.
func (i *instance) administrationHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", i.metrics)
	mux.Handle("GET /livez", i.server.Handler())
	mux.Handle("GET /readyz", i.server.Handler())
	mux.Handle("/", i.admin)
	return mux
}
