package prober

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/router"
)

// meters are the metrics of a Prober.
type meters struct {
	probes      metric.Float64Histogram
	ready, lost *atomic.Int64
}

// newMeters creates the metrics. An instrument that can't be created is replaced by a no-op.
func newMeters(m metric.Meter) meters {
	if m == nil {
		m = noop.NewMeterProvider().Meter("prober")
	}
	out := meters{ready: &atomic.Int64{}, lost: &atomic.Int64{}}
	probes, err := m.Float64Histogram("prober.probe.duration", metric.WithUnit("s"), metric.WithDescription("time of a probe by result"))
	if err != nil {
		probes = noop.Float64Histogram{}
	}
	out.probes = probes
	registerGauge(m, "prober.targets.ready", "targets that take requests", out.ready)
	registerGauge(m, "prober.targets.lost", "targets that lack a member or a fresh report", out.lost)
	return out
}

func registerGauge(m metric.Meter, name, description string, v *atomic.Int64) {
	_, _ = m.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(v.Load())
			return nil
		}))
}

func (m meters) recordProbe(ctx context.Context, d time.Duration, err error) {
	m.probes.Record(ctx, d.Seconds(), metric.WithAttributes(attribute.Bool("ok", err == nil)))
}

func (m meters) countTargets(targets []router.Target) {
	ready, lost := int64(0), int64(0)
	for _, t := range targets {
		switch {
		case !t.Ready:
			lost++
		case !t.Leaving:
			ready++
		}
	}
	m.ready.Store(ready)
	m.lost.Store(lost)
}
