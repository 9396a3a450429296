package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"amaranthmill/internal/eventreader"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 128 << 10

// streamBufferSize is the number of bytes of a stream that are read ahead of the caller.
const streamBufferSize = 4 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferSize) }}

// runAttempt runs an attempt and reports its end.
func (f *Forwarder) runAttempt(x *exchange, a *attempt) {
	defer a.cancel()
	f.logSend(x, a)
	if a.Attempt == 1 && x.hasWaited.Load() {
		f.meters.recordQueueTime(x)
	}
	f.cfg.OnAttempt(quarantiner.AttemptStarted{Fingerprint: x.identity, Parts: x.parts, Process: a.Target.Process()})
	ending, load := f.send(x, a)
	f.cfg.OnAttempt(quarantiner.AttemptEnded{Fingerprint: x.identity, Parts: x.parts, Process: a.Target.Process(), Result: a.result(ending)})
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
	f.reportStatement(x, a, fields)
	switch {
	case fields.NotRun:
		answer.Discard()
		return scheduler.Refused{Status: answer.Status, Misdirected: fields.Misdirected}, fields.Load
	case fields.Encoded, answer.IsSuccess() && !fields.Signed:
		return scheduler.Broken{}, fields.Load
	case impliesNotRun(answer.Status):
		return scheduler.Broken{}, fields.Load
	case x.match.Route.Kind == resolver.KindStream && isStream(answer):
		return f.relayStream(x, a, answer, fields.Load), fields.Load
	}
	return f.holdAnswer(x, a, answer), fields.Load
}

// reportStatement submits what the process of a's target says about itself in an answer. That
// concerns the process, so it is submitted also if the request goes on without a.
func (f *Forwarder) reportStatement(x *exchange, a *attempt, fields AnswerFields) {
	for _, m := range fields.Malformed {
		f.logMalformed(x, a, m)
	}
	process := a.Target.Process()
	if fields.Leaving || fields.ClosedFor > 0 || f.changesLimit(process, fields.Limit) {
		f.logStatement(x, a, fields)
		f.step.Submit(scheduler.ProcessStated{
			Process: process, Leaving: fields.Leaving, ClosedFor: fields.ClosedFor, Limit: fields.Limit, SentAt: a.startedAt,
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

// impliesNotRun reports whether callers conclude from a status that the request has not run.
// Such an answer is relayed only if the endpoint states this explicitly.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isStream(a *requester.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
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

// holdAnswer reads the complete answer before any byte of it is sent to the caller. An answer that
// is not a stream can't continue a stream that has begun, and counts as an error of its endpoint.
func (f *Forwarder) holdAnswer(x *exchange, a *attempt, answer *requester.Answer) scheduler.Ending {
	body, err := f.readHeld(x, answer)
	if err != nil {
		f.logBroken(x, err)
		return a.brokenEnding()
	}
	a.held = heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || x.relay.hasStarted() {
		return scheduler.Failed{Status: answer.Status}
	}
	return scheduler.Completed{}
}

// completedStreamEnding returns the ending of a stream that ended without an error. A stream
// without any event counts as broken unless the caller resumed it, because then the caller
// may already have all events.
func (x *exchange) completedStreamEnding(a *attempt, answer *requester.Answer) scheduler.Ending {
	if x.relay.hasStarted() {
		return scheduler.Completed{}
	}
	if x.fields.LastEventID < 0 {
		return scheduler.Broken{}
	}
	a.held = heldAnswer{status: answer.Status, header: answer.Header}
	return scheduler.Completed{}
}

// relayStream relays events until the end of the stream. It reads the next event only after
// the previous event was written to the caller. An incomplete event is never relayed, nor is an
// event of an attempt that was abandoned: the scheduler learns of each event before it is
// relayed, and abandons the request's other attempt then.
func (f *Forwarder) relayStream(x *exchange, a *attempt, answer *requester.Answer, load scheduler.Load) scheduler.Ending {
	in := streamBuffers.Get().(*bufio.Reader)
	in.Reset(answer)
	defer streamBuffers.Put(in)
	var event []byte
	for {
		var err error
		event, err = eventreader.Read(event[:0], in, maxEventBytes)
		if errors.Is(err, io.EOF) {
			return x.completedStreamEnding(a, answer)
		}
		if err != nil {
			f.logBroken(x, err)
			return a.brokenEnding()
		}
		f.step.Submit(scheduler.Progressed{Ref: x.ref, Attempt: a.Attempt, Event: true, Load: load})
		load = scheduler.Load{}
		if a.isAbandoned.Load() {
			return scheduler.Abandoned{}
		}
		if err := x.relay.writeEvent(answer.Status, answer.Header, event); err != nil {
			f.step.Submit(scheduler.CallerLeft{Ref: x.ref}) // abandons a
			return a.brokenEnding()
		}
	}
}
