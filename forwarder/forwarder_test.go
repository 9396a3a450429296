package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamResumes checks that a stream which breaks within an event resumes at another
// endpoint after the last complete event, and keeps the header of the first answer.
func TestStreamResumes(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	var mu sync.Mutex
	first := true
	for range 2 {
		x.add(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			broken := first
			first = false
			mu.Unlock()
			if broken {
				events(w, r, 2, true)
				return
			}
			is.Equal(r.Header.Get("Last-Event"), "2")
			events(w, r, 4, false)
		})
	}
	resp := x.get("/stream/x")
	text := body(resp)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Header.Get("Signature") != "")
	is.Equal(strings.Count(text, "data: "), 5)
	is.True(strings.HasSuffix(text, "id: 4\ndata: e\n\n"))
	is.True(!strings.Contains(text, "99"))
}

// TestStreamAborted checks that a stream that can't resume does not look complete to the caller.
func TestStreamAborted(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	for range 2 {
		x.add(func(w http.ResponseWriter, r *http.Request) { events(w, r, 1, true) })
	}
	resp := x.get("/stream/x")
	_, err := io.ReadAll(resp.Body)
	is.True(err != nil)
}

// secondAnswers are answers that do not go on with a stream.
var secondAnswers = map[string]http.HandlerFunc{
	"empty stream": func(w http.ResponseWriter, r *http.Request) { events(w, r, -1, false) },
	"reset after the head": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "s")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	},
	"error": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "s")
		http.Error(w, "failed-text", http.StatusInternalServerError)
	},
	"refusal": func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		http.Error(w, "failed-text", http.StatusServiceUnavailable)
	},
	"answer without length": func(w http.ResponseWriter, _ *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = out.WriteString("HTTP/1.1 500 Internal Server Error\r\nSignature: s\r\n\r\nfailed-text")
		_ = out.Flush()
		_ = conn.Close()
	},
}

// TestNoSecondAnswerCompletesBrokenStream checks that a stream which has begun and breaks does not end as complete, nor with
// the text of an error, if the next endpoint does not go on with it, directly or through a peer.
func TestNoSecondAnswerCompletesBrokenStream(t *testing.T) {
	for name, second := range secondAnswers {
		for _, viaPeer := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s,viaPeer=%t", name, viaPeer), func(t *testing.T) {
				is := is.New(t)
				var once sync.Once
				handler := func(w http.ResponseWriter, r *http.Request) {
					answer := second
					once.Do(func() { answer = func(w http.ResponseWriter, r *http.Request) { events(w, r, 2, true) } })
					answer(w, r)
				}
				text, err := getFromTwo(t, viaPeer, handler)
				is.True(err != nil)
				is.True(!strings.Contains(text, "failed-text") && !strings.Contains(text, "HTTP/"))
				is.True(strings.Count(text, "data: ") == 3)
			})
		}
	}
}

// getFromTwo requests a stream from two endpoints with the same handler, through a peer or directly, and returns what arrived.
func getFromTwo(t *testing.T, viaPeer bool, h http.HandlerFunc) (string, error) {
	var resp *http.Response
	if viaPeer {
		fl := newFleet(t, 1)
		for range 2 {
			fl.peers["peer-1"].add(h)
		}
		resp = fl.get("/stream/x")
	} else {
		x := newFixture(t)
		for range 2 {
			x.add(h)
		}
		resp = x.get("/stream/x")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestEmptyStream checks that a stream without any event is not a valid answer, unless the caller resumes after the last event.
func TestEmptyStream(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, r *http.Request) { events(w, r, -1, false) })
	is.Equal(x.get("/stream/x").StatusCode, http.StatusBadGateway)
	resp := x.get("/stream/x", "Last-Event", "7")
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Header.Get("Signature") != "")
}

// TestNonIdempotentOnce checks that a non-idempotent request whose answer is lost is sent once and ends as unknown.
func TestNonIdempotentOnce(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	truncate := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "s")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "partial")
		panic(http.ErrAbortHandler)
	}
	a, b := x.add(truncate), x.add(truncate)
	is.Equal(x.get("/hold/x").StatusCode, http.StatusBadGateway)
	is.Equal(a.Load()+b.Load(), int32(1))
}

// TestRefusals checks that a request ends as not run only if the endpoint states explicitly
// that it did not run it. After a 503 without that statement the request may have run.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	resp := x.get("/hold/x")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(resp.Header.Get("Id"), "try-1")

	x = newFixture(t)
	x.add(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	is.Equal(x.get("/hold/x").StatusCode, http.StatusBadGateway)
}

