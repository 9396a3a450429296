package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// TestModelDemandsLeaveOutPlainServices guards against reports of services that run no model, which nobody uses, against counts
// that end up in another field, and against events that count as one token each, which made the demand look five times too low.
func TestModelDemandsLeaveOutPlainServices(t *testing.T) {
	is := is.New(t)
	tokensPerEvent := func(identifier.Service) int { return 5 }
	got := modelDemands([]scheduler.PoolDemand{
		{Pool: "guides/m0", Requests: 5, Prompts: 4, PromptTokens: 300, Answers: 2, AnswerEvents: 18}, {Pool: "ledger", Requests: 7},
	}, tokensPerEvent)
	is.Equal(got, []groupformer.ModelDemand{{Service: "guides", Model: "m0", Requests: 5, Prompts: 4, PromptTokens: 300, Answers: 2, AnswerTokens: 90}})
	is.Equal(len(modelDemands(nil, tokensPerEvent)), 0)
}

// TestDemandIsReportedWithoutWork guards against an instance without requests for models whose silence counts as work, and against
// reports in deployments whose engines do not follow demand.
func TestDemandIsReportedWithoutWork(t *testing.T) {
	is := is.New(t)
	f := newEvacuationFixture(t)
	follows := func(engine *resolver.EngineProfile) bool {
		f.hosted.resolver = &resolver.Resolver{}
		is.True(f.hosted.resolver.Set(&resolver.Configuration{Version: 1, Services: []resolver.Service{{Name: "ledger"}, {Name: "guides", Engine: engine}}}))
		_, ok := f.hosted.demandOf(scheduler.DemandReport{Elapsed: 2 * time.Second, Pools: []scheduler.PoolDemand{{Pool: "ledger", Requests: 7}}})
		return ok
	}
	is.True(!follows(nil))
	is.True(!follows(&resolver.EngineProfile{Slots: 34, Models: []resolver.Model{{Name: "m0"}, {Name: "m1"}}}))
	is.True(follows(&resolver.EngineProfile{Slots: 34, DecodeStep: 6 * time.Millisecond, Models: []resolver.Model{{Name: "m0"}, {Name: "m1"}}}))
}
