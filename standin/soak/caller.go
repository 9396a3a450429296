package soak

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strings"
	"time"

	"amaranthmill/standin/hosted"
)

// Settings of the callers and their requests.
const (
	deadline    = 3 * time.Second
	callerGrace = 2 * time.Second // beyond the deadline, after which a caller cancels its request
	maxPause    = 60 * time.Millisecond
	events      = 25 // in each stream
	secondKey   = "k2"
)

// caller sends one request at a time over persistent connections, each to a random instance.
type caller struct {
	soak   *soak
	name   string
	body   string // of every request; if empty, each request has a body of its own
	rand   *rand.Rand
	client *http.Client
	count  int

	crashingPart bool // the prompt of every request has the part that crashes engines
}

func (s *soak) newCaller(n int, r *rand.Rand) *caller {
	return &caller{soak: s, name: fmt.Sprintf("c%d", n), rand: r, client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// run sends requests until ctx is done. It completes the request that is in progress then.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.soak.record.addRequest(c.send(c.rand.IntN(len(c.soak.instances)), c.rand.IntN(3) == 0, c.rand.IntN(8) == 0))
		select {
		case <-time.After(randomDuration(c.rand, maxPause)):
		case <-ctx.Done():
		}
	}
}

// send sends one request and returns the request with its outcome.
func (c *caller) send(instance int, plain, withSecondKey bool) sentRequest {
	c.count++
	s := sentRequest{id: fmt.Sprintf("%s-%d", c.name, c.count), instance: instance, plain: plain, withSecondKey: withSecondKey, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+callerGrace)
	defer cancel()
	var client netip.AddrPort
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		client = i.Conn.LocalAddr().(*net.TCPAddr).AddrPort()
	}})
	resp, err := c.client.Do(c.request(ctx, s))
	if err == nil {
		s.status, s.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		s.engine, s.leaving = resp.Header.Get("X-Server-Seal"), resp.Header.Get("Server-Leaving") != ""
		s.limited, s.headerAt = resp.Header.Get("Server-Limit") != "", time.Now()
		s.complete, s.defect = readAnswer(resp, s)
		_ = resp.Body.Close()
	}
	s.endedAt = time.Now()
	s.silenced = c.soak.instances[instance].callers.IsSilenced(client)
	return s
}

func (c *caller) request(ctx context.Context, s sentRequest) *http.Request {
	path, key := "/guides/brief", hosted.APIKey
	if s.plain {
		path = "/holds/7"
	}
	if s.withSecondKey {
		key = secondKey
	}
	url := "http://" + c.soak.instances[s.instance].callers.Address().String() + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(cmp.Or(c.body, "hold "+s.id)))
	if err != nil {
		panic(err) // the address of a link always gives a valid URL
	}
	r.GetBody = nil // keeps the HTTP client from sending the request again
	r.Host = hosted.Host
	r.Header.Set("X-Attempt-Id", s.id)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("X-Model", modelName)
	r.Header.Set("X-Token-Counts", "100,200")
	r.Header.Set("X-Prompt-Prefix", c.prompt())
	r.Header.Set("Authorization", "Token "+key)
	return r
}

// readAnswer reads an answer to its end and returns whether it is complete and its defect, if
// any. A truncated answer is not a defect, unless it appears to be complete.
func readAnswer(resp *http.Response, s sentRequest) (complete bool, defect string) {
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return err == nil, ""
	}
	if resp.Header.Get("X-Server-Seal") == "" {
		return false, "a success without the engine's signature"
	}
	if id := resp.Header.Get("X-Attempt-Id"); id != s.id {
		return false, "the answer is of request " + id
	}
	if s.plain {
		return readPlain(resp.Body)
	}
	return readStream(resp.Body, s.id)
}

// readPlain reads the answer to a plain request and compares it with the expected body.
func readPlain(body io.Reader) (complete bool, defect string) {
	text, err := io.ReadAll(body)
	if err != nil {
		return false, ""
	}
	if want := "POST /holds/7 for " + hosted.Account; string(text) != want {
		return false, fmt.Sprintf("the body is %q", text)
	}
	return true, ""
}

// readStream checks that the events occur once and in order and belong to the request, and
// that a stream that ends normally has all events.
func readStream(body io.Reader, id string) (complete bool, defect string) {
	in := bufio.NewReader(body)
	next := 0
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) && next == events {
			return true, ""
		}
		if errors.Is(err, io.EOF) {
			return false, fmt.Sprintf("the stream ends as complete after %d events", next)
		}
		if err != nil {
			return false, ""
		}
		if got, ok := strings.CutPrefix(line, "id: "); ok {
			if strings.TrimSpace(got) != fmt.Sprint(next) {
				return false, fmt.Sprintf("event %s comes after %d events", strings.TrimSpace(got), next)
			}
			next++
		}
		if got, ok := strings.CutPrefix(line, "data: "); ok && strings.TrimSpace(got) != id {
			return false, "an event is of request " + strings.TrimSpace(got)
		}
	}
}
