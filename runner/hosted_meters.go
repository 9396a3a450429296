package runner

import (
	"context"
	"sync"

	"amaranthmill/groupformer"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// groupFormerMeters holds the metrics of the instance that forms groups.
type groupFormerMeters struct {
	orders        metric.Int64Counter
	reportQueries metric.Int64Counter
	groupDowntime metric.Float64Counter
	shareChanges  metric.Int64Counter
	demandReports metric.Int64Counter

	mu     sync.Mutex // guards counts
	counts map[string]groupformer.GroupCounts
}

// newGroupFormerMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newGroupFormerMeters(m metric.Meter) *groupFormerMeters {
	out := &groupFormerMeters{counts: map[string]groupformer.GroupCounts{}}
	out.orders, _ = m.Int64Counter("former.orders", metric.WithDescription("Orders to engines by operation and result."))
	out.reportQueries, _ = m.Int64Counter("former.asks", metric.WithDescription("Engines asked for their report, by reason."))
	out.groupDowntime, _ = m.Float64Counter("former.missing", metric.WithUnit("s"), metric.WithDescription("Group downtime: seconds times the groups that a model has too few."))
	out.shareChanges, _ = m.Int64Counter("former.shares", metric.WithDescription("Changes of a model's share of the engines by more than a tenth because of demand."))
	out.demandReports, _ = m.Int64Counter("former.reports", metric.WithDescription("Reports of the work that arrived at this instance or a peer."))
	_, _ = m.Float64ObservableGauge("former.demand", metric.WithDescription("Engines that the present work of a model needs, at the instance that forms groups; zero if it is not known."),
		metric.WithFloat64Callback(out.observeDemand))
	_, _ = m.Int64ObservableGauge("former.groups", metric.WithDescription("Groups by model and state, at the instance that forms them."),
		metric.WithInt64Callback(out.observe))
	return out
}

func (m *groupFormerMeters) observe(_ context.Context, o metric.Int64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.counts {
		for state, n := range map[string]int{"serving": s.Serving, "forming": s.Forming, "dissolving": s.Dissolving} {
			o.Observe(int64(n), metric.WithAttributes(attribute.String("model", s.Model), attribute.String("state", state)))
		}
	}
	return nil
}

func (m *groupFormerMeters) observeDemand(_ context.Context, o metric.Float64Observer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.counts {
		o.Observe(s.Demand, metric.WithAttributes(attribute.String("model", s.Model)))
	}
	return nil
}

// countShareChange counts a change of a model's share of the engines.
func (m *groupFormerMeters) countShareChange(model string) {
	m.shareChanges.Add(context.Background(), 1, metric.WithAttributes(attribute.String("model", model)))
}

// setCounts records the number of groups of a model. It must be called once a second for each
// model, because each call adds the missing groups to the group downtime as one second each.
func (m *groupFormerMeters) setCounts(s groupformer.GroupCounts) {
	m.mu.Lock()
	m.counts[s.Model] = s
	m.mu.Unlock()
	if missingGroups := s.TargetGroups - float64(s.Serving); missingGroups > 0 {
		m.groupDowntime.Add(context.Background(), missingGroups, metric.WithAttributes(attribute.String("model", s.Model)))
	}
}

func (m *groupFormerMeters) countOrder(o groupformer.Operation, r groupformer.Result) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("order", groupformer.OperationName(o)), attribute.Stringer("result", r)))
}

func (m *groupFormerMeters) countReportQuery(reason string) {
	m.reportQueries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", reason)))
}
