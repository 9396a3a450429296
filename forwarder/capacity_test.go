package forwarder_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"amaranthmill/forwarder"
	"amaranthmill/scheduler"
)

// TestLearnedLimitsAreShown guards against learned limits that the operator can't see: streams of a group that were answered give one limit, in
// Capacities and as the gauge.
func TestLearnedLimitsAreShown(t *testing.T) {
	is := is.New(t)
	reader := sdk.NewManualReader()
	x := newFixtureWith(t, func(cfg *forwarder.Config) { cfg.Meter = sdk.NewMeterProvider(sdk.WithReader(reader)).Meter("test") })
	x.add(func(w http.ResponseWriter, r *http.Request) { events(w, r, 2, false) })
	x.targets[0].Group = "g1"
	x.f.ChangeTargets(scheduler.TargetsChanged{Complete: true, Changed: x.targets})
	is.Equal(len(x.f.Capacities()), 0) // nothing is learned yet
	for i := range 10 {
		body(x.get("/stream/1", "Id", strconv.Itoa(i)))
	}
	for deadline := time.Now().Add(5 * time.Second); len(x.f.Capacities()) == 0 && time.Now().Before(deadline); {
		body(x.get("/stream/1", "Id", strconv.FormatInt(time.Now().UnixNano(), 10)))
	}
	list := x.f.Capacities()
	is.Equal(len(list), 1)
	is.Equal(string(list[0].Target.ID), "e0")
	is.Equal(list[0].LatencyGoal, time.Second)
	is.True(list[0].Limit > 0)

	var out metricdata.ResourceMetrics
	is.NoErr(reader.Collect(t.Context(), &out))
	points := 0
	for _, m := range out.ScopeMetrics[0].Metrics {
		if gauge, ok := m.Data.(metricdata.Gauge[float64]); ok && m.Name == "forwarder.capacity" {
			points += len(gauge.DataPoints)
		}
	}
	is.Equal(points, 1)
}
