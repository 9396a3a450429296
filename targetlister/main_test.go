package targetlister_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests unless flags set them.
// A failure writes no file, because its seed reproduces it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "21") // rapid defines the flags
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
