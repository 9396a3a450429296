package requester_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"

	"amaranthmill/requester"
)

// A NotSentError shows that a request has not run. After a BrokenError it may have run.
func ExampleRequester_Send() {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s", r.Method, r.URL.Path)
	}))
	r := requester.New(requester.Config{})
	request := &requester.Request{Address: netip.MustParseAddrPort(endpoint.Listener.Addr().String()), Method: "GET", Target: "/holds/7", Host: "ledger"}
	answer, err := r.Send(context.Background(), request)
	if err != nil {
		fmt.Println(err)
		return
	}
	body, err := io.ReadAll(answer)
	fmt.Println(answer.Status, string(body), err)
	endpoint.Close()
	r.Prune()
	_, err = r.Send(context.Background(), &requester.Request{Address: request.Address, Method: "GET", Target: "/", Host: "ledger", NewConnection: true})
	var notSent *requester.NotSentError
	fmt.Println("not sent:", errors.As(err, &notSent))
	// Output:
	// 200 GET /holds/7 <nil>
	// not sent: true
}
