package runner

import (
	"context"
	"sync"

	"amaranthmill/groupformer"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// formingMeters counts what the instance that forms groups does.
type formingMeters struct {
	orders  metric.Int64Counter
	asks    metric.Int64Counter
	missing metric.Float64Counter

	mu       sync.Mutex // guards supplies
	supplies map[string]groupformer.GroupCounts
}

// newFormingMeters registers the instruments with m. A failed registration leaves one that records nothing.
func newFormingMeters(m metric.Meter) *formingMeters {
	out := &formingMeters{supplies: map[string]groupformer.GroupCounts{}}
	out.orders, _ = m.Int64Counter("former.orders", metric.WithDescription("Orders to engines by operation and result."))
	out.asks, _ = m.Int64Counter("former.asks", metric.WithDescription("Engines asked for their report, by reason."))
	out.missing, _ = m.Float64Counter("former.missing", metric.WithUnit("s"), metric.WithDescription("Group downtime: seconds times the groups that a model has too few."))
	_, _ = m.Int64ObservableGauge("former.groups", metric.WithDescription("Groups by model and state, at the instance that forms them."),
		metric.WithInt64Callback(out.observe))
	return out
}

func (m *formingMeters) observe(_ context.Context, o metric.Int64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.supplies {
		for state, n := range map[string]int{"serving": s.Serving, "forming": s.Forming, "dissolving": s.Dissolving} {
			o.Observe(int64(n), metric.WithAttributes(attribute.String("model", s.Model), attribute.String("state", state)))
		}
	}
	return nil
}

// supply takes the groups of a model, once a second.
func (m *formingMeters) supply(s groupformer.GroupCounts) {
	m.mu.Lock()
	m.supplies[s.Model] = s
	m.mu.Unlock()
	if lacking := s.TargetGroups - float64(s.Serving); lacking > 0 {
		m.missing.Add(context.Background(), lacking, metric.WithAttributes(attribute.String("model", s.Model)))
	}
}

func (m *formingMeters) ordered(o groupformer.Operation, r groupformer.Result) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("order", groupformer.OperationName(o)), attribute.Stringer("result", r)))
}

func (m *formingMeters) asked(reason string) {
	m.asks.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
