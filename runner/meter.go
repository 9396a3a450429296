package runner

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// newMeter returns the meter of the instance and the HTTP handler that exposes its metrics.
func newMeter() (metric.Meter, http.Handler, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry))
	if err != nil {
		return nil, nil, eris.Wrap(err, "runner: metrics exporter")
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	return provider.Meter("amaranthmill"), promhttp.HandlerFor(registry, promhttp.HandlerOpts{}), nil
}
