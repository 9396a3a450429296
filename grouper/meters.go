package grouper

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// meters are the metrics of a Grouper.
type meters struct {
	decisions, orders, saves metric.Int64Counter
}

// newMeters creates the metrics. If an instrument cannot be created, its values are discarded.
func newMeters(m metric.Meter) meters {
	if m == nil {
		m = noop.NewMeterProvider().Meter("grouper")
	}
	counter := func(name, description string) metric.Int64Counter {
		c, err := m.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			return noop.Int64Counter{}
		}
		return c
	}
	return meters{
		decisions: counter("grouper.decisions", "decisions of the repair policy"),
		orders:    counter("grouper.orders", "orders to endpoints by result"),
		saves:     counter("grouper.saves", "writes of group records by result"),
	}
}

func (m meters) countDecision(ctx context.Context, n Note) {
	m.decisions.Add(ctx, 1, metric.WithAttributes(
		attribute.String("fabricDomain", string(n.FabricDomain)), attribute.String("decision", string(n.Decision))))
}

func (m meters) countOrder(ctx context.Context, o Order, err error) {
	m.orders.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", string(o.Kind)), attribute.Bool("accepted", err == nil)))
}

func (m meters) countSave(ctx context.Context, err error) {
	m.saves.Add(ctx, 1, metric.WithAttributes(attribute.Bool("saved", err == nil)))
}
