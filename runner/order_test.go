package runner

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/configurer"
	"amaranthmill/endpointlister"
	"amaranthmill/groupformer"
	"amaranthmill/leaser"
)

// TestOrderIsNotSentAfterLease checks that an order whose turn comes after the end of the lease is not
// sent: another instance may form groups by then.
func TestOrderIsNotSentAfterLease(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		w.WriteHeader(http.StatusAccepted)
	}))
	defer engine.Close()
	s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d0"}
	s.Machine.MemoryMB = 419
	h, err := newHosted(s, zerolog.Nop())
	is.NoErr(err)
	h.groupFormer.addresses.set([]endpointlister.Endpoint{{ID: "i-1", Address: netip.MustParseAddrPort(engine.Listener.Addr().String())}})
	order := groupformer.Order{ID: "i-1", Number: 1, Operation: groupformer.Stage{Model: "large"}}
	h.groupFormer.sendOrder(order)
	is.Equal(received.Load(), int32(0)) // the lease was never held
	h.groupFormer.setLease(leaser.Hold{Until: time.Now().Add(time.Minute), Fence: 1})
	h.groupFormer.sendOrder(order)
	is.Equal(received.Load(), int32(1))
	h.groupFormer.setLease(leaser.Hold{Until: time.Now(), Fence: 1})
	h.groupFormer.sendOrder(order)
	is.Equal(received.Load(), int32(1))
}
