package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"amaranthmill/router"
)

// dispatch sends the call to the target of a and passes the answer on. A lapsed call
// is not sent.
func (d *Dispatcher) dispatch(ctx context.Context, c *call, a router.Dispatch, lapsed bool) router.Ending {
	if lapsed {
		return router.CallerGone{}
	}
	req, s := c.req, &c.sink
	s.begin(a.Attempt, a.ResumeFrom)
	var evidence sendEvidence
	out, err := newRequest(req, a)
	if err != nil {
		return router.Refused{Status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := d.cfg.Transport.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, evidence.trace())))
	if err != nil {
		return sendEnding(ctx, evidence.mayBeSent(ctx))
	}
	defer resp.Body.Close()
	if refused, ok := refusal(resp); ok {
		return refused
	}
	if !isSame(resp.Header, a) {
		return router.Mismatched{}
	}
	return d.pass(ctx, req, resp, s)
}

// sendEnding returns the ending of an attempt that got no answer.
func sendEnding(ctx context.Context, mayBeSent bool) router.Ending {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return router.CallerGone{}
	case !mayBeSent:
		return router.NotSent{}
	case ctx.Err() != nil:
		return router.Expired{}
	}
	return router.Broken{}
}

// refusal returns the endpoint's own refusal before running, if resp is one.
func refusal(resp *http.Response) (router.Refused, bool) {
	if resp.Header.Get("Mill-Outcome") != "notRun" {
		return router.Refused{}, false
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return router.Refused{Status: resp.StatusCode, RetryAfter: time.Duration(seconds) * time.Second}, true
}

// pass passes the answer in resp on.
func (d *Dispatcher) pass(ctx context.Context, req *router.Request, resp *http.Response, s *sink) router.Ending {
	if req.Kind == router.KindModel && resp.StatusCode >= http.StatusInternalServerError {
		return router.Failed{Status: resp.StatusCode}
	}
	var err error
	if req.Kind == router.KindModel && isStream(resp.Header) {
		err = d.stream(resp, s)
	} else {
		err = d.hold(resp, s)
	}
	return answerEnding(ctx, err)
}

func answerEnding(ctx context.Context, err error) router.Ending {
	var gone *callerError
	switch {
	case err == nil:
		return router.Completed{}
	case errors.As(err, &gone), errors.Is(ctx.Err(), context.Canceled):
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

// forward sends the call to the peer of a and passes the answer on. A lapsed call is not sent.
func (d *Dispatcher) forward(ctx context.Context, c *call, a router.Forward, lapsed bool) router.Ending {
	req, s := c.req, &c.sink
	if lapsed {
		return router.CallerGone{}
	}
	if d.cfg.Forwarder == nil {
		return router.NotSent{}
	}
	s.begin(a.Attempt, 0)
	out := *req
	out.Hops++
	back := &forwarded{s: s}
	switch o := d.cfg.Forwarder.Forward(ctx, a.Instance, out, back).(type) {
	case router.Answered:
		if err := back.end(); err != nil {
			return answerEnding(ctx, err)
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
