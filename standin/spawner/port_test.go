package spawner

import (
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
