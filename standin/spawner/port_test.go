package spawner

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// A port is handed out once, also if nothing listens on it yet.
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
