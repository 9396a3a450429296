package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/dispatcher"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// cannedTransport is a transport that answers with a fixed stream of events and counts the bytes read from it.
type cannedTransport struct {
	body *strings.Reader
	size int
	err  error // returned at the end of the body; nil means io.EOF
}

func newCanned(events int, end string) *cannedTransport {
	body := strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"clear \"}}]}\n\n", events) + end
	return &cannedTransport{body: strings.NewReader(body), size: len(body)}
}

func (c *cannedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	header := http.Header{"Content-Type": {"text/event-stream"}, "Mill-Epoch": {"7"}, "Mill-Process-Start": {"42"}}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(c)}, nil
}

func (c *cannedTransport) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if errors.Is(err, io.EOF) && c.err != nil {
		err = c.err
	}
	return n, err
}

func (c *cannedTransport) read() int { return c.size - c.body.Len() }

var readyTarget = router.Target{
	ID: "g1", Pool: "guides", Address: netip.MustParseAddrPort("127.0.0.1:9"), Epoch: 7, ProcessStart: 42, Ready: true, Capacity: 8,
}

// slowCaller records at each write by how many bytes the dispatcher has read ahead.
type slowCaller struct {
	recorder
	engine *cannedTransport
	ahead  int
}

func (s *slowCaller) Write(part []byte) error {
	err := s.recorder.Write(part)
	s.ahead = max(s.ahead, s.engine.read()-s.body.Len())
	return err
}

// TestSlowCallerHoldsBackEngine checks that the dispatcher reads at most one small buffer
// ahead of the caller, so that memory is bounded and a slow caller slows down the engine.
func TestSlowCallerHoldsBackEngine(t *testing.T) {
	is := is.New(t)
	engine := newCanned(20000, "data: [DONE]\n\n")
	d := dispatcher.New(dispatcher.Config{Transport: engine})
	d.SetTargets([]router.Target{readyTarget})
	w := &slowCaller{engine: engine}
	is.Equal(d.Serve(context.Background(), modelRequest(), w), router.Answered{})
	is.Equal(w.body.Len(), engine.size)
	is.True(w.ahead <= 8<<10)
}

// TestHangUpFreesEngine checks that the request to the engine is canceled as soon as the caller hangs up.
func TestHangUpFreesEngine(t *testing.T) {
	is := is.New(t)
	freed := make(chan struct{})
	target := startEndpoint(t, "g1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Mill-Epoch", "7")
		w.Header().Set("Mill-Process-Start", "42")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: {\"choices\":[{\"delta\":{\"content\":\"c\"}}]}\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(freed)
	})
	d := dispatcher.New(dispatcher.Config{})
	d.SetTargets([]router.Target{target})
	ctx, hangUp := context.WithCancel(context.Background())
	unknown, _ := d.Serve(ctx, modelRequest(), hangUpWriter{hangUp}).(router.Unknown)
	is.Equal(unknown.Reason, "callerGone")
	<-freed
}

// hangUpWriter hangs up when the first part of the answer arrives.
type hangUpWriter struct{ hangUp func() }

func (hangUpWriter) Start(int, http.Header) error { return nil }
func (h hangUpWriter) Write([]byte) error         { h.hangUp(); return nil }

// brokenLink is a Forwarder whose link breaks after the given number of frames of the answer.
type brokenLink struct{ frames int }

func (l brokenLink) Forward(_ context.Context, _ identifier.Instance, req router.Request, w router.Writer) router.Outcome {
	if req.Kind == router.KindModel {
		_ = w.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	}
	for i := range l.frames {
		_ = w.Write(fmt.Appendf(nil, "data: {\"choices\":[{\"delta\":{\"content\":\"%c\"}}]}\n\n", answerText[i]))
	}
	return router.Unknown{Status: http.StatusBadGateway, Reason: "linkLost"}
}

// TestLinkDiesAtAnyFrame checks that a forwarded stream resumes on a target in the local
// failure domain if the link breaks.
func TestLinkDiesAtAnyFrame(t *testing.T) {
	for frames := range len(answerText) + 1 {
		t.Run(fmt.Sprintf("frames=%d", frames), func(t *testing.T) {
			is := is.New(t)
			target := startEndpoint(t, "g1", func(w http.ResponseWriter, r *http.Request) { stream(w, r, 7, -1) })
			link := &targetAddingLink{link: brokenLink{frames}, target: target}
			d := dispatcher.New(dispatcher.Config{Forwarder: link, Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
			link.d = d
			d.SetRemote(peerOfAlpine, loadOfAlpine)
			w := &recorder{}
			is.Equal(d.Serve(context.Background(), modelRequest(), w), router.Answered{})
			text, ended := w.content()
			is.Equal(text, answerText)
			is.True(ended)
		})
	}
}

// targetAddingLink is a Forwarder that adds a local target to its dispatcher when a request is forwarded.
type targetAddingLink struct {
	link   brokenLink
	target router.Target
	d      *dispatcher.Dispatcher
}

func (l *targetAddingLink) Forward(ctx context.Context, to identifier.Instance, req router.Request, w router.Writer) router.Outcome {
	l.d.SetTargets([]router.Target{l.target})
	return l.link.Forward(ctx, to, req, w)
}

// BenchmarkServe measures one streamed answer of 200 events without the network.
func BenchmarkServe(b *testing.B) {
	engine := newCanned(200, "data: [DONE]\n\n")
	d := dispatcher.New(dispatcher.Config{Transport: engine})
	d.SetTargets([]router.Target{readyTarget})
	req := modelRequest()
	req.Deadline = time.Now().Add(time.Hour)
	req.Body = fmt.Appendf(nil, `{"messages":[{"role":"user","content":%q}]}`, strings.Repeat("Is the sky clear? ", 100))
	b.ReportAllocs()
	for b.Loop() {
		_, _ = engine.body.Seek(0, io.SeekStart)
		if _, ok := d.Serve(context.Background(), req, discardWriter{}).(router.Answered); !ok {
			b.Fatal("not answered")
		}
	}
}

type discardWriter struct{}

func (discardWriter) Start(int, http.Header) error { return nil }
func (discardWriter) Write([]byte) error           { return nil }
