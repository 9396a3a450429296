package dispatcher_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/dispatcher"
	"amaranthmill/router"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105")
	os.Exit(m.Run())
}

// recorder is a Writer that stores the answer that a caller received.
type recorder struct {
	status int
	body   strings.Builder
}

func (r *recorder) Start(status int, _ http.Header) error { r.status = status; return nil }
func (r *recorder) Write(part []byte) error               { r.body.Write(part); return nil }

// content returns the text of the streamed answer and whether its end mark was received.
func (r *recorder) content() (string, bool) {
	var text strings.Builder
	for _, part := range strings.Split(r.body.String(), `"content":"`)[1:] {
		word, _, _ := strings.Cut(part, `"`)
		text.WriteString(word)
	}
	return text.String(), strings.HasSuffix(r.body.String(), "data: [DONE]\n\n")
}

// startEndpoint serves h and returns it as a ready target with epoch 7 and process start 42.
func startEndpoint(t *testing.T, id string, h http.HandlerFunc) router.Target {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return router.Target{
		ID: id, Pool: "guides", Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		Epoch: 7, ProcessStart: 42, Ready: true, Capacity: 8,
	}
}

const answerText = "clear skies"

// stream answers a model request from its resume position and aborts the connection before the character with index cut.
func stream(w http.ResponseWriter, r *http.Request, epoch, cut int) {
	w.Header().Set("Mill-Epoch", fmt.Sprint(epoch))
	w.Header().Set("Mill-Process-Start", "42")
	w.Header().Set("Content-Type", "text/event-stream")
	resume, _ := strconv.Atoi(r.Header.Get("Mill-Resume"))
	w.Header().Set("Mill-Resume", strconv.Itoa(resume))
	for i := resume; i < len(answerText); i++ {
		if i == cut {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":\"%c\"}}]}\n\n", answerText[i])
		w.(http.Flusher).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

func modelRequest() router.Request {
	return router.Request{
		ID: "r1", Account: "observatory", Service: "mill-guides", Pool: "guides", Kind: router.KindModel,
		Deadline: time.Now().Add(10 * time.Second), Method: http.MethodPost, Stream: true, Body: []byte(`{"messages":[]}`),
	}
}

// TestStreamCutAtEveryPosition checks that a stream which is aborted at any position is
// resumed on another group and that the caller receives each character once.
func TestStreamCutAtEveryPosition(t *testing.T) {
	for cut := range len(answerText) {
		t.Run(fmt.Sprintf("cut=%d", cut), func(t *testing.T) {
			is := is.New(t)
			d := dispatcher.New(dispatcher.Config{Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
			d.SetTargets([]router.Target{
				startEndpoint(t, "g1", func(w http.ResponseWriter, r *http.Request) { stream(w, r, 7, cut) }),
				startEndpoint(t, "g2", func(w http.ResponseWriter, r *http.Request) { stream(w, r, 7, -1) }),
			})
			w := &recorder{}
			is.Equal(d.Serve(context.Background(), modelRequest(), w), router.Answered{})
			text, ended := w.content()
			is.Equal(text, answerText)
			is.True(ended)
		})
	}
}

// TestOtherEpochIsDiscarded checks that no byte of an answer from another epoch is passed on.
func TestOtherEpochIsDiscarded(t *testing.T) {
	is := is.New(t)
	d := dispatcher.New(dispatcher.Config{Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
	d.SetTargets([]router.Target{startEndpoint(t, "g1", func(w http.ResponseWriter, r *http.Request) { stream(w, r, 6, -1) })})
	w := &recorder{}
	_, unknown := d.Serve(context.Background(), modelRequest(), w).(router.Unknown)
	is.True(unknown)
	is.Equal(w.body.Len(), 0)
}

// TestNonIdempotentIsSentOnce checks that the transport does not replay a call with an
// Idempotency-Key if the endpoint reads the call and then closes the reused connection.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for _, body := range []string{"", `{"hold":"pad-7"}`} {
		t.Run(fmt.Sprintf("body=%d", len(body)), func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			target := startEndpoint(t, "ledger", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.ReadAll(r.Body)
				if r.URL.Path == "/holds" && runs.Add(1) > 0 {
					panic(http.ErrAbortHandler)
				}
			})
			target.Epoch, target.ProcessStart = 0, 0
			d := dispatcher.New(dispatcher.Config{Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
			d.SetTargets([]router.Target{target})
			req := modelRequest()
			req.Kind, req.Path, req.Method = router.KindNonIdempotent, "/warm", http.MethodGet
			is.Equal(d.Serve(context.Background(), req, &recorder{}), router.Answered{})
			req.Path, req.Body = "/holds", []byte(body)
			req.Header = http.Header{"Idempotency-Key": {"k1"}}
			_, unknown := d.Serve(context.Background(), req, &recorder{}).(router.Unknown)
			is.True(unknown)
			is.Equal(runs.Load(), int32(1))
		})
	}
}
