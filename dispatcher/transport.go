package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"amaranthmill/router"
)

// hopHeaders belong to one connection or to this system and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Accept-Encoding",
}

func newTransport(c Config) *http.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return countWrites(dialer.DialContext(ctx, network, address))
		},
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      16 << 10,
		WriteBufferSize:     16 << 10,
	}
}

// idleTimeout is shorter than most endpoints' own, so that they seldom close a
// connection while a request is written to it.
const idleTimeout = 10 * time.Second

// countingConn counts the bytes written to a connection.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func countWrites(conn net.Conn, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// Write writes to the connection and counts what it took.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// sendEvidence tells whether a byte of one request may have been written.
type sendEvidence struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64 // bytes written to conn before this request
	other  atomic.Bool  // a connection that does not count was used
}

// trace returns the hooks that gather the evidence.
func (e *sendEvidence) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok || e.conn.Load() != nil {
			e.other.Store(true)
			return
		}
		e.before.Store(conn.written.Load())
		e.conn.Store(conn)
	}}
}

// mayBeSent reports whether a byte of the request may have been written. After the end of
// ctx the transport may still write, so that then a connection is enough.
func (e *sendEvidence) mayBeSent(ctx context.Context) bool {
	conn := e.conn.Load()
	if conn == nil || ctx.Err() != nil {
		return conn != nil || e.other.Load()
	}
	return e.other.Load() || conn.written.Load() != e.before.Load()
}

// onceBody is a request body that the transport can't rewind. http.Transport replays a
// request on another connection if its body is absent, http.NoBody or has GetBody, and
// its method is idempotent or it carries an Idempotency-Key. An onceBody is none of
// these, also when it is empty.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }

// newRequest builds the HTTP request for one attempt.
func newRequest(req *router.Request, a router.Dispatch) (*http.Request, error) {
	out, err := http.NewRequest(req.Method, "http://"+a.Target.Address.String()+path(req), nil)
	if err != nil {
		return nil, err
	}
	out.Body = onceBody{bytes.NewReader(req.Body)}
	out.ContentLength = int64(len(req.Body))
	out.Header = passedHeader(req.Header)
	out.Header.Set("Mill-Request", string(req.ID))
	out.Header.Set("Mill-Deadline", req.Deadline.Format(time.RFC3339Nano))
	if req.Kind == router.KindModel {
		out.Header.Set("Mill-Epoch", strconv.FormatUint(uint64(a.Target.Epoch), 10))
		setIfAny(out.Header, "Mill-Adapter", req.Adapter)
		if a.ResumeFrom > 0 {
			out.Header.Set("Mill-Resume", strconv.Itoa(a.ResumeFrom))
		}
	}
	return out, nil
}

func path(req *router.Request) string {
	if req.Kind == router.KindModel {
		return "/v1/chat/completions"
	}
	if !strings.HasPrefix(req.Path, "/") {
		return "/" + req.Path
	}
	return req.Path
}

func setIfAny(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// passedHeader returns a copy of h without the fields of one connection or of this system.
func passedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+5)
	for key, values := range h {
		if !strings.HasPrefix(key, "Mill-") {
			out[key] = values
		}
	}
	for _, key := range hopHeaders {
		out.Del(key)
	}
	return out
}

// isSame reports whether the answer comes from the epoch and process start of the
// dispatch, and goes on at the position asked for.
func isSame(h http.Header, a router.Dispatch) bool {
	if a.ResumeFrom > 0 && h.Get("Mill-Resume") != strconv.Itoa(a.ResumeFrom) {
		return false
	}
	if a.Target.Epoch != 0 && h.Get("Mill-Epoch") != strconv.FormatUint(uint64(a.Target.Epoch), 10) {
		return false
	}
	start := h.Get("Mill-Process-Start")
	if a.Target.ProcessStart == 0 || (start == "" && a.Target.Epoch == 0) {
		return true
	}
	return start == strconv.FormatInt(int64(a.Target.ProcessStart), 10)
}
