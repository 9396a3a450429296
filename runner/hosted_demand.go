package runner

import (
	"context"
	"slices"
	"time"

	"amaranthmill/forwarder"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// demandCheckInterval is the time between two looks at whether a demand report is due, by which the report of an instance without
// requests may be late.
const demandCheckInterval = time.Second

// reportDemand reports the work for models that arrived at this instance to the instance that forms groups.
func (h *hosted) reportDemand(r scheduler.DemandReport) {
	report, ok := h.demandOf(r)
	if !ok {
		return
	}
	if holder := h.view.formingHolder(); holder != h.settings.Instance {
		h.messenger.ReportDemand(context.Background(), holder, report)
		return
	}
	h.groupFormer.submitDemand(report)
}

// demandOf returns the work for models in r, or false if the deployment does not need it. A report without work is needed where
// engines follow demand, because an instance that never reports is assumed to get as much work as the others.
func (h *hosted) demandOf(r scheduler.DemandReport) (groupformer.DemandReported, bool) {
	report := groupformer.DemandReported{Instance: h.settings.Instance, FailureDomain: h.settings.FailureDomain, Elapsed: r.Elapsed, Models: modelDemands(r.Pools, h.tokensPerEvent)}
	return report, len(report.Models) > 0 || h.followsDemand()
}

// followsDemand reports whether the engines of a service follow the demand for its models.
func (h *hosted) followsDemand() bool {
	c := h.resolver.Configuration()
	return c != nil && slices.ContainsFunc(c.Services, func(s resolver.Service) bool { return groupformer.FollowsDemand(s.Engine) })
}

// requestDemand asks for demand reports where engines follow demand, until ctx is done. It returns nil.
func (h *hosted) requestDemand(ctx context.Context) error {
	return runEvery(ctx, demandCheckInterval, func(context.Context) {
		if h.followsDemand() {
			h.forwarder.RequestDemand()
		}
	})
}

// tokensPerEvent returns the number of tokens that an event of a service's streams holds.
func (h *hosted) tokensPerEvent(service identifier.Service) int {
	if s := h.resolver.Service(service); s != nil && s.Engine != nil {
		return max(s.Engine.TokensPerEvent, 1)
	}
	return 1
}

// modelDemands returns the work of the pools that run a model, with the tokens that an event of a service's streams holds.
func modelDemands(pools []scheduler.PoolDemand, tokensPerEvent func(identifier.Service) int) []groupformer.ModelDemand {
	var out []groupformer.ModelDemand
	for _, p := range pools {
		if service, model := forwarder.SplitPool(p.Pool); model != "" {
			out = append(out, groupformer.ModelDemand{
				Service: service, Model: model, Requests: p.Requests, Prompts: p.Prompts, PromptTokens: p.PromptTokens, Answers: p.Answers, AnswerTokens: p.AnswerEvents * tokensPerEvent(service), Judged: p.Judged, MissedGoal: p.MissedGoal,
			})
		}
	}
	return out
}

// submitDemand submits the work that arrived at this instance or at a peer.
func (f *groupFormer) submitDemand(r groupformer.DemandReported) {
	f.meters.demandReports.Add(context.Background(), 1)
	r.Instances = f.hosted.view.countInstances()
	f.step.Submit(r)
}

// logShare logs that demand has changed a model's share of the engines, and why.
func (f *groupFormer) logShare(s groupformer.ShareChanged) {
	f.meters.countShareChange(s.Model)
	f.hosted.logger.Info().Str("service", string(s.Service)).Str("model", s.Model).Float64("before", s.Before).Float64("share", s.Share).Int("groups", s.Groups).
		Int("engines", s.Engines).Float64("largestPart", s.LargestPart).Float64("perSecond", s.RequestsPerSecond).Float64("promptTokens", s.PromptTokens).
		Float64("answerTokens", s.AnswerTokens).Float64("present", s.Present).Float64("loss", s.Loss).Float64("jump", s.Jump).Msg("share of engines changed")
}
