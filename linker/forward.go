package linker

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
	"amaranthmill/router"
)

// retryAfter is what a caller is told who meets a broken link.
const retryAfter = time.Second

// Forward has the instance to carry out req and hands the answer to w. A request crosses
// one link at most. The outcome is the peer's own unless the link fails: then it is
// NotRun if the end of the request was never written, and else Unknown, whatever the
// kind of the request. Forward returns soon after ctx or the request's deadline ends, and
// uses w no more once it has returned. The body of req must not change afterwards either.
func (l *Linker) Forward(ctx context.Context, to identifier.Instance, req router.Request, w router.Writer) router.Outcome {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	outcome := l.forward(ctx, to, req, w)
	l.metrics.request(l.run, "sent", outcome)
	return outcome
}

func (l *Linker) forward(ctx context.Context, to identifier.Instance, req router.Request, w router.Writer) router.Outcome {
	if req.Hops > 0 {
		return notRun("tooManyHops", "the request has crossed a link already")
	}
	s := l.beginForward(ctx, to)
	if s == nil {
		return notRun("peerNotReachable", "no session with the other instance")
	}
	defer l.endForward(s)
	if s.mux.NumStreams() >= maxStreams {
		return notRun("linkBusy", "too many requests on the link to the other instance")
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return notRun("peerNotReachable", "the session with the other instance ended")
	}
	f := &forward{
		ctx:    ctx,
		stream: stream,
		out:    &frameWriter{w: stream},
		in:     newFrameReader(stream, maxRequestFrame),
		w:      w,
	}
	return f.run(req, l.cfg.Now())
}

func notRun(reason, detail string) router.NotRun {
	return router.NotRun{Status: 503, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

func unknown(reason, detail string) router.Unknown {
	return router.Unknown{Status: 502, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// The phases of a request until its end mark. Only one of ending and abandoned follows.
const (
	sending int32 = iota
	ending
	abandoned
)

// forward is one request on its way over a link.
type forward struct {
	ctx     context.Context
	stream  *yamux.Stream
	out     *frameWriter
	in      *frameReader
	w       router.Writer
	phase   atomic.Int32
	sent    uint64 // frames
	got     uint64 // frames
	started bool
}

func (f *forward) run(req router.Request, now time.Time) router.Outcome {
	// The end of the stream tells the peer to cancel. Close waits on a stuck link.
	defer func() { go f.stream.Close() }()
	// The deadline wakes a call that waits for the peer.
	stop := context.AfterFunc(f.ctx, func() { _ = f.stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sent := make(chan error, 1)
	go func() { sent <- f.sendRequest(req, now) }()
	select {
	case err := <-sent:
		if err != nil {
			return f.unsent(err)
		}
	case <-f.ctx.Done():
		return f.unsent(f.ctx.Err())
	}
	for {
		outcome, err := f.receive()
		if err != nil {
			return f.lost(err)
		}
		if outcome != nil {
			return outcome
		}
	}
}

// sendRequest sends req up to its end mark, which is not sent once the request is abandoned.
func (f *forward) sendRequest(req router.Request, now time.Time) error {
	head := requestToWire(req, now)
	if err := f.out.write(&wire.Opening{Purpose: &wire.Opening_Request{Request: head}}); err != nil {
		return err
	}
	for rest := req.Body; len(rest) > 0; {
		part := rest[:min(len(rest), partSize)]
		rest = rest[len(part):]
		if err := f.send(&wire.RequestFrame{Body: &wire.RequestFrame_Part{Part: part}}); err != nil {
			return err
		}
	}
	if !f.phase.CompareAndSwap(sending, ending) {
		return context.Canceled
	}
	return f.send(&wire.RequestFrame{Body: &wire.RequestFrame_RequestEnd{RequestEnd: true}})
}

// unsent returns the outcome of a request that could not be sent. It did not run if its
// end mark is not on the way and never will be.
func (f *forward) unsent(err error) router.Outcome {
	if f.phase.CompareAndSwap(sending, abandoned) {
		return notRun("linkLost", "the whole request could not be sent to the other instance")
	}
	return f.lost(err)
}

func (f *forward) send(frame *wire.RequestFrame) error {
	f.sent++
	frame.Sequence = f.sent
	return f.out.write(frame)
}

// receive takes one frame of the answer. It returns the outcome at the end mark.
func (f *forward) receive() (router.Outcome, error) {
	frame, err := nextFrame(f.in, &f.got)
	if err != nil {
		return nil, err
	}
	switch body := frame.GetBody().(type) {
	case *wire.RequestFrame_Start:
		if f.started {
			return nil, &FrameError{Expected: "one start of the answer"}
		}
		f.started = true
		return nil, callerErr(f.w.Start(int(body.Start.GetStatus()), headerFromWire(body.Start.GetHeader())))
	case *wire.RequestFrame_Part:
		if !f.started {
			return nil, &FrameError{Expected: "the start of the answer"}
		}
		return nil, callerErr(f.w.Write(body.Part))
	case *wire.RequestFrame_Outcome:
		return outcomeFromWire(body.Outcome, f.started)
	default:
		return nil, &FrameError{Expected: "a frame of an answer"}
	}
}

// lost returns the outcome of a request that the peer may have run.
func (f *forward) lost(err error) router.Outcome {
	var caller *callerError
	switch {
	case errors.As(err, &caller):
		return unknown("callerGone", "the caller went away")
	case errors.Is(f.ctx.Err(), context.DeadlineExceeded):
		return router.Unknown{Status: 504, Reason: "deadline", Detail: "the other instance did not answer in time"}
	case f.ctx.Err() != nil:
		return unknown("callerGone", "the caller went away")
	default:
		return unknown("linkLost", "the link to the other instance broke before the end of the answer")
	}
}

// A callerError is an error of the router.Writer, not of the link.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "linker: write to caller: " + e.cause.Error() }

func callerErr(err error) error {
	if err == nil {
		return nil
	}
	return &callerError{cause: err}
}

// nextFrame reads a frame and checks that its number follows last, which it advances.
func nextFrame(in *frameReader, last *uint64) (*wire.RequestFrame, error) {
	var frame wire.RequestFrame
	if err := in.read(&frame); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if frame.GetSequence() != *last+1 {
		return nil, &FrameError{Expected: "the next frame of the request"}
	}
	*last++
	return &frame, nil
}
