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

// hopByHopHeaders are the header fields of one connection or of this system. They are not forwarded.
var hopByHopHeaders = []string{
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

// idleTimeout is shorter than the idle timeout of most endpoints, so that an endpoint seldom
// closes a connection while a request is written to it.
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

// Write writes to the connection and counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// sendEvidence records whether a byte of one request may have been written.
type sendEvidence struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64 // bytes written to conn before this request
	usedUncounted atomic.Bool  // a second connection or one that does not count bytes was used
}

// trace returns the hooks that collect the evidence.
func (e *sendEvidence) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok || e.conn.Load() != nil {
			e.usedUncounted.Store(true)
			return
		}
		e.writtenBefore.Store(conn.written.Load())
		e.conn.Store(conn)
	}}
}

// mayHaveSent reports whether a byte of the request may have been written. After ctx has
// ended the transport may still write, so that it is then true if there was any connection.
func (e *sendEvidence) mayHaveSent(ctx context.Context) bool {
	conn := e.conn.Load()
	if conn == nil || ctx.Err() != nil {
		return conn != nil || e.usedUncounted.Load()
	}
	return e.usedUncounted.Load() || conn.written.Load() != e.writtenBefore.Load()
}

// singleUseBody is a request body that the transport can't rewind. http.Transport replays a
// request on another connection if its body is absent, http.NoBody or has GetBody, and
// its method is idempotent or it carries an Idempotency-Key. A singleUseBody is none of
// these, even if it is empty.
type singleUseBody struct{ io.Reader }

// Close does nothing.
func (singleUseBody) Close() error { return nil }

// newRequest builds the HTTP request for one attempt.
func newRequest(req *router.Request, a router.Dispatch) (*http.Request, error) {
	out, err := http.NewRequest(req.Method, "http://"+a.Target.Address.String()+requestPath(req), nil)
	if err != nil {
		return nil, err
	}
	out.Body = singleUseBody{bytes.NewReader(req.Body)}
	out.ContentLength = int64(len(req.Body))
	out.Header = endToEndHeader(req.Header)
	out.Header.Set("Mill-Request", string(req.ID))
	out.Header.Set("Mill-Deadline", req.Deadline.Format(time.RFC3339Nano))
	if req.Kind == router.KindModel {
		out.Header.Set("Mill-Epoch", strconv.FormatUint(uint64(a.Target.Epoch), 10))
		setIfNotEmpty(out.Header, "Mill-Adapter", req.Adapter)
		if a.ResumeFrom > 0 {
			out.Header.Set("Mill-Resume", strconv.Itoa(a.ResumeFrom))
		}
	}
	return out, nil
}

func requestPath(req *router.Request) string {
	if req.Kind == router.KindModel {
		return "/v1/chat/completions"
	}
	if !strings.HasPrefix(req.Path, "/") {
		return "/" + req.Path
	}
	return req.Path
}

func setIfNotEmpty(h http.Header, key, value string) {
	if value != "" {
		h.Set(key, value)
	}
}

// endToEndHeader returns a copy of h without the fields that apply to one connection or to this system.
func endToEndHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+5)
	for key, values := range h {
		if !strings.HasPrefix(key, "Mill-") {
			out[key] = values
		}
	}
	for _, key := range hopByHopHeaders {
		out.Del(key)
	}
	return out
}

// matchesDispatch reports whether the answer with header h comes from the epoch and process
// start of the dispatch and resumes at the requested position.
func matchesDispatch(h http.Header, a router.Dispatch) bool {
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
