package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// TestExplainNamesWhereARequestGoes compares explanations with what a request gets that is really sent, and checks that an
// explanation sends nothing and counts as no request.
func TestExplainNamesWhereARequestGoes(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	query := forwarder.Query{Host: "127.0.0.1", Path: "/look/1?a=b", Method: "POST", Account: "observatory"}
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Signature", "s")
		_, _ = io.WriteString(w, r.Header.Get("Endpoint"))
	}
	received := x.add(answer)
	other := x.add(answer)
	for i := range 6 {
		before := x.f.Requests()
		e := x.f.Explain(query)
		is.Equal(x.f.Requests(), before)
		is.Equal(received.Load()+other.Load(), int32(before)) // an explanation sends nothing
		is.Equal(e.Version, identifier.BundleVersion(1))
		is.Equal(e.Route, "lookups")
		is.Equal(e.Account, identifier.ClientAccount("observatory"))
		is.Equal(len(e.Services), 1)
		is.Equal(len(e.Services[0].Candidates), 2)
		sentTo := body(x.get("/look/1", "Id", fmt.Sprintf("r%d", i)))
		is.Equal(e.Services[0].Decision.Target.ID, identifier.Endpoint(sentTo)) // the endpoint that got the request
	}
}

// TestExplainWithoutTargetOrRoute checks the explanations of requests that would not be sent.
func TestExplainWithoutTargetOrRoute(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	explain := func(q forwarder.Query) forwarder.Explanation { return x.f.Explain(q) }
	d := explain(forwarder.Query{Host: "127.0.0.1", Path: "/look/1", Key: "k1"}).Services[0].Decision
	is.True(!d.IsSent())
	is.Equal(d.Reason, scheduler.ReasonNoTarget)
	is.Equal(explain(forwarder.Query{Host: "elsewhere", Path: "/look/1", Key: "k1"}).Refusal.Reason, "noRoute")
	is.Equal(explain(forwarder.Query{Host: "127.0.0.1", Path: "/look/1", Key: "k2"}).Refusal.Status, http.StatusUnauthorized)
	unknown := explain(forwarder.Query{Host: "127.0.0.1", Path: "/look/1", Account: "planetarium"}).Refusal
	is.Equal(unknown.Reason, "unknownAccount")
	is.Equal(unknown.Status, 0) // no request can be sent like this
}
