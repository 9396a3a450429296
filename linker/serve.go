package linker

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthmill/linker/internal/wire"
	"amaranthmill/router"
)

// bodyTimeout limits the time until the body of a forwarded request has arrived.
const bodyTimeout = 30 * time.Second

// serveRequest runs one request that a peer forwarded on stream.
func (l *Linker) serveRequest(s *session, stream *yamux.Stream, in *frameReader, head *wire.RequestHead) {
	defer stream.Close()
	req, err := requestFromWire(head, l.cfg.Now())
	if err != nil {
		l.logProtocolError(err, s.peer.Instance)
		return
	}
	var received uint64
	_ = stream.SetReadDeadline(time.Now().Add(bodyTimeout))
	if req.Body, err = readBody(in, &received, l.cfg.MaxBodyBytes); err != nil {
		// A request without its end mark must not run, because the peer may report NotRun.
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(l.sessionsContext)
	defer cancel()
	go func() {
		// The peer sends no more frames, so this read returns when the peer closes the stream
		// or the session ends. Both cancel the request.
		_, _ = in.buf.ReadByte()
		cancel()
		_ = stream.SetWriteDeadline(time.Unix(1, 0))
	}()
	w := &answerWriter{out: &frameWriter{w: stream}}
	outcome := l.cfg.Serve(ctx, req, w)
	l.metrics.countRequest(l.sessionsContext, "served", outcome)
	_ = w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Outcome{Outcome: outcomeToWire(outcome)}})
	_ = stream.SetReadDeadline(time.Unix(1, 0))
}

// refuseRequest rejects a request that arrives while this instance shuts down.
func refuseRequest(stream *yamux.Stream) {
	defer stream.Close()
	w := &answerWriter{out: &frameWriter{w: stream}}
	refused := notRun("leaving", "the other instance is leaving")
	_ = w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Outcome{Outcome: outcomeToWire(refused)}})
}

// readBody reads the body of a request until its end mark.
func readBody(in *frameReader, received *uint64, limit int) ([]byte, error) {
	var body []byte
	for {
		frame, err := nextFrame(in, received)
		if err != nil {
			return nil, err
		}
		switch b := frame.GetBody().(type) {
		case *wire.RequestFrame_Part:
			if len(body)+len(b.Part) > limit {
				return nil, &FrameError{Expected: "a body within the size limit"}
			}
			body = append(body, b.Part...)
		case *wire.RequestFrame_RequestEnd:
			return body, nil
		default:
			return nil, &FrameError{Expected: "a part or the end mark of a request"}
		}
	}
}

// answerWriter writes an answer to a stream. Its methods block while the peer reads slowly.
type answerWriter struct {
	out        *frameWriter
	framesSent uint64
}

// Start implements router.Writer.
func (w *answerWriter) Start(status int, header http.Header) error {
	start := &wire.AnswerStart{Status: uint32(status), Header: headerToWire(header)}
	return w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Start{Start: start}})
}

// Write implements router.Writer.
func (w *answerWriter) Write(part []byte) error {
	for len(part) > 0 {
		n := min(len(part), maxPartSize)
		if err := w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Part{Part: part[:n]}}); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

func (w *answerWriter) send(frame *wire.RequestFrame) error {
	w.framesSent++
	frame.Sequence = w.framesSent
	return w.out.write(frame)
}

var _ router.Writer = (*answerWriter)(nil)
