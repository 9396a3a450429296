package requester

import (
	"bufio"
	"net/http"
	"net/netip"
	"strconv"
)

// Request is a request to one endpoint.
type Request struct {
	Address       netip.AddrPort
	Method        string
	Target        string // path and query, sent exactly as given
	Host          string
	Header        http.Header // header fields, without those of the connection; not modified
	Body          []byte
	HasBody       bool   // sends Content-Length even if Body is empty
	ID            string // ID that the answer echoes; empty if the answer is not matched
	NewConnection bool   // opens a new connection, because the endpoint may be closing an idle connection
}

// write writes r to w and flushes w. If it fails, part of r may have been sent: the connection
// counts the bytes that it took.
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
