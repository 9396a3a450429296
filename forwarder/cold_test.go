package forwarder_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/forwarder"
	"amaranthmill/scheduler"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// TestColdEndpointIsLimitedByItsAnswer checks that an endpoint that says in an answer that it is cold gets no requests beyond its
// limit, that a request which can't be placed in its time is refused at once and told when the endpoint is warm, and that both changes are
// logged. This instance is not listed, and so sends nothing to cold endpoints.
func TestColdEndpointIsLimitedByItsAnswer(t *testing.T) {
	is := is.New(t)
	log := &lockedBuffer{}
	x := newFixtureWith(t, func(c *forwarder.Config) { c.Logger = zerolog.New(log) })
	endpoint := x.add(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signature", "s")
		w.Header().Set("Cold-For", "1s")
	})
	x.targets[0].ColdLimit = 15
	x.f.ChangeTargets(scheduler.TargetsChanged{Complete: true, Changed: x.targets})
	is.Equal(x.get("/look/1", "Id", "first").StatusCode, http.StatusOK)
	for i := range 5 {
		resp := x.get("/look/1", "Id", fmt.Sprintf("r%d", i))
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		is.True(resp.Header.Get("Retry-After") != "")
	}
	is.Equal(endpoint.Load(), int32(1))
	is.True(strings.Contains(log.String(), "endpoint cold"))
	time.Sleep(time.Second)
	is.Equal(x.get("/look/1", "Id", "last").StatusCode, http.StatusOK)
	is.True(strings.Contains(log.String(), "endpoint warm"))
}

// TestReportColdLimits checks that what an answer to a liveness check says about coldness limits the endpoint as an answer to a request
// does.
func TestReportColdLimits(t *testing.T) {
	is := is.New(t)
	x := newFixture(t)
	x.targets = []scheduler.Target{{ID: "e0", Pool: "s", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 8, ColdLimit: 15}}
	x.f.ChangeTargets(scheduler.TargetsChanged{Complete: true, Changed: x.targets})
	x.f.ReportCold(x.targets[0].Process(), 30*time.Second)
	is.Equal(x.get("/look/1", "Id", "first").StatusCode, http.StatusServiceUnavailable)
}
