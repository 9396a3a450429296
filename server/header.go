package server

import (
	"net/http"
	"strings"
)

// Headers between the system, its callers and the endpoints.
const (
	headerRequest = "Mill-Request"
	headerTimeout = "Mill-Timeout"
)

// hopByHop are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns the headers of a caller that an endpoint gets: all but those of
// the connection, the bearer key and the system's own.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, named := range in.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range in {
		if strings.HasPrefix(name, "Mill-") {
			out.Del(name)
		}
	}
	out.Del("Authorization")
	return out
}
