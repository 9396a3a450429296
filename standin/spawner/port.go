package spawner

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
)

// The ports that a trial chooses from. They lie below those that systems give to outgoing
// connections, so that none of these takes one before its process listens.
const (
	firstPort = 12000
	lastPort  = 30000
)

// NoPortsError says that there are not so many free ports.
type NoPortsError struct{ Count int }

// Error returns how many were asked for.
func (e *NoPortsError) Error() string {
	return fmt.Sprintf("spawner: not %d free ports from %d to %d", e.Count, firstPort, lastPort)
}

// given are the ports that this process has handed out. What they are for may not listen yet.
var given = struct {
	sync.Mutex
	ports map[uint16]bool
}{ports: map[uint16]bool{}}

// take reports whether a port was not handed out before, and notes that it is now.
func take(port uint16) bool {
	given.Lock()
	defer given.Unlock()
	if given.ports[port] {
		return false
	}
	given.ports[port] = true
	return true
}

// FreePorts returns n loopback addresses whose ports were free at the same moment and which
// it has not returned before. It
// begins at a port by chance, so that trials side by side seldom meet.
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
		if !take(address.Port()) {
			continue
		}
		out = append(out, address)
	}
	return out, nil
}
