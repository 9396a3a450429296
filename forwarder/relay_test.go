package forwarder_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestConnectionFieldsOfEndpoint checks that the fields of an endpoint's connection do not reach
// the caller of a stream: its connection stays open, unless the instance itself drains.
func TestConnectionFieldsOfEndpoint(t *testing.T) {
	for _, tc := range []struct {
		name       string
		connection string
		draining   bool
	}{
		{name: "close", connection: "close"},
		{name: "keepAlive", connection: "keep-alive"},
		{name: "draining", connection: "keep-alive, Local", draining: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			x := newFixture(t)
			x.add(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Connection", tc.connection)
				if tc.draining {
					w.Header().Set("Local", "1")
				}
				w.Header().Set("Keep-Alive", "timeout=5")
				events(w, r, 1, false)
			})
			if tc.draining {
				x.f.Drain()
			}
			resp := x.get("/stream/x")
			is.Equal(body(resp), "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
			is.Equal(resp.Close, tc.draining)
			is.Equal(resp.Header.Get("Keep-Alive"), "")
			is.Equal(resp.Header.Get("Local"), "")
			is.Equal(resp.Header.Get("Connection"), "")
		})
	}
}
