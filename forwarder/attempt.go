package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// runAttempt runs an attempt and reports its end.
func (f *Forwarder) runAttempt(x *exchange, a *attempt) {
	defer a.cancel()
	f.logSend(x, a)
	if a.Attempt == 1 && x.hasWaited.Load() {
		f.meters.recordQueueTime(x)
	}
	if a.Peer != "" {
		f.runPeerAttempt(x, a)
		return
	}
	f.cfg.OnAttempt(quarantiner.AttemptStarted{Fingerprint: x.identity, Parts: x.parts, Process: a.Target.Process()})
	ending, load := f.send(x, a)
	f.cfg.OnAttempt(quarantiner.AttemptEnded{Fingerprint: x.identity, Parts: x.parts, Process: a.Target.Process(), Result: a.result(ending)})
	x.recordEnding(a.Target.ID, ending)
	f.logEnded(x, a, ending)
	f.meters.countAttempt(x, ending)
	f.step.Submit(scheduler.Ended{Ref: x.ref, Attempt: a.Attempt, Ending: ending, Load: load})
}

// send sends x to the target of a, and relays or holds the answer.
func (f *Forwarder) send(x *exchange, a *attempt) (scheduler.Ending, scheduler.Load) {
	answer, err := f.cfg.Requester.Send(a.ctx, f.newRequest(x, a))
	if err != nil {
		return f.sendErrorEnding(x, a, err), scheduler.Load{}
	}
	defer answer.Close()
	a.isUndelimited = answer.Undelimited
	fields := f.cfg.Dialect.ParseAnswer(answer.Status, answer.Header)
	process := a.Target.Process()
	f.reportStatement(x, a, process, fields)
	if x.origin != nil {
		answer.Header.Set(hopField, hopAnswer{Outcome: hopAnswered, Endpoint: process.Endpoint, ProcessStart: process.Start}.encode())
	}
	return f.receive(x, a, answer, fields), fields.Load
}

// reportStatement submits what a process says about itself in the answer to a. That concerns the
// process, so it is submitted also if the request goes on without a.
func (f *Forwarder) reportStatement(x *exchange, a *attempt, process identifier.Process, fields AnswerFields) {
	for _, m := range fields.Malformed {
		f.logMalformed(x, a, process, m)
	}
	if fields.Leaving || fields.ClosedFor > 0 || fields.ColdFor > 0 || f.changesLimit(process, fields.Limit) {
		f.logStatement(x, a, process, fields)
		f.step.Submit(scheduler.ProcessStated{
			Process: process, Leaving: fields.Leaving, ClosedFor: fields.ClosedFor, Limit: fields.Limit, ColdFor: fields.ColdFor, SentAt: a.startedAt,
		})
	}
}

// changesLimit reports whether an answer names a limit, or names none while its process has one.
func (f *Forwarder) changesLimit(p identifier.Process, l scheduler.LimitStatement) bool {
	if l.PerSecond > 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return l.IsKnown && f.limited[p]
}

// newRequest returns the request that attempt a sends to its target.
func (f *Forwarder) newRequest(x *exchange, a *attempt) *requester.Request {
	header := x.request.Header.Clone()
	deleteHopFields(header)
	header.Del(hopField)
	f.cfg.Dialect.SetFields(header, EndpointFields{
		Endpoint: a.Target.ID, Account: x.match.Account, TimeLeft: time.Until(x.deadline), LastEventID: x.relay.position(),
	})
	return &requester.Request{
		Address: a.Target.Address, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body, HasBody: x.hasBody, ID: x.fields.ID, NewConnection: x.match.Route.Kind == resolver.KindNonIdempotent,
	}
}

// hopHeaders are the header fields that apply to one connection only and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// deleteHopFields deletes the header fields that apply to one connection only, and those that the
// Connection field names.
func deleteHopFields(header http.Header) {
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// sendErrorEnding returns the ending of an attempt that received no answer header.
func (f *Forwarder) sendErrorEnding(x *exchange, a *attempt, err error) scheduler.Ending {
	var notSent *requester.NotSentError
	if errors.As(err, &notSent) && !errors.Is(a.ctx.Err(), context.DeadlineExceeded) {
		return scheduler.NotSent{}
	}
	f.logBroken(x, err)
	return a.brokenEnding()
}

// brokenEnding returns the ending of an attempt that may have run and received no complete answer.
func (a *attempt) brokenEnding() scheduler.Ending {
	switch {
	case a.isAbandoned.Load():
		return scheduler.Abandoned{}
	case a.ctx.Err() != nil:
		return scheduler.Expired{}
	}
	return scheduler.Broken{}
}
