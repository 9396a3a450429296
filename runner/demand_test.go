package runner

import (
	"testing"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/scheduler"
)

// TestModelDemandsLeaveOutPlainServices guards against reports of services that run no model, which nobody uses, and against counts
// that end up in another field.
func TestModelDemandsLeaveOutPlainServices(t *testing.T) {
	is := is.New(t)
	got := modelDemands([]scheduler.PoolDemand{
		{Pool: "guides/m0", Requests: 5, Prompts: 4, PromptTokens: 300, Answers: 2, AnswerTokens: 90}, {Pool: "ledger", Requests: 7},
	})
	is.Equal(got, []groupformer.ModelDemand{{Service: "guides", Model: "m0", Requests: 5, Prompts: 4, PromptTokens: 300, Answers: 2, AnswerTokens: 90}})
	is.Equal(len(modelDemands(nil)), 0)
}
