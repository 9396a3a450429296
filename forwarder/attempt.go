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

	"amaranthmill/internal/eventer"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// streamBuffer is read of a stream ahead of the caller, in bytes.
const streamBuffer = 4 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBuffer) }}

// attempt sends x to a target and relays or holds the answer.
func (f *Forwarder) attempt(x *exchange, a scheduler.Send) (scheduler.Ending, scheduler.Load) {
	ctx, cancel := x.begin(context.WithoutCancel(x.request.Context()), a.Attempt)
	defer cancel()
	answer, err := f.cfg.Requester.Send(ctx, f.newRequest(x, a))
	if err != nil {
		return f.sendEnding(ctx, x, err), scheduler.Load{}
	}
	defer answer.Close()
	verdict := f.cfg.Dialect.ParseAnswer(answer.Status, answer.Header)
	switch {
	case verdict.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(answer, answerLimit)) // so that the connection can be kept
		return scheduler.Refused{Status: answer.Status, Misdirected: verdict.Misdirected}, verdict.Load
	case verdict.Encoded, answer.IsSuccess() && !verdict.Signed:
		return scheduler.Broken{}, verdict.Load
	case promisesNotRun(answer.Status):
		return scheduler.Broken{}, verdict.Load
	case x.match.Route.Kind == resolver.KindStream && isStream(answer):
		return f.stream(ctx, x, a, answer, verdict.Load), verdict.Load
	}
	return f.hold(ctx, x, answer), verdict.Load
}

// newRequest returns x as a goes out to its target.
func (f *Forwarder) newRequest(x *exchange, a scheduler.Send) *requester.Request {
	header := x.request.Header.Clone()
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
	f.cfg.Dialect.SetFields(header, EndpointFields{
		Endpoint: a.Target.ID, Account: x.match.Account, TimeLeft: time.Until(x.deadline), LastEventID: x.relay.lastEvent,
	})
	return &requester.Request{
		Address: a.Target.Address, Method: x.request.Method, Target: x.request.RequestURI, Host: x.request.Host,
		Header: header, Body: x.body, HasBody: x.hasBody, ID: x.said.ID, NewConnection: x.match.Route.Kind == resolver.KindNonIdempotent,
	}
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// promisesNotRun reports whether a status tells callers that the request has not run, which
// only an endpoint that says so itself may tell.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isStream(a *requester.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// sendEnding returns the ending of an attempt that got no answer.
func (f *Forwarder) sendEnding(ctx context.Context, x *exchange, err error) scheduler.Ending {
	var notSent *requester.NotSentError
	switch {
	case errors.As(err, &notSent) && !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return scheduler.NotSent{}
	}
	f.logBroken(x, err)
	return x.brokenEnding(ctx)
}

// brokenEnding returns the ending of an attempt that may have run and got no whole answer.
func (x *exchange) brokenEnding(ctx context.Context) scheduler.Ending {
	switch {
	case x.isAbandoned():
		return scheduler.Abandoned{}
	case ctx.Err() != nil:
		return scheduler.Expired{}
	}
	return scheduler.Broken{}
}

// hold reads the whole answer before a byte of it goes out.
func (f *Forwarder) hold(ctx context.Context, x *exchange, answer *requester.Answer) scheduler.Ending {
	body, err := io.ReadAll(io.LimitReader(answer, answerLimit+1))
	if err == nil && len(body) > answerLimit {
		err = &eventer.TooLargeError{Limit: answerLimit}
	}
	if err != nil {
		f.logBroken(x, err)
		return x.brokenEnding(ctx)
	}
	x.relay.hold(answer.Status, answer.Header, body)
	if answer.Status >= http.StatusInternalServerError {
		return scheduler.Failed{Status: answer.Status}
	}
	return scheduler.Completed{}
}

// endOfStream returns the ending of a stream that is complete. One without any event can
// be that only for a caller that has them all.
func (x *exchange) endOfStream(answer *requester.Answer) scheduler.Ending {
	if x.relay.started {
		return scheduler.Completed{}
	}
	if x.said.LastEventID < 0 {
		return scheduler.Broken{}
	}
	x.relay.hold(answer.Status, answer.Header, nil)
	return scheduler.Completed{}
}

// stream relays events until the end of the stream. It reads the next one only once the
// caller took the last one. An event that is cut off is never relayed.
func (f *Forwarder) stream(ctx context.Context, x *exchange, a scheduler.Send, answer *requester.Answer, load scheduler.Load) scheduler.Ending {
	in := streamBuffers.Get().(*bufio.Reader)
	in.Reset(answer)
	defer streamBuffers.Put(in)
	var event []byte
	for {
		var err error
		event, err = eventer.Read(event[:0], in, maxEventBytes)
		if errors.Is(err, io.EOF) {
			return x.endOfStream(answer)
		}
		if err != nil {
			f.logBroken(x, err)
			return x.brokenEnding(ctx)
		}
		if x.isAbandoned() {
			return scheduler.Abandoned{}
		}
		f.step.Submit(scheduler.Progressed{Ref: x.ref, Attempt: a.Attempt, Event: true, Load: load})
		load = scheduler.Load{}
		if err := x.relay.event(answer.Status, answer.Header, event); err != nil {
			return x.brokenEnding(ctx)
		}
	}
}
