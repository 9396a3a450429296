package dispatcher

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"amaranthmill/router"
)

// attempt sends req to the target of a and passes the answer on.
func (d *Dispatcher) attempt(ctx context.Context, req *router.Request, a router.Dispatch, s *sink) router.Ending {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := newRequest(req, a)
	if err != nil {
		return router.Refused{Status: http.StatusBadRequest}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := d.cfg.Transport.RoundTrip(out.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return sendEnding(ctx, connected.Load())
	}
	defer resp.Body.Close()
	if refused, ok := refusal(resp); ok {
		return refused
	}
	if !isSame(resp.Header, a) {
		return router.Mismatched{}
	}
	return d.answer(ctx, req, resp, s)
}

// sendEnding returns the ending of an attempt that got no answer.
func sendEnding(ctx context.Context, connected bool) router.Ending {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return router.CallerGone{}
	case !connected:
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

// answer passes the answer in resp on.
func (d *Dispatcher) answer(ctx context.Context, req *router.Request, resp *http.Response, s *sink) router.Ending {
	if req.Kind == router.KindModel && resp.StatusCode >= http.StatusInternalServerError {
		return router.Failed{Status: resp.StatusCode}
	}
	var err error
	if req.Kind == router.KindModel && isStream(resp.Header) {
		err = d.streamed(resp, s)
	} else {
		err = d.whole(resp, s)
	}
	return answerEnding(ctx, err)
}

func answerEnding(ctx context.Context, err error) router.Ending {
	var gone *callerError
	switch {
	case err == nil:
		return router.Whole{}
	case errors.As(err, &gone), errors.Is(ctx.Err(), context.Canceled):
		return router.CallerGone{}
	case ctx.Err() != nil:
		return router.Expired{}
	}
	return router.Broken{}
}

// streamed passes server-sent events on until the end mark. A part that is cut off
// inside an event is never passed on.
func (d *Dispatcher) streamed(resp *http.Response, s *sink) error {
	if err := s.start(resp.StatusCode, answerHeader(resp.Header)); err != nil {
		return err
	}
	in := bufio.NewReaderSize(resp.Body, 4<<10)
	var event []byte
	for !s.ended {
		line, err := in.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return errTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) {
			return errNoEndMark
		}
		if err != nil {
			return err
		}
		if len(bytes.TrimRight(line, "\r\n")) > 0 {
			continue
		}
		if err := s.event(event); err != nil {
			return err
		}
		event = event[:0]
	}
	return nil
}

// errTooLarge is returned for an answer beyond the bound on memory.
var errTooLarge = errors.New("dispatcher: the answer is too large")

// whole reads the answer to its end before a byte of it goes out.
func (d *Dispatcher) whole(resp *http.Response, s *sink) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.cfg.MaxAnswerBytes)+1))
	if err != nil {
		return err
	}
	if len(body) > d.cfg.MaxAnswerBytes {
		return errTooLarge
	}
	return s.whole(resp.StatusCode, answerHeader(resp.Header), body)
}

// whole sends a whole answer.
func (s *sink) whole(status int, header http.Header, body []byte) error {
	if err := s.start(status, header); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	if err := s.w.Write(body); err != nil {
		return &callerError{err}
	}
	return nil
}

// answerHeader returns a copy of h without the fields of one connection or of this system.
func answerHeader(h http.Header) http.Header { return passedHeader(h) }

// forward sends req to the peer of a and passes the answer on.
func (d *Dispatcher) forward(ctx context.Context, req *router.Request, a router.Forward, s *sink) router.Ending {
	if d.cfg.Forwarder == nil {
		return router.NotSent{}
	}
	out := *req
	out.Hops++
	switch o := d.cfg.Forwarder.Forward(ctx, a.Instance, out, &passing{s: s}).(type) {
	case router.Answered:
		if s.streams && !s.ended {
			return router.Broken{}
		}
		return router.Whole{}
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

// passing is the Writer through which a forwarded answer comes back.
type passing struct{ s *sink }

// Start sends the status and header if no earlier attempt did.
func (p *passing) Start(status int, header http.Header) error { return p.s.start(status, header) }

// Write passes a part of the body on. A part of a stream is one whole event.
func (p *passing) Write(part []byte) error {
	if p.s.streams {
		return p.s.event(part)
	}
	return p.s.w.Write(part)
}
