package spawner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The range of ports that FreePorts chooses from. It lies below the ephemeral ports that
// operating systems assign to outgoing connections, so that no outgoing connection occupies a
// port before the process that the port is for listens on it.
const (
	firstPort = 12000
	lastPort  = 30000
)

// NoPortsError reports that fewer than Count ports are free.
type NoPortsError struct{ Count int }

// Error returns the requested number of ports and the range.
func (e *NoPortsError) Error() string {
	return fmt.Sprintf("spawner: fewer than %d free ports from %d to %d", e.Count, firstPort, lastPort)
}

// reserved holds the UDP sockets on the ports that FreePorts has returned in this process. The
// processes that the ports are for may not listen on them yet. They use TCP only, so that the
// sockets reserve the ports against the FreePorts of all processes until this process ends.
var reserved = struct {
	sync.Mutex
	sockets []net.PacketConn
}{}

// reserve reserves a port. It returns false if this or another process has reserved it.
func reserve(address netip.AddrPort) bool {
	socket, err := net.ListenPacket("udp4", address.String())
	if err != nil {
		return false
	}
	reserved.Lock()
	defer reserved.Unlock()
	reserved.sockets = append(reserved.sockets, socket)
	return true
}

// FreePorts returns n loopback addresses whose ports were free at the same moment and that it
// has not returned before, in this or another running process. It starts at a random port, so
// that trials in parallel processes rarely try the same ports.
func FreePorts(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	span := lastPort - firstPort
	start := rand.IntN(span)
	for i := 0; len(out) < n; i++ {
		if i == span {
			return nil, &NoPortsError{Count: n}
		}
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+(start+i)%span))
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		defer l.Close()
		if !reserve(address) {
			continue
		}
		out = append(out, address)
	}
	return out, nil
}
