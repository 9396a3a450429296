package linker

import (
	"context"
	"net"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"amaranthmill/router"
)

// metrics holds the counters of sessions, connections and forwarded requests.
type metrics struct {
	sent     metric.Int64Counter // bytes
	received metric.Int64Counter // bytes
	writes   metric.Int64Counter // calls of Write on connections
	closed   metric.Int64Counter
	refused  metric.Int64Counter
	requests metric.Int64Counter
}

func newMetrics(l *Linker) (*metrics, error) {
	m := &metrics{}
	for _, c := range []struct {
		counter     *metric.Int64Counter
		name        string
		unit        string
		description string
	}{
		{&m.sent, "linker.sent", "By", "bytes sent on sessions, TLS included"},
		{&m.received, "linker.received", "By", "bytes received on sessions, TLS included"},
		{&m.writes, "linker.sent.writes", "{write}", "writes to the connections of sessions"},
		{&m.closed, "linker.sessions.closed", "{session}", "sessions that this instance closed, by reason"},
		{&m.refused, "linker.peers.refused", "{connection}", "connections refused for their certificate"},
		{&m.requests, "linker.requests", "{request}", "forwarded requests by direction and outcome"},
	} {
		var err error
		*c.counter, err = l.cfg.Meter.Int64Counter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.description))
		if err != nil {
			return nil, err
		}
	}
	return m, m.observe(l)
}

// observe registers the gauges of sessions and peers.
func (m *metrics) observe(l *Linker) error {
	_, err := l.cfg.Meter.Int64ObservableGauge(
		"linker.peers",
		metric.WithUnit("{peer}"),
		metric.WithDescription("known peers by failure domain and reachability"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			counts := map[attribute.Set]int64{}
			for _, p := range l.Peers() {
				counts[attribute.NewSet(
					attribute.String("failureDomain", string(p.FailureDomain)),
					attribute.Bool("reachable", p.Reachable),
				)]++
			}
			for set, n := range counts {
				o.Observe(n, metric.WithAttributeSet(set))
			}
			return nil
		}))
	return err
}

func (m *metrics) countClosed(ctx context.Context, reason string) {
	m.closed.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", reason)))
}

func (m *metrics) countRefused(ctx context.Context) { m.refused.Add(ctx, 1) }

// countRequest counts a forwarded request; direction is "sent" or "served".
func (m *metrics) countRequest(ctx context.Context, direction string, outcome router.Outcome) {
	name := "unknown"
	switch outcome.(type) {
	case router.Answered:
		name = "answered"
	case router.NotRun:
		name = "notRun"
	}
	m.requests.Add(ctx, 1, metric.WithAttributes(
		attribute.String("direction", direction),
		attribute.String("outcome", name),
	))
}

// countedConn counts the bytes and writes of a connection below TLS.
type countedConn struct {
	net.Conn
	metrics *metrics
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.metrics.received.Add(context.Background(), int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.metrics.sent.Add(context.Background(), int64(n))
	c.metrics.writes.Add(context.Background(), 1)
	return n, err
}
