package runner

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/quarantiner"
)

// TestLossKey checks that the key of a loss is parsed back, also with a slash in the endpoint's
// ID, and that other keys below the prefix are rejected.
func TestLossKey(t *testing.T) {
	is := is.New(t)
	want := quarantiner.Process{Endpoint: "rack-1/i-7f3a91c2", Start: 1787150514949}
	fp, p, err := parseLossKey(lossKey(0x0c42f55332b80925, want))
	is.NoErr(err)
	is.Equal(fp.String(), "0c42f55332b80925")
	is.Equal(p, want)
	for _, key := range []string{lossPrefix, lossPrefix + "xyz/1/a", lossPrefix + "1/x/a", lossPrefix + "1/2", lossPrefix + "1/2/"} {
		_, _, err := parseLossKey(key)
		var malformed *lossKeyError
		is.True(errors.As(err, &malformed))
	}
}
