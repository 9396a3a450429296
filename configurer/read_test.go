package configurer_test

import (
	"errors"
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
