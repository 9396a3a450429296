package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is what a client sends in one attempt.
type request struct {
	id, front, method, path, host, key, label string
	body                                      []byte
	budget                                    time.Duration
	header                                    map[string]string
}

// result is what a client has seen of one attempt.
type result struct {
	request
	sentAt, endedAt time.Time
	status          int // zero if no answer came
	body            string
	sealed          bool
	err             error
}

// results collects the results of all clients.
type results struct {
	mu  sync.Mutex
	all []result
}

func (r *results) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *results) list() []result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]result(nil), r.all...)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// channel is one client's channel to a front, which it keeps for many requests.
type channel struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one attempt and waits for its answer until the time budget is over.
func (c *channel) send(q request) result {
	out := result{request: q}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			out.sentAt, out.endedAt, out.err = time.Now(), time.Now(), err
			return out
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\n", q.method, q.path, q.host, q.id, q.budget.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.key)
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	out.sentAt = time.Now()
	_ = c.conn.SetDeadline(out.sentAt.Add(q.budget))
	keeps := false
	_, out.err = c.conn.Write(b.Bytes())
	if out.err == nil {
		var resp *http.Response
		if resp, out.err = http.ReadResponse(c.in, &http.Request{Method: q.method}); out.err == nil {
			var text []byte
			text, out.err = io.ReadAll(resp.Body)
			resp.Body.Close()
			out.body, out.sealed = string(text), resp.Header.Get("X-Server-Seal") != ""
			if out.err == nil {
				out.status = resp.StatusCode
			}
			keeps = out.err == nil && !resp.Close
		}
	}
	out.endedAt = time.Now()
	if !keeps {
		c.close()
	}
	return out
}

// describe returns a line of the record about a result.
func (r result) describe() string {
	end := fmt.Sprintf("answer %d", r.status)
	if r.err != nil {
		end = "no answer: " + strings.ReplaceAll(r.err.Error(), "\n", " ")
	}
	if r.status/100 == 2 {
		first, _, _ := strings.Cut(r.body, " ")
		end += " from " + first
	}
	return fmt.Sprintf("client %s via %s %s %s %s key %s: %s after %d ms", r.label, r.front, r.id, r.method, r.path, r.key, end, r.endedAt.Sub(r.sentAt).Milliseconds())
}
