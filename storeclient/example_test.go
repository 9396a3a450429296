package storeclient_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"

	"amaranthmill/storeclient"
)

// The error of a write that lost a race contains the current revision. A write that may have taken
// effect returns an *UnknownError, which is checked first because its cause may be a *ConflictError.
func ExampleClient_Swap() {
	c := storeclient.New(storeclient.Config{Address: netip.MustParseAddrPort("127.0.0.1:7000"), Instance: "entry-1"})
	_, err := c.Swap(context.Background(), "groups/alpine/rack-1", 7, []byte("record"))
	var unknown *storeclient.UnknownError
	var conflict *storeclient.ConflictError
	switch {
	case errors.As(err, &unknown):
		fmt.Println("read the key to see whether the write took effect")
	case errors.As(err, &conflict):
		fmt.Println("read revision", conflict.Revision, "and decide again")
	}
}
