package messenger

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
)

// PeerReports is what peers found when they queried an endpoint for its report.
type PeerReports struct {
	Report          groupformer.Reported
	Received        bool                       // at least one peer received a report; Report is one of these
	UnreachableFrom []identifier.FailureDomain // failure domains of the peers that queried the endpoint and got no report, without those that are cut off from most endpoints
}

// CutOffError reports that an instance did not get the report of an endpoint and is cut off from most endpoints,
// so that this says nothing about the endpoint.
type CutOffError struct{ Cause error }

func (e *CutOffError) Error() string {
	return "messenger: the instance is cut off from endpoints: " + e.Cause.Error()
}

func (e *CutOffError) Unwrap() error { return e.Cause }

// Peers that query an endpoint for this instance. The number does not grow with the fleet: if each
// peer queried each endpoint that does not answer, the loss of many endpoints would cost the product
// of instances and endpoints.
const (
	maxReporters       = 5 // in all
	maxDomainReporters = 3 // of these, in the failure domain of the endpoint, so that it is reached although the domain is cut off
)

// selectReporters returns the peers that query an endpoint of a failure domain, a random choice each
// time, so that a peer which can't be reached itself is soon replaced by another one.
func selectReporters(peers []Peer, domain identifier.FailureDomain) []Peer {
	if len(peers) <= maxReporters {
		return peers
	}
	shuffled := slices.Clone(peers)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	var out, others []Peer
	for _, p := range shuffled {
		if p.FailureDomain == domain && len(out) < maxDomainReporters {
			out = append(out, p)
		} else {
			others = append(others, p)
		}
	}
	return append(out, others[:maxReporters-len(out)]...)
}

// RequestReports makes some peers query an endpoint of a failure domain, which this instance can't
// reach, for its report.
func (m *Messenger) RequestReports(ctx context.Context, id identifier.Endpoint, domain identifier.FailureDomain) PeerReports {
	var result PeerReports
	var mu sync.Mutex
	m.forEach(ctx, selectReporters(m.cfg.Peers.All(), domain), func(ctx context.Context, p Peer) {
		var w reportWire
		err := m.exchange(ctx, p, http.MethodPost, pathReport, askWire{Endpoint: id}, &w)
		mu.Lock()
		defer mu.Unlock()
		var status *StatusError
		switch {
		case err == nil:
			result.Report, result.Received = w.report(id), true
		case errors.As(err, &status) && status.Status == http.StatusGatewayTimeout:
			result.UnreachableFrom = append(result.UnreachableFrom, p.FailureDomain)
		}
	})
	return result
}

// serveReport queries an endpoint for a peer.
func (m *Messenger) serveReport(w http.ResponseWriter, r *http.Request) {
	var request askWire
	if !readBody(w, r, &request) {
		return
	}
	report, err := m.cfg.Report(r.Context(), request.Endpoint)
	var cutOff *CutOffError
	switch {
	case errors.As(err, &cutOff):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	m.writeJSON(w, encodeReport(report))
}
