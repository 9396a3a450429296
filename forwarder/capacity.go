package forwarder

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/scheduler"
)

// Capacities returns the learned limits of the targets, sorted by pool and endpoint.
func (f *Forwarder) Capacities() []scheduler.Capacity {
	var out []scheduler.Capacity
	f.step.Inspect(func() { out = f.core.Capacities(time.Now()) })
	return out
}

// observeCapacity registers the gauge of the learned limits with m, unless m is nil.
func (f *Forwarder) observeCapacity(m metric.Meter) {
	if m == nil {
		return
	}
	_, _ = m.Float64ObservableGauge("forwarder.capacity", metric.WithDescription("Load as a fraction of its slots up to which a target is expected to meet the strictest goals of its pool's requests."),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, c := range f.Capacities() {
				o.Observe(c.Limit, metric.WithAttributes(f.meters.domain, poolAttribute(c.Target.Pool), attribute.String("endpoint", string(c.Target.ID))))
			}
			return nil
		}))
}

// logCapacity logs that the learned limit of a target has changed by more than a quarter.
func (f *Forwarder) logCapacity(a scheduler.CapacityChanged) {
	f.cfg.Logger.Info().Str("endpoint", string(a.Target.ID)).Str("group", string(a.Target.Group)).Str("pool", string(a.Target.Pool)).
		Float64("limit", a.Limit).Float64("previous", a.Previous).Float64("load", a.Load).Float64("speed", a.Speed).Float64("failureRate", a.FailureRate).
		Dur("firstEvent", a.FirstEvent).Int("backlogTokens", a.Backlog).Dur("latencyGoal", a.LatencyGoal).Dur("gapGoal", a.GapGoal).
		Msg("learned limit of a target changed")
}
