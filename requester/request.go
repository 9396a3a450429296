package requester

import (
	"bufio"
	"net/http"
	"net/netip"
	"strconv"
)

// Request is a request for one endpoint.
type Request struct {
	Address       netip.AddrPort
	Method        string
	Target        string // path and query, exactly as they are to be sent
	Host          string
	Header        http.Header // without those that concern one connection; not changed
	Body          []byte
	HasBody       bool   // a length is sent, also for an empty body
	ID            string // identity, which the answer echoes; empty if answers are not matched
	NewConnection bool   // a connection of its own, because it must not meet one that the endpoint gave up
}

// write sends r. The number of bytes that may have left is at least those that the connection took.
func (r *Request) write(w *bufio.Writer) error {
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(w)
	if r.HasBody || len(r.Body) > 0 {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(r.Body)
	return w.Flush() // reports the first error of all writes
}
