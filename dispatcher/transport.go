package dispatcher

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"amaranthmill/router"
)

// hopHeaders belong to one connection or to this system and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Authorization", "Content-Length", "Accept-Encoding",
}

func newTransport(c Config) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: c.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: c.IdleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      16 << 10,
		WriteBufferSize:     16 << 10,
	}
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
		if a.Resume > 0 {
			out.Header.Set("Mill-Resume", strconv.Itoa(a.Resume))
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
	if a.Resume > 0 && h.Get("Mill-Resume") != strconv.Itoa(a.Resume) {
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
