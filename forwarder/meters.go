package forwarder

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// mostRoutes bounds the routes that have series of their own; all others share one.
const mostRoutes = 200

// otherRoutes is the route label of requests whose routes have no series of their own.
const otherRoutes = "other"

// meters counts requests and times their parts.
type meters struct {
	domain   attribute.KeyValue
	requests metric.Int64Counter
	refusals metric.Int64Counter
	attempts metric.Int64Counter
	stalls   metric.Int64Counter
	duration metric.Float64Histogram
	queued   metric.Float64Histogram
	first    metric.Float64Histogram
	gap      metric.Float64Histogram
	under    metric.Int64UpDownCounter

	mu     sync.Mutex // guards the fields below
	routes map[string]bool
	budget map[identifier.Service]float64
}

// newMeters registers the instruments with m. A failed registration leaves one that records nothing.
func newMeters(m metric.Meter, domain identifier.FailureDomain) *meters {
	if m == nil {
		m = noop.NewMeterProvider().Meter("forwarder")
	}
	out := &meters{domain: attribute.String("failureDomain", string(domain)), routes: map[string]bool{}, budget: map[identifier.Service]float64{}}
	out.requests, _ = m.Int64Counter("forwarder.requests", metric.WithDescription("Requests by route, kind, outcome and reason."))
	out.refusals, _ = m.Int64Counter("forwarder.refusals", metric.WithDescription("Requests refused before they were placed, by status and reason."))
	out.attempts, _ = m.Int64Counter("forwarder.attempts", metric.WithDescription("Attempts at endpoints by pool and ending."))
	out.stalls, _ = m.Int64Counter("forwarder.stalls", metric.WithDescription("Targets whose requests stood still, by pool."))
	out.duration, _ = m.Float64Histogram("forwarder.request.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its outcome."))
	out.queued, _ = m.Float64Histogram("forwarder.queue.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its first attempt, of requests that waited."))
	out.first, _ = m.Float64Histogram("forwarder.first.duration", metric.WithUnit("s"), metric.WithDescription("Time from a stream's arrival to its first event."))
	out.gap, _ = m.Float64Histogram("forwarder.gap.duration", metric.WithUnit("s"), metric.WithDescription("Longest pause between two events of a stream."))
	out.under, _ = m.Int64UpDownCounter("forwarder.requests.running", metric.WithDescription("Requests that wait or run."))
	_, _ = m.Float64ObservableGauge("forwarder.retry.budget", metric.WithDescription("Repeats that this instance may still make, by service."),
		metric.WithFloat64Callback(out.observeBudget))
	return out
}

func (m *meters) observeBudget(_ context.Context, o metric.Float64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, left := range m.budget {
		o.Observe(left, metric.WithAttributes(m.domain, attribute.String("service", string(service))))
	}
	return nil
}

// setBudget notes the repeats that are left for a service.
func (m *meters) setBudget(s identifier.Service, left float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget[s] = left
}

// route returns the label of a route.
func (m *meters) route(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[name] && len(m.routes) >= mostRoutes {
		return otherRoutes
	}
	m.routes[name] = true
	return name
}

func (m *meters) refused(status int, reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(m.domain, attribute.Int("status", status), attribute.String("reason", reason)))
}

func (m *meters) arrived(n int64) {
	m.under.Add(context.Background(), n, metric.WithAttributes(m.domain))
}

func (m *meters) attempted(x *exchange, end scheduler.Ending) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(m.domain, pool(x.pool), attribute.String("ending", scheduler.EndingName(end))))
}

func (m *meters) stalled(t *scheduler.Target) {
	m.stalls.Add(context.Background(), 1, metric.WithAttributes(m.domain, pool(t.Pool)))
}

func pool(p identifier.Pool) attribute.KeyValue { return attribute.String("pool", string(p)) }

// waited notes how long a request waited before its first attempt.
func (m *meters) waited(x *exchange) {
	m.queued.Record(context.Background(), time.Since(x.arrived).Seconds(), metric.WithAttributes(m.domain, pool(x.pool)))
}

func (m *meters) finished(x *exchange, o scheduler.Outcome) {
	outcome, reason := outcomeName(o)
	ctx := context.Background()
	attributes := metric.WithAttributes(
		m.domain, attribute.String("route", m.route(x.match.Route.Name)), attribute.String("kind", x.match.Route.Kind.String()),
		attribute.String("outcome", outcome), attribute.String("reason", string(reason)))
	m.requests.Add(ctx, 1, attributes)
	m.duration.Record(ctx, time.Since(x.arrived).Seconds(), metric.WithAttributes(m.domain, pool(x.pool), attribute.String("outcome", outcome)))
	if !x.relay.firstAt.IsZero() {
		m.first.Record(ctx, x.relay.firstAt.Sub(x.arrived).Seconds(), metric.WithAttributes(m.domain, pool(x.pool)))
		m.gap.Record(ctx, x.relay.longest.Seconds(), metric.WithAttributes(m.domain, pool(x.pool)))
	}
}
