package runner

import (
	"context"
	"time"

	"amaranthmill/replicator"
	"amaranthmill/resolver"
	"amaranthmill/storeclient"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// configurationChange is a change of the operator's configuration and where this instance has it from.
type configurationChange struct {
	storeclient.Change
	origin    replicator.Origin
	arrivedAt time.Time // when it began to wait; zero if it does not wait
}

// log adds to a line where the change comes from.
func (c configurationChange) log(line *zerolog.Event) *zerolog.Event {
	line = line.Uint64("revision", c.Revision).EmbedObject(c.origin)
	if !c.arrivedAt.IsZero() {
		line = line.Dur("waited", time.Since(c.arrivedAt))
	}
	return line
}

// configurationMeters holds the metrics of the configuration.
type configurationMeters struct{ ignored metric.Int64Counter }

// newConfigurationMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newConfigurationMeters(m metric.Meter, r *resolver.Resolver) configurationMeters {
	_, _ = m.Int64ObservableGauge("configuration.version", metric.WithDescription("Version of the configuration in force; zero for none."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(r.Version()))
			return nil
		}))
	ignored, _ := m.Int64Counter("configuration.ignored",
		metric.WithDescription("Configurations that were not put in force, by reason: notNewer, superseded, malformed or deleted."))
	return configurationMeters{ignored: ignored}
}

func (m configurationMeters) countIgnored(reason string, count int) {
	m.ignored.Add(context.Background(), int64(count), metric.WithAttributes(attribute.String("reason", reason)))
}

// applyConfiguration puts the operator's configuration in force. If the entry was deleted or
// can't be decoded, the configuration in force stays. It returns whether the configuration was put in force.
// v.mu is held.
func (v *view) applyConfiguration(c configurationChange) bool {
	if c.Deleted {
		v.configurations.countIgnored("deleted", 1)
		c.log(v.hosted.logger.Warn()).Msg("configuration was deleted from the store, the one in force stays")
		return false
	}
	configuration, err := v.decoder.Decode(c.Value)
	if err != nil {
		v.configurations.countIgnored("malformed", 1)
		c.log(v.hosted.logger.Error().Err(err)).Msg("configuration can't be decoded, the one in force stays")
		return false
	}
	if !v.hosted.resolver.Set(configuration) {
		v.configurations.countIgnored("notNewer", 1)
		c.log(v.hosted.logger.Info()).Uint64("version", uint64(configuration.Version)).Uint64("inForce", uint64(v.hosted.resolver.Version())).
			Msg("configuration is not newer than the one in force, which stays")
		return false
	}
	c.log(v.hosted.logger.Info()).Uint64("version", uint64(configuration.Version)).
		Int("routes", len(configuration.Routes)).Int("accounts", len(configuration.Accounts)).Msg("configuration in force")
	v.hosted.groupFormer.setServices(configuration.Services)
	v.hosted.forwarder.ChangeTargets(v.targets.SetServices(configuration.Services))
	return true
}

// countSuperseded counts and logs configurations that waited when a later one was put in force. v.mu is held.
func (v *view) countSuperseded(waiting []configurationChange) {
	v.configurations.countIgnored("superseded", len(waiting))
	for _, c := range waiting {
		c.log(v.hosted.logger.Debug()).Msg("configuration is superseded before it was put in force")
	}
}
