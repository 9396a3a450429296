package storeclient_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/storeclient"
)

// TestEndlessAnswers checks that an answer of the store without end is given up after a bound of
// bytes or the call's timeout, that the client closes the connection, and that a write whose answer
// had no end may have taken effect.
func TestEndlessAnswers(t *testing.T) {
	is := is.New(t)
	running := &atomic.Int32{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		for block := `{"items":[` + strings.Repeat("x", 32<<10); ; {
			if _, err := io.WriteString(w, block); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	newClient := func() *storeclient.Client {
		return storeclient.New(storeclient.Config{Address: netip.MustParseAddrPort(s.Listener.Addr().String()), Attempts: 1, CallTimeout: 5 * time.Second})
	}
	_, err := newClient().Get(t.Context(), "groups/a")
	is.True(errors.As(err, new(*storeclient.UnavailableError)))
	_, err = newClient().Create(t.Context(), "groups/a", nil, "")
	is.True(errors.As(err, new(*storeclient.UnknownError)))
	for end := time.Now().Add(10 * time.Second); running.Load() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // all connections are closed
	}
}
