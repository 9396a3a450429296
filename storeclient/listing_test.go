package storeclient_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"amaranthmill/storeclient"

	"github.com/matryer/is"
)

// TestListInstancesFetchesChangesOnly checks that the client receives each version of the list only
// once. The server sends an empty answer if the client has the current version.
func TestListInstancesFetchesChangesOnly(t *testing.T) {
	is := is.New(t)
	bodies := map[string]string{
		`"1"`: `{"instances":[{"name":"e1","address":"10.0.0.1:1"}]}`,
		`"2"`: `{"instances":[{"name":"e2","address":"10.0.0.2:1"}]}`,
	}
	version, sent := `"1"`, 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", version)
		if r.Header.Get("If-None-Match") == version {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_, _ = w.Write([]byte(bodies[version]))
	}))
	defer s.Close()
	c := storeclient.New(storeclient.Config{Address: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))})
	for _, want := range []string{"e1", "e1", "e2", "e2"} {
		if want == "e2" {
			version = `"2"`
		}
		l, err := c.ListInstances(t.Context())
		is.NoErr(err)
		is.Equal(l[0].Name, want)
	}
	is.Equal(sent, 2)
}
