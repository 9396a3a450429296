package hosted_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/standin/hosted"
)

// TestExplain guards against an instance that does not answer an operator's query for an explanation, or whose answer does
// not hold what the instance knows of route, pool and evacuations.
func TestExplain(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2)
	operator := messenger.Operator{HTTP: http.DefaultClient}
	q := forwarder.Query{Host: hosted.Host, Path: "/guides/brief", Method: http.MethodPost, Key: hosted.APIKey, Model: "small", PromptTokens: 100}
	for _, i := range f.instances {
		e, err := operator.Explain(t.Context(), i.peers, q)
		is.NoErr(err)
		is.Equal(e.Instance, identifier.Instance(i.name))
		is.True(e.Refusal == nil)
		is.True(e.Version > 0)
		is.Equal(len(e.Services), 1)
		s := e.Services[0]
		is.Equal(s.Decision.Outcome, messenger.ExplainedSent)
		is.Equal(s.Decision.Endpoint, s.Candidates[0].Endpoint)
		is.True(f.engine(string(s.Decision.Endpoint)).IsHead())
	}
	f.platform.Store.Put("op/evacuate/here", struct{}{})
	for _, i := range f.instances {
		f.await("the evacuation in the explanation of "+i.name, func() bool {
			e, err := operator.Explain(t.Context(), i.peers, q)
			return err == nil && len(e.EvacuatedDomains) == 1 && e.Services[0].Decision.Reason == "evacuated" && e.Services[0].Decision.Outcome == messenger.ExplainedRefused
		})
	}
}
