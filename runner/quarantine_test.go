package runner

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
)

// TestLossKey checks that the keys of losses of requests and of parts are parsed back, also with
// a slash in the endpoint's ID, and that other keys below the prefix are rejected.
func TestLossKey(t *testing.T) {
	is := is.New(t)
	process := identifier.Process{Endpoint: "rack-1/i-7f3a91c2", Start: 1787150514949}
	for kind, wantKey := range map[quarantiner.Kind]string{
		quarantiner.KindRequest: "mill/losses/0c42f55332b80925/1787150514949/rack-1/i-7f3a91c2",
		quarantiner.KindPart:    "mill/losses/part-0c42f55332b80925/1787150514949/rack-1/i-7f3a91c2",
	} {
		want := quarantiner.StoreLoss{Fingerprint: 0x0c42f55332b80925, Kind: kind, Process: process}
		is.Equal(lossKey(want), wantKey)
		got, err := parseLossKey(wantKey)
		is.NoErr(err)
		is.Equal(got, want)
	}
	for _, key := range []string{lossPrefix, lossPrefix + "xyz/1/a", lossPrefix + "1/x/a", lossPrefix + "1/2", lossPrefix + "1/2/", lossPrefix + "part-/1/a", lossPrefix + "part-xyz/1/a"} {
		_, err := parseLossKey(key)
		var malformed *lossKeyError
		is.True(errors.As(err, &malformed))
	}
}
