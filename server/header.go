package server

import (
	"net/http"
	"strings"
)

// Header fields of the system in requests and answers.
const (
	headerRequest = "Mill-Request"
	headerTimeout = "Mill-Timeout"
)

// hopByHop are the header fields that apply to a single connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardedHeader returns the header fields of a caller's request that are forwarded to an
// endpoint: all except those of the connection, the bearer key and the fields that begin with
// "Mill-".
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
