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

// maxRouteLabels is the maximum number of routes with a time series of their own. All other
// routes share one series.
const maxRouteLabels = 200

// otherRouteLabel is the route label of routes without a series of their own.
const otherRouteLabel = "other"

// meters holds the instruments that count and time requests and attempts.
type meters struct {
	domain     attribute.KeyValue
	requests   metric.Int64Counter
	refusals   metric.Int64Counter
	attempts   metric.Int64Counter
	stalls     metric.Int64Counter
	leaving    metric.Int64Counter
	duration   metric.Float64Histogram
	queued     metric.Float64Histogram
	firstEvent metric.Float64Histogram
	gap        metric.Float64Histogram
	running    metric.Int64UpDownCounter
	hops       metric.Int64Counter
	coldSkips  metric.Int64Counter

	mu      sync.Mutex // guards the fields below
	routes  map[string]bool
	budget  map[identifier.Service]float64
	limited int64 // processes that name a limit
	cold    int64 // processes that are cold
	cutOff  int64 // 1 while the instance is cut off from most endpoints
}

// newMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newMeters(m metric.Meter, domain identifier.FailureDomain) *meters {
	if m == nil {
		m = noop.NewMeterProvider().Meter("forwarder")
	}
	out := &meters{domain: attribute.String("failureDomain", string(domain)), routes: map[string]bool{}, budget: map[identifier.Service]float64{}}
	out.requests, _ = m.Int64Counter("forwarder.requests", metric.WithDescription("Requests by route, kind, outcome and reason."))
	out.refusals, _ = m.Int64Counter("forwarder.refusals", metric.WithDescription("Requests refused before they were placed, by status and reason."))
	out.attempts, _ = m.Int64Counter("forwarder.attempts", metric.WithDescription("Attempts at endpoints by pool and ending."))
	out.stalls, _ = m.Int64Counter("forwarder.stalls", metric.WithDescription("Targets whose requests stood still, by pool."))
	out.leaving, _ = m.Int64Counter("forwarder.leaving", metric.WithDescription("Processes of endpoints that said in an answer that they leave."))
	out.duration, _ = m.Float64Histogram("forwarder.request.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its outcome."))
	out.queued, _ = m.Float64Histogram("forwarder.queue.duration", metric.WithUnit("s"), metric.WithDescription("Time from a request's arrival to its first attempt, of requests that waited."))
	out.firstEvent, _ = m.Float64Histogram("forwarder.first.duration", metric.WithUnit("s"), metric.WithDescription("Time from a stream's arrival to its first event."))
	out.gap, _ = m.Float64Histogram("forwarder.gap.duration", metric.WithUnit("s"), metric.WithDescription("Longest pause between two events of a stream."))
	out.running, _ = m.Int64UpDownCounter("forwarder.requests.running", metric.WithDescription("Requests that wait or run."))
	out.hops, _ = m.Int64Counter("forwarder.hops", metric.WithDescription("Requests sent through peers (sent), and requests of peers (served), by ending."))
	_, _ = m.Float64ObservableGauge("forwarder.retry.budget", metric.WithDescription("Repeats that this instance may still make, by service."),
		metric.WithFloat64Callback(out.observeBudget))
	_, _ = m.Int64ObservableGauge("forwarder.limited", metric.WithDescription("Processes of endpoints that name a limit of requests per second."),
		metric.WithInt64Callback(out.observeLimited))
	out.registerCold(m)
	_, _ = m.Int64ObservableGauge("forwarder.cut.off", metric.WithDescription("1 while this instance is cut off from most endpoints that it has tried, else 0."),
		metric.WithInt64Callback(out.observeCutOff))
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

func (m *meters) observeLimited(_ context.Context, o metric.Int64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.Observe(m.limited, metric.WithAttributes(m.domain))
	return nil
}

// setLimited records the number of processes that name a limit.
func (m *meters) setLimited(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limited = int64(n)
}

