package linker

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/yamux"

	"amaranthmill/linker/internal/wire"
	"amaranthmill/router"
)

// bodyTimeout bounds how long the body of a forwarded request may take to arrive.
const bodyTimeout = 30 * time.Second

// serveRequest carries out one request that a peer forwarded on stream.
func (l *Linker) serveRequest(s *session, stream *yamux.Stream, in *frameReader, head *wire.RequestHead) {
	defer stream.Close()
	req, err := requestFromWire(head, l.cfg.Now())
	if err != nil {
		l.logFrame(err, s.peer.Instance)
		return
	}
	var got uint64
	_ = stream.SetReadDeadline(time.Now().Add(bodyTimeout))
	if req.Body, err = readBody(in, &got, l.cfg.MaxBodyBytes); err != nil {
		// Without the end mark of the request nothing runs.
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(l.run)
	defer cancel()
	go func() {
		// The peer sends nothing more; the end of its direction cancels the request.
		_, _ = in.buf.ReadByte()
		cancel()
		_ = stream.SetWriteDeadline(time.Unix(1, 0))
	}()
	w := &answerWriter{out: &frameWriter{w: stream}}
	outcome := l.cfg.Serve(ctx, req, w)
	l.metrics.request(l.run, "served", outcome)
	_ = w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Outcome{Outcome: outcomeToWire(outcome)}})
	_ = stream.SetReadDeadline(time.Unix(1, 0))
}

// refuseRequest answers a request that arrives while this instance stops.
func refuseRequest(stream *yamux.Stream) {
	defer stream.Close()
	w := &answerWriter{out: &frameWriter{w: stream}}
	refused := notRun("leaving", "the other instance is leaving")
	_ = w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Outcome{Outcome: outcomeToWire(refused)}})
}

// readBody reads the body of a request up to its end mark.
func readBody(in *frameReader, got *uint64, limit int) ([]byte, error) {
	var body []byte
	for {
		frame, err := nextFrame(in, got)
		if err != nil {
			return nil, err
		}
		switch b := frame.GetBody().(type) {
		case *wire.RequestFrame_Part:
			if len(body)+len(b.Part) > limit {
				return nil, &FrameError{Expected: "a smaller body"}
			}
			body = append(body, b.Part...)
		case *wire.RequestFrame_RequestEnd:
			return body, nil
		default:
			return nil, &FrameError{Expected: "a part or the end of a request"}
		}
	}
}

// answerWriter sends an answer over a link. Its methods block while the peer reads slowly.
type answerWriter struct {
	out  *frameWriter
	sent uint64 // frames
}

// Start implements router.Writer.
func (w *answerWriter) Start(status int, header http.Header) error {
	start := &wire.AnswerStart{Status: uint32(status), Header: headerToWire(header)}
	return w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Start{Start: start}})
}

// Write implements router.Writer.
func (w *answerWriter) Write(part []byte) error {
	for len(part) > 0 {
		n := min(len(part), partSize)
		if err := w.send(&wire.RequestFrame{Body: &wire.RequestFrame_Part{Part: part[:n]}}); err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}

func (w *answerWriter) send(frame *wire.RequestFrame) error {
	w.sent++
	frame.Sequence = w.sent
	return w.out.write(frame)
}

var _ router.Writer = (*answerWriter)(nil)
