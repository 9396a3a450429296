package messenger_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
	"amaranthmill/messenger"
)

// TestDemandIsReported checks that a demand report reaches the instance that forms groups, and no other one, and that a
// malformed one is refused.
func TestDemandIsReported(t *testing.T) {
	is := is.New(t)
	received := make(chan groupformer.DemandReported, 4)
	leader := messenger.New(messenger.Config{Peers: &messenger.Peers{}, OnDemand: func(r groupformer.DemandReported) { received <- r }})
	s := httptest.NewServer(leader.Handler())
	defer s.Close()
	var peers messenger.Peers
	peers.Set(messenger.Peer{Instance: "alpine-1", Address: netip.MustParseAddrPort(s.Listener.Addr().String())})
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})
	report := groupformer.DemandReported{Instance: "marfa-1", FailureDomain: "marfa", Elapsed: 2 * time.Second, Models: []groupformer.ModelDemand{
		{Service: "guides", Model: "m0", Requests: 5, Prompts: 4, PromptTokens: 800, Answers: 3, AnswerTokens: 90}, {Service: "guides", Model: "m1"},
	}}
	m.ReportDemand(t.Context(), "alpine-1", report)
	is.Equal(<-received, report)
	m.ReportDemand(t.Context(), "alpine-2", report) // is not known
	is.Equal(len(received), 0)
	for _, body := range []string{`{"instance":"a","elapsed":"0s"}`, `{"elapsed":"2s"}`, `{"instance":"a","elapsed":"2s","models":[{"requests":-1}]}`, `{`} {
		answer, err := http.Post(s.URL+"/demand", "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(answer.Body.Close())
		is.Equal(answer.StatusCode, http.StatusBadRequest)
	}
	is.Equal(len(received), 0)
}

// TestPeerOfEarlierVersionGetsDemand guards against an instance that fails, or sends the report to all others, when the
// instance that forms groups does not know the path.
func TestPeerOfEarlierVersionGetsDemand(t *testing.T) {
	is := is.New(t)
	calls := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		http.NotFound(w, r)
	}))
	defer s.Close()
	var peers messenger.Peers
	address := netip.MustParseAddrPort(s.Listener.Addr().String())
	peers.Set(messenger.Peer{Instance: "alpine-1", Address: address})
	peers.Set(messenger.Peer{Instance: "alpine-2", Address: address})
	m := messenger.New(messenger.Config{Peers: &peers, HTTP: http.DefaultClient})
	m.ReportDemand(t.Context(), "alpine-1", groupformer.DemandReported{Instance: "marfa-1", Elapsed: time.Second})
	is.Equal(calls, 1)
}