func (m *meters) observeCutOff(_ context.Context, o metric.Int64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	o.Observe(m.cutOff, metric.WithAttributes(m.domain))
	return nil
}

// setCutOff records whether the instance is cut off from most endpoints.
func (m *meters) setCutOff(isCutOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cutOff = 0
	if isCutOff {
		m.cutOff = 1
	}
}

// setBudget records the number of retries left for a service.
func (m *meters) setBudget(s identifier.Service, left float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget[s] = left
}

// routeLabel returns the label of a route.
func (m *meters) routeLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.routes[name] && len(m.routes) >= maxRouteLabels {
		return otherRouteLabel
	}
	m.routes[name] = true
	return name
}

func (m *meters) countRefusal(status int, reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(m.domain, attribute.Int("status", status), attribute.String("reason", reason)))
}

func (m *meters) addRunning(n int64) {
	m.running.Add(context.Background(), n, metric.WithAttributes(m.domain))
}

func (m *meters) countAttempt(x *exchange, end scheduler.Ending) {
	m.attempts.Add(context.Background(), 1, metric.WithAttributes(m.domain, poolAttribute(x.pool), attribute.String("ending", scheduler.EndingName(end))))
}

// Sides of an exchange with a peer.
const (
	hopSent   = "sent"   // at the instance that accepted the request
	hopServed = "served" // at the peer
)

func (m *meters) countHop(side string, end scheduler.Ending) {
	m.hops.Add(context.Background(), 1, metric.WithAttributes(m.domain, attribute.String("side", side), attribute.String("ending", scheduler.EndingName(end))))
}

// endingOf returns what the outcome of a request of a peer is to that peer.
func endingOf(o scheduler.Outcome) scheduler.Ending {
	switch o := o.(type) {
	case scheduler.Delivered:
		return scheduler.Completed{}
	case scheduler.PassedThrough:
		return scheduler.Failed{Status: o.Status}
	case scheduler.NotRun:
		return scheduler.PeerRefused{Reason: o.Reason, RetryAfter: o.RetryAfter}
	case scheduler.CallerGone:
		return scheduler.Abandoned{}
	}
	return scheduler.Broken{}
}

func (m *meters) countStall(t *scheduler.Target) {
	m.stalls.Add(context.Background(), 1, metric.WithAttributes(m.domain, poolAttribute(t.Pool)))
}

func (m *meters) countLeaving() {
	m.leaving.Add(context.Background(), 1, metric.WithAttributes(m.domain))
}

func poolAttribute(p identifier.Pool) attribute.KeyValue { return attribute.String("pool", string(p)) }

// recordQueueTime records the time that a request waited before its first attempt.
func (m *meters) recordQueueTime(x *exchange) {
	m.queued.Record(context.Background(), time.Since(x.arrivedAt).Seconds(), metric.WithAttributes(m.domain, poolAttribute(x.pool)))
}

func (m *meters) recordOutcome(x *exchange, o scheduler.Outcome) {
	outcome, reason := outcomeName(o)
	ctx := context.Background()
	attributes := metric.WithAttributes(
		m.domain, attribute.String("route", m.routeLabel(x.match.Route.Name)), attribute.String("kind", x.match.Route.Kind.String()),
		attribute.String("outcome", outcome), attribute.String("reason", string(reason)))
	m.requests.Add(ctx, 1, attributes)
	m.duration.Record(ctx, time.Since(x.arrivedAt).Seconds(), metric.WithAttributes(m.domain, poolAttribute(x.pool), attribute.String("outcome", outcome)))
	if !x.relay.firstEventAt.IsZero() {
		m.firstEvent.Record(ctx, x.relay.firstEventAt.Sub(x.arrivedAt).Seconds(), metric.WithAttributes(m.domain, poolAttribute(x.pool)))
		m.gap.Record(ctx, x.relay.longestGap.Seconds(), metric.WithAttributes(m.domain, poolAttribute(x.pool)))
	}
}
