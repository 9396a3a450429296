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

// retryAfter is the retry delay in the outcome of a request that a failed session ended.
const retryAfter = time.Second

// Forward sends req to an instance and writes the answer to w. A request is forwarded at most
// once. The outcome is the peer's own unless the session fails. In that case it is NotRun if
// the end mark of the request was never written, and otherwise Unknown for every kind of
// request. Forward returns soon after ctx or the request's deadline ends, and does not use w
// afterwards. The caller must not modify the body of req, even after Forward has returned.
func (l *Linker) Forward(ctx context.Context, to identifier.Instance, req router.Request, w router.Writer) router.Outcome {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	outcome := l.forward(ctx, to, req, w)
	l.metrics.countRequest(l.sessionsContext, "sent", outcome)
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
		caller: w,
	}
	return f.run(req, l.cfg.Now())
}

func notRun(reason, detail string) router.NotRun {
	return router.NotRun{Status: 503, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

func unknown(reason, detail string) router.Unknown {
	return router.Unknown{Status: 502, Reason: reason, Detail: detail, RetryAfter: retryAfter}
}

// Phases of a request. phaseSending changes to either phaseEnding, before the end mark is
// written, or phaseAbandoned, after which it is never written.
const (
	phaseSending int32 = iota
	phaseEnding
	phaseAbandoned
)

// forward is one request that is sent on a stream of a session.
type forward struct {
	ctx            context.Context
	stream         *yamux.Stream
	out            *frameWriter
	in             *frameReader
	caller         router.Writer
	phase          atomic.Int32
	framesSent     uint64
	framesReceived uint64
	answerStarted  bool
}

func (f *forward) run(req router.Request, now time.Time) router.Outcome {
	// Closing the stream cancels the request at the peer. Close can block on a stalled connection.
	defer func() { go f.stream.Close() }()
	// The end of the context unblocks a read or write that waits for the peer.
	stop := context.AfterFunc(f.ctx, func() { _ = f.stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sent := make(chan error, 1)
	go func() { sent <- f.sendRequest(req, now) }()
	select {
	case err := <-sent:
		if err != nil {
			return f.outcomeIfUnsent(err)
		}
	case <-f.ctx.Done():
		return f.outcomeIfUnsent(f.ctx.Err())
	}
	for {
		outcome, err := f.receive()
		if err != nil {
			return f.outcomeIfLost(err)
		}
		if outcome != nil {
			return outcome
		}
	}
}

// sendRequest sends req with its end mark. If the request is abandoned before, it does not
// send the end mark.
func (f *forward) sendRequest(req router.Request, now time.Time) error {
	head := requestToWire(req, now)
	if err := f.out.write(&wire.Opening{Purpose: &wire.Opening_Request{Request: head}}); err != nil {
		return err
	}
	for rest := req.Body; len(rest) > 0; {
		part := rest[:min(len(rest), maxPartSize)]
		rest = rest[len(part):]
		if err := f.send(&wire.RequestFrame{Body: &wire.RequestFrame_Part{Part: part}}); err != nil {
			return err
		}
	}
	if !f.phase.CompareAndSwap(phaseSending, phaseEnding) {
		return context.Canceled
	}
	return f.send(&wire.RequestFrame{Body: &wire.RequestFrame_RequestEnd{RequestEnd: true}})
}

// outcomeIfUnsent returns the outcome of a request that could not be sent completely. The
// outcome is NotRun if the writing of the end mark has not begun; the new phase then prevents
// it.
func (f *forward) outcomeIfUnsent(err error) router.Outcome {
	if f.phase.CompareAndSwap(phaseSending, phaseAbandoned) {
		return notRun("linkLost", "the whole request could not be sent to the other instance")
	}
	return f.outcomeIfLost(err)
}

func (f *forward) send(frame *wire.RequestFrame) error {
	f.framesSent++
	frame.Sequence = f.framesSent
	return f.out.write(frame)
}

// receive processes one frame of the answer. It returns the outcome if the frame is the end mark.
func (f *forward) receive() (router.Outcome, error) {
	frame, err := nextFrame(f.in, &f.framesReceived)
	if err != nil {
		return nil, err
	}
	switch body := frame.GetBody().(type) {
	case *wire.RequestFrame_Start:
		if f.answerStarted {
			return nil, &FrameError{Expected: "a single start of the answer"}
		}
		f.answerStarted = true
		return nil, wrapCallerError(f.caller.Start(int(body.Start.GetStatus()), headerFromWire(body.Start.GetHeader())))
	case *wire.RequestFrame_Part:
		if !f.answerStarted {
			return nil, &FrameError{Expected: "the start of the answer before its parts"}
		}
		return nil, wrapCallerError(f.caller.Write(body.Part))
	case *wire.RequestFrame_Outcome:
		return outcomeFromWire(body.Outcome, f.answerStarted)
	default:
		return nil, &FrameError{Expected: "a frame of an answer"}
	}
}

// outcomeIfLost returns the outcome of a request that the peer may have run.
func (f *forward) outcomeIfLost(err error) router.Outcome {
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

// A callerError wraps an error of the router.Writer, as opposed to one of the session.
type callerError struct{ cause error }

func (e *callerError) Error() string { return "linker: write to caller: " + e.cause.Error() }

func wrapCallerError(err error) error {
	if err == nil {
		return nil
	}
	return &callerError{cause: err}
}

// nextFrame reads a frame and checks that its sequence number is the successor of last, which
// it increments.
func nextFrame(in *frameReader, last *uint64) (*wire.RequestFrame, error) {
	var frame wire.RequestFrame
	if err := in.read(&frame); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if frame.GetSequence() != *last+1 {
		return nil, &FrameError{Expected: "the next sequence number on the stream of a request"}
	}
	*last++
	return &frame, nil
}
