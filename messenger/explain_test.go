package messenger_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// TestExplain checks that a query reaches the instance, that its explanation comes back, that a malformed query is refused,
// and that an instance of an older version is told from one that fails.
func TestExplain(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	var asked forwarder.Query
	m := messenger.New(messenger.Config{
		Instance: "marfa-1", FailureDomain: "marfa", Peers: &messenger.Peers{},
		Evacuations: func() []messenger.Evacuation { return []messenger.Evacuation{{FailureDomain: "laredo"}} },
		Explain: func(q forwarder.Query) forwarder.Explanation {
			asked = q
			return forwarder.Explanation{At: at, Version: 7, Route: "chat", Services: []forwarder.ServiceExplanation{{Service: "guides", Explanation: scheduler.Explanation{
				Decision:   scheduler.Decision{Reason: scheduler.ReasonFull, Position: 2, ExpectedAt: at.Add(240 * time.Millisecond), GivenUpAt: at.Add(time.Second)},
				Candidates: []scheduler.Candidate{{Target: &scheduler.Target{ID: "i-1"}, Obstacle: scheduler.ObstacleFull, LoadAge: -1}},
			}}}}
		},
	})
	s := httptest.NewServer(m.Handler())
	defer s.Close()
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	q := forwarder.Query{Host: "api.example.org", Path: "/v1/chat", Method: "POST", Account: "observatory", Model: "m1", PromptTokens: 800}
	operator := messenger.Operator{HTTP: http.DefaultClient}
	e, err := operator.Explain(t.Context(), address, q)
	is.NoErr(err)
	is.Equal(asked, q)
	is.Equal(e.Instance, identifier.Instance("marfa-1"))
	is.Equal(e.EvacuatedDomains, []identifier.FailureDomain{"laredo"})
	is.Equal(e.Services[0].Decision, messenger.ExplainedDecision{
		Outcome: messenger.ExplainedWaits, Reason: scheduler.ReasonFull, Position: 2, ExpectedIn: formatter.Duration(240 * time.Millisecond), GivenUpIn: formatter.Duration(time.Second),
	})
	is.Equal(e.Services[0].Candidates[0].Obstacle, scheduler.ObstacleFull)
	is.True(e.Services[0].Candidates[0].LoadReportAge == nil) // it has reported none

	for _, body := range []string{"{", `{"path":"/"}`, `{"host":"a"}`, `{"host":"a","path":"/","promptTokens":-1}`} {
		answer, err := http.Post(s.URL+"/explain", "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(answer.StatusCode, http.StatusBadRequest)
	}
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	_, err = operator.Explain(t.Context(), netip.MustParseAddrPort(old.Listener.Addr().String()), q)
	var status *messenger.StatusError
	is.True(errors.As(err, &status) && status.Status == http.StatusNotFound)
}
