package forwarder

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// runPeerAttempt runs an attempt through a peer and reports its end.
func (f *Forwarder) runPeerAttempt(x *exchange, a *attempt) {
	ending := f.sendToPeer(x, a)
	f.logEnded(x, a, ending)
	f.meters.countHop(hopSent, ending)
	f.step.Submit(scheduler.Ended{Ref: x.ref, Attempt: a.Attempt, Ending: ending})
}

// sendToPeer sends x to the peer of a, and relays or holds the answer.
func (f *Forwarder) sendToPeer(x *exchange, a *attempt) scheduler.Ending {
	address, ok := f.cfg.PeerAddress(a.Peer)
	if !ok {
		return scheduler.NotSent{}
	}
	answer, err := f.cfg.Requester.Send(a.ctx, f.newHopRequest(x, address))
	if err != nil {
		return f.sendErrorEnding(x, a, err)
	}
	defer answer.Close()
	if isOfOlderVersion(answer) {
		answer.Discard()
		return scheduler.PeerRefused{Reason: scheduler.ReasonOlderVersion}
	}
	hop, err := parseHopAnswer(answer.Header)
	if err != nil {
		f.logBroken(x, err)
		return scheduler.Broken{}
	}
	answer.Header.Del(hopField)
	switch hop.Outcome {
	case hopNotRun:
		answer.Discard()
		return scheduler.PeerRefused{Reason: hop.Reason, RetryAfter: hop.RetryAfter.Std()}
	case hopUnknown:
		answer.Discard()
		return scheduler.Broken{}
	}
	f.step.Submit(scheduler.PeerAnswered{Process: hop.process()})
	fields := f.cfg.Dialect.ParseAnswer(answer.Status, answer.Header)
	f.reportStatement(x, a, hop.process(), fields)
	ending := f.receive(x, a, answer, fields)
	if _, refused := ending.(scheduler.Refused); refused {
		return scheduler.Broken{} // the peer passes on no refusal of an endpoint
	}
	x.recordEnding(hop.Endpoint, ending)
	return ending
}

// isOfOlderVersion reports whether a peer's answer is that of a version which takes the request for a message to
// itself, and knows none with its path. Each answer of a version that knows requests of other instances has the field, also if an
// endpoint answered 404.
func isOfOlderVersion(answer *requester.Answer) bool {
	return answer.Status == http.StatusNotFound && len(answer.Header.Values(hopField)) == 0
}

// newHopRequest returns the request that is sent to a peer: the caller's, and what the peer needs to know.
func (f *Forwarder) newHopRequest(x *exchange, address netip.AddrPort) *requester.Request {
	route := x.match.Route
	hop := hopRequest{
		From: f.cfg.Scheduler.Instance, Version: x.match.Version, Route: route.Name, Kind: route.Kind.String(), Resumable: route.Resumable, Account: x.match.Account,
		Service: x.service, Pool: x.pool, Priority: x.match.Priority, LatencyGoal: formatter.Duration(route.LatencyGoal), GapGoal: formatter.Duration(route.GapGoal),
		Age: formatter.Duration(time.Since(x.arrivedAt)), Left: formatter.Duration(max(time.Until(x.deadline), minTimeout)), LastEvent: x.relay.position(), FailedAt: x.failedEndpoints(),
	}
	text, err := json.Marshal(hop)
	if err != nil {
		panic(err) // its fields always encode
	}
	header := x.request.Header.Clone()
	deleteHopFields(header)
	header.Set(hopField, string(text))
	return &requester.Request{
		Address: address, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body, HasBody: x.hasBody, ID: x.fields.ID, NewConnection: route.Kind == resolver.KindNonIdempotent,
	}
}