// TestForeignBytes checks that an answer to an earlier request is skipped, and that bytes which
// are unsigned, encoded, without the request's ID or not an answer never reach the caller.
func TestForeignBytes(t *testing.T) {
	answer := func(id, extra, text string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, extra, len(text), text)
	}
	cases := map[string]func(id string) string{
		"earlier": func(id string) string {
			return answer("other", "Signature: s\r\n", "no") + answer(id, "Signature: s\r\n", "yes")
		},
		"unsigned": func(id string) string { return answer(id, "", "no") },
		"encoded":  func(id string) string { return answer(id, "Signature: s\r\nContent-Encoding: gzip\r\n", "no") },
		"garbage":  func(string) string { return "no answer at all\r\n\r\n" },
		"nobody":   func(string) string { return answer("", "Signature: s\r\n", "no") },
	}
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.raw(bytes)
			resp := x.get("/hold/x")
			if name == "earlier" {
				is.Equal(body(resp), "yes")
				return
			}
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		})
	}
}

// TestExtraAnswer checks that a second answer to one request is not taken for the answer to the next request.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.raw(func(id string) string {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
		return answer + answer
	})
	for i := range 4 {
		id := fmt.Sprintf("try-%d", i)
		is.Equal(body(x.get("/look/x", "Id", id)), id)
	}
}

// TestUnchanged checks that method, path, query and body reach the endpoint unchanged, and
// that the caller's key does not.
func TestUnchanged(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.add(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		w.Header().Set("Signature", "s")
		_, _ = fmt.Fprintf(w, "%s %s %s %s %q", r.Method, r.RequestURI, text, r.Header.Get("Account"), r.Header.Get("Key"))
	})
	r, err := http.NewRequest(http.MethodPost, x.server.URL+"/hold//a/../b%2Fc/?q=%20x&&y", io.NopCloser(strings.NewReader("pad 7")))
	is.NoErr(err)
	r.Header.Set("Key", "k1")
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(body(resp), `POST /hold//a/../b%2Fc/?q=%20x&&y pad 7 observatory ""`)
}

// TestRefusedBeforeScheduling checks the statuses of requests that reach no endpoint.
func TestRefusedBeforeScheduling(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	is.Equal(x.get("/nothing/x").StatusCode, http.StatusNotFound)
	is.Equal(x.get("/hold/x", "Key", "k2").StatusCode, http.StatusUnauthorized)
	is.Equal(x.get("/hold/x").StatusCode, http.StatusServiceUnavailable) // no target
	r, err := http.NewRequest(http.MethodPost, x.server.URL+"/hold/x", strings.NewReader(strings.Repeat("x", 2000)))
	is.NoErr(err)
	r.Header["Key"] = []string{"k1"}
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	r, err = http.NewRequest(http.MethodGet, x.server.URL+"/hold/x", nil)
	is.NoErr(err)
	r.Header["Key"] = []string{"k1", "k2"}
	resp, err = http.DefaultClient.Do(r)
	is.NoErr(err)
	_ = resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusBadRequest)
}

// TestCallerLeaves checks that the request of a stream is canceled at the endpoint as soon as
// its caller disconnects, and that a non-idempotent request continues to its end.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	left := make(chan bool, 2)
	x.add(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/hold") {
			select {
			case <-r.Context().Done():
				left <- false
			case <-time.After(100 * time.Millisecond):
				left <- true
			}
			return
		}
		events(w, r, 0, false)
		<-r.Context().Done()
		left <- true
	})
	resp := x.get("/stream/x")
	_, _ = resp.Body.Read(make([]byte, 4))
	_ = resp.Body.Close()
	is.True(<-left)
	client := http.Client{Timeout: 20 * time.Millisecond}
	r, err := http.NewRequest(http.MethodGet, x.server.URL+"/hold/x", nil)
	is.NoErr(err)
	r.Header.Set("Key", "k1")
	_, err = client.Do(r)
	is.True(err != nil)
	is.True(<-left)
}

// TestDeadline checks that a request without an answer ends at the end of its caller's timeout.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	x.add(func(http.ResponseWriter, *http.Request) { <-release })
	began := time.Now()
	is.Equal(x.get("/hold/x", "Timeout", "150").StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(began) < time.Second)
}
