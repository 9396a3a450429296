package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"

	"amaranthmill/forwarder"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// hopField is the header field of the exchanges between instances.
const hopField = "Amaranthmill-Hop"

// fleet is an instance whose connections to endpoints are refused, with peers that reach theirs.
type fleet struct {
	*fixture
	peers map[identifier.Instance]*peerInstance
	left  chan identifier.Process // processes that have said to the instance that they leave
}

// peerInstance is a peer with the server on which it answers the other instances.
type peerInstance struct {
	*fixture
	server   *httptest.Server
	requests atomic.Int32
}

// newFleet returns a fleet in which the instance has endpoints that refuse connections, and n peers without
// endpoints.
func newFleet(t *testing.T, n int) *fleet {
	fl := &fleet{peers: map[identifier.Instance]*peerInstance{}, left: make(chan identifier.Process, 4)}
	instances := []scheduler.Instance{{Name: "here"}}
	for i := range n {
		name := identifier.Instance(fmt.Sprintf("peer-%d", i+1))
		instances = append(instances, scheduler.Instance{Name: name})
		fl.peers[name] = newPeer(t, name)
	}
	fl.fixture = newFixtureWith(t, func(cfg *forwarder.Config) {
		cfg.Scheduler.Instance = "here"
		cfg.PeerAddress = fl.address
		cfg.OnLeaving = func(p identifier.Process) { fl.left <- p }
	})
	for range 4 {
		fl.addAddress(unusedAddress(t))
	}
	fl.f.SetInstances(instances)
	return fl
}

func newPeer(t *testing.T, name identifier.Instance) *peerInstance {
	p := &peerInstance{fixture: newFixtureWith(t, func(cfg *forwarder.Config) { cfg.Scheduler.Instance = name })}
	h := p.f.PeerHandler(http.NotFoundHandler())
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.requests.Add(1)
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(p.server.Close)
	return p
}

func (fl *fleet) address(name identifier.Instance) (netip.AddrPort, bool) {
	p := fl.peers[name]
	if p == nil {
		return netip.AddrPort{}, false
	}
	return netip.MustParseAddrPort(p.server.Listener.Addr().String()), true
}

// unusedAddress returns an address that refuses connections until the test ends. Its port stays bound, so that no server of another
// test gets it.
func unusedAddress(t *testing.T) string {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	bound := name.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
}

// signed answers with a text under the endpoint's signature.
func signed(w http.ResponseWriter, text string) {
	w.Header().Set("Signature", "s")
	_, _ = io.WriteString(w, text)
}
