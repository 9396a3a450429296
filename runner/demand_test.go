package runner

import (
	"testing"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
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
