package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/dispatcher"
	"amaranthmill/router"
)

// answerOdd answers with a status and closes the connection.
func answerOdd(t *testing.T, w http.ResponseWriter, status, fields string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 %s Odd\r\nMill-Epoch: 7\r\nMill-Process-Start: 42\r\n%sContent-Length: 2\r\n\r\nok", status, fields)
	_ = buffered.Flush() // the caller may have left
}

// TestStatusThatHTTPDoesNotHaveIsNoAnswer guards against an endpoint in trouble whose answer has a status that HTTP does not have. Such bytes are no
// answer and no statement that the request has not run: nothing of them is passed on, and the caller is told that it may have run. With 000 the
// handler panicked, so that the caller got no answer at all.
func TestStatusThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for _, fields := range []string{"", "Mill-Outcome: notRun\r\n"} {
			for _, kind := range []router.Kind{router.KindModel, router.KindRepeatable, router.KindNonIdempotent} {
				t.Run(fmt.Sprintf("%s/%d/%d", status, len(fields), kind), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					d := dispatcher.New(dispatcher.Config{Claimer: &grantingClaimer{sendBefore: time.Now().Add(time.Minute)}, Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
					d.SetTargets([]router.Target{startEndpoint(t, "g1", func(w http.ResponseWriter, _ *http.Request) { answerOdd(t, w, status, fields) })})
					req := holdRequest()
					req.Kind = kind
					w := &recorder{}
					outcome, isUnknown := d.Serve(context.Background(), req, w).(router.Unknown)
					is.True(isUnknown)
					is.True(outcome.Status >= http.StatusInternalServerError && outcome.Status < 600)
					is.Equal(w.status, 0)
					is.Equal(w.body.Len(), 0)
				})
			}
		}
	}
}

// TestRequestIsRepeatedAfterOddStatus checks that a request that may be repeated is served by another endpoint.
func TestRequestIsRepeatedAfterOddStatus(t *testing.T) {
	is := is.New(t)
	d := dispatcher.New(dispatcher.Config{Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
	d.SetTargets([]router.Target{
		startEndpoint(t, "g1", func(w http.ResponseWriter, _ *http.Request) { answerOdd(t, w, "000", "") }),
		startEndpoint(t, "g2", func(w http.ResponseWriter, r *http.Request) { stream(w, r, 7, -1) }),
	})
	for range 10 {
		w := &recorder{}
		is.Equal(d.Serve(context.Background(), modelRequest(), w), router.Answered{})
		text, ended := w.content()
		is.Equal(text, answerText)
		is.True(ended)
	}
}
