package bundler

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/identifier"
)

// meters are the metrics of a Store.
type meters struct {
	applies, refusals, restores metric.Int64Counter
}

// newMeters creates the metrics on meter. With a nil meter nothing is recorded. The errors
// of the constructors are ignored because only an invalid name causes one.
func newMeters(meter metric.Meter, version func() identifier.BundleVersion) meters {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("bundler")
	}
	var m meters
	m.applies, _ = meter.Int64Counter("bundler.applied", metric.WithDescription("bundles that came into force"))
	m.refusals, _ = meter.Int64Counter("bundler.refused", metric.WithDescription("documents that were not applied"))
	m.restores, _ = meter.Int64Counter("bundler.restored", metric.WithDescription("bundles written back to the platform"))
	_, _ = meter.Int64ObservableGauge("bundler.version", metric.WithDescription("version in force, 0 for none"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(version()))
			return nil
		}))
	return m
}

func (m meters) countApplied() { m.applies.Add(context.Background(), 1) }

func (m meters) countRestored(ctx context.Context) { m.restores.Add(ctx, 1) }

func (m meters) countRefused(r Refuse) {
	from := "peer"
	if r.From == "" {
		from = "platform"
	}
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("from", from), attribute.Bool("alarm", r.Alarm)))
}
