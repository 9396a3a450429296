package runner

import (
	"context"
	"time"

	"amaranthmill/messenger"
	"amaranthmill/replicator"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// replicaValues gives peers access to the large values of the replica, which is created after the messenger.
func (h *hosted) replicaValues() messenger.Values {
	return messenger.Values{
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (replicator.PeerChanges, error) {
			return h.replica.WatchReferences(ctx, after, wait)
		},
		UpdateWithReferences: func(after uint64) replicator.Update { return h.replica.UpdateWithReferences(after) },
		Value: func(ctx context.Context, key string, revision, base uint64, wait time.Duration) (replicator.Value, error) {
			return h.replica.Value(ctx, key, revision, base, wait)
		},
	}
}

// valueMeters holds the metrics of large values that instances exchange.
type valueMeters struct {
	bytes metric.Int64Counter
	wait  metric.Float64Histogram
}

// newValueMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newValueMeters(m metric.Meter) *valueMeters {
	out := &valueMeters{}
	out.bytes, _ = m.Int64Counter("values.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of large values, compressed, sent to and received from peers, by direction and kind: whole or difference."))
	out.wait, _ = m.Float64Histogram("values.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from the reference to a new version of a large value until the value is there."))
	return out
}

func (m *valueMeters) countTransfer(t messenger.ValueTransfer) {
	direction, kind := "received", "whole"
	if t.Sent {
		direction = "sent"
	}
	if t.Difference {
		kind = "difference"
	}
	m.bytes.Add(context.Background(), int64(t.Bytes), metric.WithAttributes(attribute.String("direction", direction), attribute.String("kind", kind)))
}

func (m *valueMeters) countArrival(a replicator.ValueArrival) {
	m.wait.Record(context.Background(), a.Wait.Seconds())
}
