package messenger_test

import (
	"fmt"
	"net/netip"

	"amaranthmill/messenger"
)

func ExamplePeers() {
	var peers messenger.Peers
	peers.Set(messenger.Peer{Instance: "marfa-1", FailureDomain: "marfa", Address: netip.MustParseAddrPort("10.3.0.1:7340")})
	peers.Set(messenger.Peer{Instance: "alpine-1", FailureDomain: "alpine", Address: netip.MustParseAddrPort("10.2.0.1:7340")})
	for _, p := range peers.All() {
		fmt.Println(p.Instance, p.Address)
	}
	_, known := peers.Find("alpine-2")
	fmt.Println(known)
	// Output:
	// alpine-1 10.2.0.1:7340
	// marfa-1 10.3.0.1:7340
	// false
}
