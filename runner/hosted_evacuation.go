package runner

import (
	"context"
	"slices"
	"time"

	"amaranthmill/evacuator"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/platform"
	"amaranthmill/storeclient"

	"go.opentelemetry.io/otel/metric"
)

// registerEvacuationGauge registers the gauge of evacuated failure domains with m. A gauge whose registration fails records
// nothing.
func (v *view) registerEvacuationGauge(m metric.Meter) {
	_, _ = m.Int64ObservableGauge("evacuated_failure_domains", metric.WithDescription("Failure domains to whose endpoints the instance sends no requests."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(len(v.listEvacuations())))
			return nil
		}))
}

// isEvacuationKey reports whether key is the key of an evacuation.
func isEvacuationKey(key string) bool {
	_, ok := platform.ParseEvacuationKey(key)
	return ok
}

// beginEvacuations applies the changes of evacuations in a batch, except that no evacuation ends before endEvacuations: the
// list of endpoints of the same batch is published in between. It returns the actions. v.mu is held.
func (v *view) beginEvacuations(changes []storeclient.Change) []evacuator.Action {
	domains := v.evacuator.Domains()
	var actions []evacuator.Action
	for _, c := range changes {
		if domain, ok := platform.ParseEvacuationKey(c.Key); ok {
			actions = append(actions, v.evacuator.Step(time.Now(), evacuationEvent(domain, c))...)
		}
	}
	for _, a := range actions {
		if begun, ok := a.(evacuator.Evacuated); ok {
			domains = append(domains, begun.Domain)
		}
	}
	v.setEvacuated(domains)
	return actions
}

// evacuationEvent returns the event of a change of the entry for a failure domain.
func evacuationEvent(domain identifier.FailureDomain, c storeclient.Change) evacuator.Event {
	if c.Deleted {
		return evacuator.EntryRemoved{Domain: domain}
	}
	e := evacuator.EntryWritten{Domain: domain, Revision: c.Revision}
	if err := platform.CheckEvacuation(c.Value); err != nil {
		e.Problem = err.Error()
	}
	return e
}

// endEvacuations ends the evacuations that are over after the batch, and logs the changes. v.mu is held.
func (v *view) endEvacuations(actions []evacuator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case evacuator.Evacuated:
			v.logEvacuated(a)
		case evacuator.Restored:
			v.handleRestored(a)
		case evacuator.Rejected:
			v.hosted.logger.Warn().Str("failureDomain", string(a.Domain)).Uint64("revision", a.Revision).Str("problem", a.Problem).Bool("evacuated", a.IsEvacuated).
				Msg("entry of an evacuation is not JSON, the state of the failure domain stays")
		}
	}
	v.setEvacuated(v.evacuator.Domains())
}

func (v *view) logEvacuated(a evacuator.Evacuated) {
	endpoints := v.targets.CountListed(a.Domain)
	v.hosted.logger.Info().Str("failureDomain", string(a.Domain)).Int("endpoints", endpoints).Msg("failure domain evacuated")
	if endpoints == 0 {
		v.hosted.logger.Warn().Str("failureDomain", string(a.Domain)).Msg("evacuated failure domain has no listed endpoints, the evacuation applies to those that are listed later")
	}
}

// setEvacuated replaces the evacuated failure domains of the components. A domain may be named twice. v.mu is held.
func (v *view) setEvacuated(domains []identifier.FailureDomain) {
	slices.Sort(domains)
	domains = slices.Compact(domains)
	if slices.Equal(domains, v.evacuated) {
		return
	}
	v.evacuated = domains
	if targets := v.targets.SetEvacuated(domains); len(targets.Changed) > 0 {
		v.hosted.forwarder.ChangeTargets(targets)
	}
	v.hosted.groupFormer.step.Submit(groupformer.EvacuationChanged{Domains: slices.Clone(domains)})
}

// listEvacuations returns the evacuated failure domains with the number of their listed endpoints.
func (v *view) listEvacuations() []messenger.Evacuation {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []messenger.Evacuation
	for _, e := range v.evacuator.Evacuations() {
		out = append(out, messenger.Evacuation{FailureDomain: e.Domain, Since: e.Since, Endpoints: v.targets.CountListed(e.Domain)})
	}
	return out
}
