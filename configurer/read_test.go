package configurer_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"amaranthmill/configurer"
	"amaranthmill/internal/decoder"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// TestParse checks that invalid settings are refused with every fault and its correction.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/faults", func(_ *testing.T, d *datadriven.TestData) string {
		_, err := configurer.Parse([]byte(d.Input))
		var de *decoder.DocumentError
		if !errors.As(err, &de) {
			return "accepted\n"
		}
		return strings.TrimPrefix(de.Error(), "decoder: ") + "\n"
	})
}

func TestParseDefaults(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/minimal.json")
	is.NoErr(err)
	s, err := configurer.Parse(data)
	is.NoErr(err)
	is.Equal(s.Limits.BodySize, int64(1<<20))
	is.Equal(s.Limits.StopNotice.String(), "2s")
	is.Equal(s.Log.Level, "info")
}

// TestParseCallers checks the defaults of the limits of callers, and that the memory for requests has room for a body of the largest size.
func TestParseCallers(t *testing.T) {
	minimal, err := os.ReadFile("testdata/minimal.json")
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.TrimPrefix(strings.TrimSpace(string(minimal)), "{")
	datadriven.RunTest(t, "testdata/server_callers", func(t *testing.T, d *datadriven.TestData) string {
		s, err := configurer.Parse([]byte("{" + d.Input + "," + fields))
		var de *decoder.DocumentError
		if errors.As(err, &de) {
			return strings.TrimPrefix(de.Error(), "decoder: ") + "\n"
		}
		if err != nil {
			t.Fatal(err)
		}
		c := s.Callers
		return fmt.Sprintf("memoryMB=%d headerBytes=%d headerTimeout=%s idleTimeout=%s maxConnections=%d\n",
			c.MemoryMB, c.HeaderBytes, c.HeaderTimeout, c.IdleTimeout, c.ConnectionLimit(1000))
	})
}
