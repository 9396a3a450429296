package linker

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless a flag sets it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20")
	flag.Parse()
	os.Exit(m.Run())
}
