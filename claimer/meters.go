package claimer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// meters counts what a Claimer decides and stores.
type meters struct {
	decisions   metric.Int64Counter
	settlements metric.Int64Counter
}

// newMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newMeters(m metric.Meter, unsettled func() int) meters {
	decisions, _ := m.Int64Counter("claimer.decisions", metric.WithDescription("Decisions on calls with an Idempotency-Key, by decision."))
	settlements, _ := m.Int64Counter("claimer.settlements", metric.WithDescription("Results of dispatched calls, by result and by whether they were stored at once."))
	_, _ = m.Int64ObservableGauge("claimer.unsettled",
		metric.WithDescription("Claims whose result or removal could not be stored yet."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(unsettled()))
			return nil
		}))
	return meters{decisions: decisions, settlements: settlements}
}

// countDecision counts d.
func (m meters) countDecision(ctx context.Context, d Decision) {
	m.decisions.Add(ctx, 1, metric.WithAttributes(attribute.String("decision", decisionName(d))))
}

// countSettlement counts a settlement.
func (m meters) countSettlement(ctx context.Context, r Result, err error) {
	m.settlements.Add(ctx, 1, metric.WithAttributes(
		attribute.String("result", resultName(r)), attribute.Bool("stored", err == nil)))
}

// decisionName returns the name of d in metrics.
func decisionName(d Decision) string {
	switch d := d.(type) {
	case Granted:
		return "granted"
	case Replay:
		return "replay:" + resultName(d.Result)
	case Open:
		return "open"
	case Mismatch:
		return "mismatch"
	case Expired:
		return "expired"
	}
	return "unavailable"
}

// resultName returns the name of r in metrics and in stored claims.
func resultName(r Result) string {
	switch r.(type) {
	case Answered:
		return "answered"
	case NotRun:
		return "notRun"
	case Unknown:
		return "unknown"
	}
	return "open"
}
