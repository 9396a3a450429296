package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/configurer"
	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/quarantiner"
	"amaranthmill/storeclient"

	"github.com/rs/zerolog"
)

// newConnectionInstance returns an instance whose list has an endpoint at each of the addresses. It is not run.
func newConnectionInstance(t *testing.T, name identifier.Instance, addresses []string) *hosted {
	s := &configurer.HostedSettings{Instance: name, FailureDomain: "here"}
	s.Machine.MemoryMB = 400
	h, err := newHosted(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	var changes []storeclient.Change
	for i, address := range addresses {
		value, err := json.Marshal(map[string]any{"service": "ledger", "address": address, "zone": "here", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 0, "born": 1787150514949})
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, storeclient.Change{Entry: storeclient.Entry{Key: fmt.Sprintf("servers/i-%d", i), Value: value}})
	}
	h.view.applyFromStore(changes)
	return h
}

// listen returns an address that accepts connections, or one that refuses them. One that refuses is bound until the test
// ends: a port that is given back at once may become that of another listener, which then accepts.
func listen(t *testing.T, accepts bool) string {
	if !accepts {
		return bindRefused(t)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// bindRefused returns the address of a socket that does not listen.
func bindRefused(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := bound.(*syscall.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)).String()
}

// TestCutInstanceSuspectsNoRequest breaks a request's connections to two endpoints. If an instance that has lost its links
// finds that both accept no connection, they have not ended: the request was quarantined at all instances.
// Endpoints that have ended must count still, also where some links are lost.
func TestCutInstanceSuspectsNoRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		own  []bool // which endpoints accept connections from the instance; the connections to the first two break
		peer []bool // from its peer; none for no peer
		want bool   // the endpoints count as ended
	}{
		"endpoints have ended":           {own: []bool{false, false, true, true}, peer: []bool{false, false, true, true}, want: true},
		"the same without a peer":        {own: []bool{false, false, true, true}, want: true},
		"all links lost":                 {own: []bool{false, false, false, false}, peer: []bool{true, true, true, true}},
		"some links lost":                {own: []bool{false, false, true, true}, peer: []bool{true, true, true, true}},
		"all links lost without a peer":  {own: []bool{false, false, false, false}},
		"all lost, also of the peer":     {own: []bool{false, false, false, false}, peer: []bool{false, false, false, false}},
		"lost, and endpoints have ended": {own: []bool{false, false, false, false}, peer: []bool{false, false, true, true}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addresses := func(accepts []bool) (out []string) {
				for _, a := range accepts {
					out = append(out, listen(t, a))
				}
				return out
			}
			h := newConnectionInstance(t, "entry-1", addresses(tc.own))
			if tc.peer != nil {
				p := newConnectionInstance(t, "entry-2", addresses(tc.peer))
				server := httptest.NewServer(p.messenger.Handler())
				defer server.Close()
				h.peers.Set(messenger.Peer{Instance: "entry-2", FailureDomain: "here", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
			}
			for i := range 2 {
				process := identifier.Process{Endpoint: identifier.Endpoint(fmt.Sprintf("i-%d", i)), Start: 1787150514949}
				h.quarantine.step.Submit(quarantiner.AttemptStarted{Fingerprint: 7, Process: process})
				h.quarantine.step.Submit(quarantiner.AttemptEnded{Fingerprint: 7, Process: process, Result: quarantiner.ResultBroken})
			}
			h.quarantine.checks.Wait()
			is.Equal(len(h.listQuarantines()) == 1, tc.want)
		})
	}
}

// TestReportOfCutInstanceProvesNothing checks that a peer that is cut off from most endpoints is no witness of an engine's
// silence: engines that live were taken for dead because of it. The same holds for the instance that forms groups itself.
func TestReportOfCutInstanceProvesNothing(t *testing.T) {
	is := is.New(t)
	refused := []string{listen(t, false)}
	h, p := newConnectionInstance(t, "entry-1", refused), newConnectionInstance(t, "entry-2", refused)
	server := httptest.NewServer(p.messenger.Handler())
	defer server.Close()
	h.peers.Set(messenger.Peer{Instance: "entry-2", FailureDomain: "here", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	query := groupformer.FetchReport{ID: "i-0", ViaPeers: true}
	for _, tc := range []struct{ isCutOff, isPeerCutOff, inDomain, byPeers bool }{
		{false, false, true, true},
		{false, true, true, true},  // by this instance, which reaches others
		{true, false, true, true},  // by the peer
		{true, true, false, false}, // nobody who reaches others has tried
	} {
		h.isCutOff.Store(tc.isCutOff)
		p.isCutOff.Store(tc.isPeerCutOff)
		fromPeers := h.messenger.RequestReports(context.Background(), "i-0", "here")
		is.Equal(len(fromPeers.UnreachableFrom) == 0, tc.isPeerCutOff)
		inDomain, byPeers := h.groupFormer.whoTried(query, fromPeers)
		is.Equal(inDomain, tc.inDomain)
		is.Equal(byPeers, tc.byPeers)
	}
}
