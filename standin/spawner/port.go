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

// reserved holds the ports that FreePorts has returned in this process. The processes that
// the ports are for may not listen on them yet.
var reserved = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// reserve marks a port as reserved. It returns false if the port was reserved before.
func reserve(port uint16) bool {
	reserved.Lock()
	defer reserved.Unlock()
	if reserved.ports[port] {
		return false
	}
	reserved.ports[port] = true
	return true
}

// FreePorts returns n loopback addresses whose ports were free at the same moment and that it
// has not returned before. It starts at a random port, so that trials in parallel processes
// rarely choose the same ports.
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
		if !reserve(address.Port()) {
			continue
		}
		out = append(out, address)
	}
	return out, nil
}
