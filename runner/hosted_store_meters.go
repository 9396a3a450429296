package runner

import (
	"context"
	"time"

	"amaranthmill/replicator"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// storeMeters holds the metrics of this instance's way back to the store after an outage.
type storeMeters struct {
	recovery metric.Float64Histogram
}

// newStoreMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newStoreMeters(m metric.Meter) *storeMeters {
	out := &storeMeters{}
	out.recovery, _ = m.Float64Histogram("store.recovery", metric.WithUnit("s"),
		metric.WithDescription("Time from the last call to the store that failed to the first answer, by step: waiting for the next call, and its answer."))
	return out
}

// countHealth records how long the instance took to reach the store again. The path to the store may
// have healed at any time since the last call that failed, so that the sum of the steps is the longest
// time that the recovery may have taken.
func (m *storeMeters) countHealth(now time.Time, h replicator.Health) {
	if h.Lost {
		return
	}
	record := func(step string, d time.Duration) {
		m.recovery.Record(context.Background(), d.Seconds(), metric.WithAttributes(attribute.String("step", step)))
	}
	record("wait", h.Answered.At.Sub(h.Answered.PreviousAt))
	record("answer", now.Sub(h.Answered.At))
}
