package requester_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/requester"
)

// refusingEndpoint refuses the first request of each connection, and writes that refusal once more before it answers the next
// one. It counts the requests that it has run.
type refusingEndpoint struct {
	namesRequest bool // its refusals carry the ID of the request
	ran          chan string
}

func (e *refusingEndpoint) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			in, refusal := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				id := r.Header.Get("Id")
				if refusal == "" {
					header := ""
					if e.namesRequest {
						header = "Id: " + id + "\r\n"
					}
					refusal = "HTTP/1.1 503 Service Unavailable\r\n" + header + "Content-Length: 0\r\n\r\n"
					_, _ = io.WriteString(conn, refusal)
					continue
				}
				e.ran <- id
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", refusal, id)
			}
		}()
	}
}

// TestCopyOfRefusalIsNoAnswer guards against a request that the endpoint runs and whose caller is told that it has not run: the
// endpoint writes its refusal of an earlier request on the connection once more, with or without its ID. The earlier request
// may be the same one, which is sent again.
func TestCopyOfRefusalIsNoAnswer(t *testing.T) {
	for _, namesRequest := range []bool{false, true} {
		for _, second := range []string{"r2", "r1"} {
			t.Run(fmt.Sprintf("namesRequest=%t,second=%s", namesRequest, second), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				e := &refusingEndpoint{namesRequest: namesRequest, ran: make(chan string, 4)}
				go e.serve(l)
				r := requester.New(requester.Config{IdentityHeader: "Id"})
				status, err := sendAs(r, l.Addr(), "r1")
				is.NoErr(err)
				is.Equal(status, http.StatusServiceUnavailable)
				status, err = sendAs(r, l.Addr(), second)
				var broken *requester.BrokenError
				isUnknown := errors.As(err, &broken)
				is.True(isUnknown || err == nil)
				if status == http.StatusServiceUnavailable {
					is.Equal(len(e.ran), 0) // a refusal is true
				}
			})
		}
	}
}

// sendAs sends a request with an ID and returns the status of its answer.
func sendAs(r *requester.Requester, address net.Addr, id string) (int, error) {
	a, err := r.Send(context.Background(), &requester.Request{
		Address: netip.MustParseAddrPort(address.String()), Method: http.MethodPost, Target: "/", Host: "h", ID: id, Header: http.Header{"Id": {id}},
	})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, a)
	return a.Status, err
}
