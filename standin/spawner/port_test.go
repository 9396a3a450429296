package spawner

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// TestFreePortsOnce checks that FreePorts returns each port only once, even if no process
// listens on it yet. Otherwise two processes could get the same port.
func TestFreePortsOnce(t *testing.T) {
	is := is.New(t)
	seen := map[netip.AddrPort]bool{}
	for range 200 {
		ports, err := FreePorts(20)
		is.NoErr(err)
		for _, p := range ports {
			is.True(!seen[p])
			seen[p] = true
		}
	}
}

// TestPortIsReservedInOtherProcesses checks that another process, which reserves a port in the
// same way, finds a returned port reserved although nothing listens on it yet.
func TestPortIsReservedInOtherProcesses(t *testing.T) {
	is := is.New(t)
	ports, err := FreePorts(1)
	is.NoErr(err)
	_, err = net.ListenPacket("udp4", ports[0].String())
	is.True(err != nil)
	l, err := net.Listen("tcp", ports[0].String())
	is.NoErr(err)
	is.NoErr(l.Close())
}
