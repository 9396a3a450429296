package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"amaranthmill/requester"
	"amaranthmill/router"
)

// dispatch sends the call to the target of a and passes the answer to the caller. A call
// whose claim has expired is not sent: its ending makes the router finish the request, and
// runAttempts then returns claimExpired.
func (d *Dispatcher) dispatch(ctx context.Context, c *call, a router.Dispatch, expired bool) router.Ending {
	if expired {
		return router.CallerGone{}
	}
	req, s := c.req, &c.sink
	s.beginAttempt(a.Attempt, a.ResumeFrom)
	var evidence sendEvidence
	out, err := newRequest(req, a)
	if err != nil {
		return router.Refused{Status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := d.cfg.Transport.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, evidence.trace())))
	if err != nil {
		return endingWithoutAnswer(ctx, evidence.mayHaveSent(ctx))
	}
	defer resp.Body.Close()
	if !requester.IsStatus(resp.StatusCode) {
		return endingWithoutAnswer(ctx, true) // no answer, and no statement that the request has not run
	}
	if refused, ok := parseRefusal(resp); ok {
		return refused
	}
	if !matchesDispatch(resp.Header, a) {
		return router.Mismatched{}
	}
	return d.passAnswer(ctx, req, resp, s)
}

// endingWithoutAnswer returns the ending of an attempt that received no answer.
func endingWithoutAnswer(ctx context.Context, mayHaveSent bool) router.Ending {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return router.CallerGone{}
	case !mayHaveSent:
		return router.NotSent{}
	case ctx.Err() != nil:
		return router.Expired{}
	}
	return router.Broken{}
}

// parseRefusal returns the refusal in resp. It reports false unless the endpoint states that it did not run the request.
func parseRefusal(resp *http.Response) (router.Refused, bool) {
	if resp.Header.Get("Mill-Outcome") != "notRun" {
		return router.Refused{}, false
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return router.Refused{Status: resp.StatusCode, RetryAfter: time.Duration(seconds) * time.Second}, true
}

// passAnswer passes the answer in resp to the caller. An answer of a model with a server
// error status is not passed on: the attempt ends as Failed.
func (d *Dispatcher) passAnswer(ctx context.Context, req *router.Request, resp *http.Response, s *sink) router.Ending {
	if req.Kind == router.KindModel && resp.StatusCode >= http.StatusInternalServerError {
		return router.Failed{Status: resp.StatusCode}
	}
	var err error
	if req.Kind == router.KindModel && isStream(resp.Header) {
		err = d.streamAnswer(resp, s)
	} else {
		err = d.bufferAnswer(resp, s)
	}
	return endingOfAnswer(ctx, err)
}

// endingOfAnswer returns the ending of an attempt whose answer was passed on with err, which is nil for a complete answer.
func endingOfAnswer(ctx context.Context, err error) router.Ending {
	var writeErr *callerError
	switch {
	case err == nil:
		return router.Completed{}
	case errors.As(err, &writeErr), errors.Is(ctx.Err(), context.Canceled):
		return router.CallerGone{}
	case ctx.Err() != nil:
		return router.Expired{}
	case errors.Is(err, errTooLarge), errors.Is(err, errUnbounded), errors.Is(err, errEngine), errors.Is(err, errUnexpected):
		return router.Failed{Status: http.StatusBadGateway}
	case errors.Is(err, errGap):
		return router.Mismatched{}
	}
	return router.Broken{}
}

// forward sends the call to the peer of a and passes the answer to the caller. As in
// dispatch, a call whose claim has expired is not sent.
func (d *Dispatcher) forward(ctx context.Context, c *call, a router.Forward, expired bool) router.Ending {
	req, s := c.req, &c.sink
	if expired {
		return router.CallerGone{}
	}
	if d.cfg.Forwarder == nil {
		return router.NotSent{}
	}
	s.beginAttempt(a.Attempt, 0)
	out := *req
	out.Hops++
	relay := &relayWriter{s: s}
	switch o := d.cfg.Forwarder.Forward(ctx, a.Instance, out, relay).(type) {
	case router.Answered:
		if err := relay.finish(); err != nil {
			return endingOfAnswer(ctx, err)
		}
		return router.Completed{}
	case router.NotRun:
		return router.Refused{Status: o.Status, RetryAfter: o.RetryAfter}
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return router.CallerGone{}
	}
	if ctx.Err() != nil {
		return router.Expired{}
	}
	return router.Broken{}
}
