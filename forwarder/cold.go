package forwarder

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// ReportCold passes on that a process has said in an answer which belongs to no request that it is cold for a time.
func (f *Forwarder) ReportCold(p identifier.Process, coldFor time.Duration) {
	if coldFor > 0 {
		f.step.Submit(scheduler.ProcessStated{Process: p, ColdFor: coldFor, SentAt: time.Now()})
	}
}

// changeCold records and logs that a process is cold, or that it is warm again.
func (f *Forwarder) changeCold(a scheduler.ColdChanged) {
	f.mu.Lock()
	if a.PerSecond > 0 {
		f.cold[a.Process] = true
	} else {
		delete(f.cold, a.Process)
	}
	count := len(f.cold)
	f.mu.Unlock()
	f.meters.setCold(count)
	line := f.cfg.Logger.Info().Str("endpoint", string(a.Process.Endpoint)).Int64("processStart", int64(a.Process.Start))
	if a.PerSecond > 0 {
		line.Stringer("source", a.Source).Float64("perSecond", a.PerSecond).Dur("for", time.Until(a.Until)).Msg("endpoint cold")
		return
	}
	line.Msg("endpoint warm")
}

// registerCold registers the instruments about cold endpoints.
func (m *meters) registerCold(meter metric.Meter) {
	m.coldSkips, _ = meter.Int64Counter("forwarder.cold.skips", metric.WithDescription("Placements from which cold limits kept targets, by pool."))
	_, _ = meter.Int64ObservableGauge("forwarder.cold", metric.WithDescription("Processes of endpoints that are cold."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			o.Observe(m.cold, metric.WithAttributes(m.domain))
			return nil
		}))
}

// setCold records the number of processes that are cold.
func (m *meters) setCold(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cold = int64(n)
}

// countColdSkip counts a placement from which cold limits kept targets.
func (m *meters) countColdSkip(a scheduler.ColdSkipped) {
	m.coldSkips.Add(context.Background(), 1, metric.WithAttributes(m.domain, attribute.String("pool", string(a.Pool))))
}
