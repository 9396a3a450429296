package storeclient

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// meters counts the calls of a Client.
type meters struct {
	calls    metric.Int64Counter
	duration metric.Float64Histogram

	restores    metric.Int64Counter
	foreignEras metric.Int64Counter
}

// newMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newMeters(m metric.Meter, circuitOpen func() bool) meters {
	calls, _ := m.Int64Counter("keeper.calls", metric.WithDescription("Attempts of calls to the platform's service, by kind and result."))
	duration, _ := m.Float64Histogram("keeper.call.duration", metric.WithUnit("s"), metric.WithDescription("Time of an attempt, from its sending to its answer."))
	_, _ = m.Int64ObservableGauge("keeper.circuit.open",
		metric.WithDescription("1 while calls fail at once because those before them failed."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(btoi(circuitOpen())))
			return nil
		}))
	restores, _ := m.Int64Counter("store.restores", metric.WithDescription("Restores of the store from an older copy that this instance has noticed."))
	foreignEras, _ := m.Int64Counter("store.answers.foreign_era", metric.WithDescription("Answers of the store that name no era or an earlier one than an answer before."))
	return meters{calls: calls, duration: duration, restores: restores, foreignEras: foreignEras}
}

// count records one attempt. A refused attempt was not sent and has no duration.
func (m meters) count(ctx context.Context, kind Operation, result string, elapsed time.Duration) {
	attrs := metric.WithAttributes(attribute.String("kind", string(kind)), attribute.String("result", result))
	m.calls.Add(ctx, 1, attrs)
	if result != "refused" {
		m.duration.Record(ctx, elapsed.Seconds(), metric.WithAttributes(attribute.String("kind", string(kind))))
	}
}

// resultName returns the name of an attempt's result in metrics.
func resultName(a answer, err error) string {
	switch {
	case err != nil:
		return "failed"
	case a.Result == ResultConflict:
		return "conflict"
	case a.Result == ResultNotFound, a.Result == ResultNoLease:
		return "notFound"
	case a.Result == ResultCompacted:
		return "compacted"
	case a.Result == ResultBusy:
		return "busy"
	case a.Result == ResultRefused, a.Result == ResultFailed:
		return "failed"
	}
	return "ok"
}

// btoi returns 1 for true and 0 for false.
func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
