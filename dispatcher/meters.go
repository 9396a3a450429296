package dispatcher

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/router"
)

// meters holds the instruments that measure requests and attempts.
type meters struct {
	requests metric.Int64Counter
	duration metric.Float64Histogram
	attempts metric.Int64Counter
}

// newMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newMeters(m metric.Meter) meters {
	requests, _ := m.Int64Counter("dispatcher.requests", metric.WithDescription("Requests by outcome and reason."))
	duration, _ := m.Float64Histogram("dispatcher.request.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its outcome, by outcome."))
	attempts, _ := m.Int64Counter("dispatcher.attempts", metric.WithDescription("Attempts at endpoints and peers by ending."))
	return meters{requests: requests, duration: duration, attempts: attempts}
}

func (m meters) recordOutcome(ctx context.Context, o router.Outcome, took time.Duration) {
	outcome, reason := outcomeNames(o)
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome), attribute.String("reason", reason)))
	m.duration.Record(ctx, took.Seconds(), metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (m meters) recordEnding(end router.Ending) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("ending", endingName(end))))
}

// outcomeNames returns the names of an outcome and its reason in metrics.
func outcomeNames(o router.Outcome) (string, string) {
	switch o := o.(type) {
	case router.Answered:
		return "answered", ""
	case router.NotRun:
		return "notRun", o.Reason
	case router.Unknown:
		return "unknown", o.Reason
	}
	return "", ""
}

// endingName returns the name of an ending in metrics and logs.
func endingName(end router.Ending) string {
	switch end.(type) {
	case router.Completed:
		return "whole"
	case router.NotSent:
		return "notSent"
	case router.Refused:
		return "refused"
	case router.Broken:
		return "broken"
	case router.Failed:
		return "failed"
	case router.Mismatched:
		return "mismatched"
	case router.CallerGone:
		return "callerGone"
	case router.Expired:
		return "expired"
	}
	return ""
}
