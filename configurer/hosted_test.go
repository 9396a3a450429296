package configurer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"amaranthmill/configurer"
	"amaranthmill/internal/decoder"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
)

// hostedMinimal are the settings that have no default.
const hostedMinimal = `"instance": "entry-1", "failureDomain": "marfa", "machine": {"cores": 1, "memoryMB": 136},
	"listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "readinessPath": "/ready", "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
	"store": {"address": "127.0.0.1:5", "readsPerSecond": 1, "writesPerSecond": 1}`

// TestParseHostedCallers checks the limits of callers: their defaults, and that values out of range are refused with the correction. Each case is
// the object callers of otherwise complete settings.
func TestParseHostedCallers(t *testing.T) {
	datadriven.RunTest(t, "testdata/callers", func(t *testing.T, d *datadriven.TestData) string {
		s, err := configurer.ParseHosted([]byte(`{"callers": ` + d.Input + `, ` + hostedMinimal + `}`))
		var de *decoder.DocumentError
		if errors.As(err, &de) {
			return strings.TrimPrefix(de.Error(), "decoder: ") + "\n"
		}
		if err != nil {
			t.Fatal(err)
		}
		return show(s)
	})
}

// show lists the settings in force.
func show(s *configurer.HostedSettings) string {
	c := s.Callers
	return fmt.Sprintf("memoryMB=%d headerBytes=%d headerTimeout=%s idleTimeout=%s maxConnections=%d\n",
		c.MemoryMB, c.HeaderBytes, c.HeaderTimeout, c.IdleTimeout, s.MaxCallerConnections(2870))
}

// TestMaxCallerConnections checks the default of the limit on connections.
func TestMaxCallerConnections(t *testing.T) {
	is := is.New(t)
	s := &configurer.HostedSettings{}
	is.Equal(s.MaxCallerConnections(0), 0) // no limit is known
	is.Equal(s.MaxCallerConnections(100), 1)
	s.Machine.Descriptors = 1000
	is.Equal(s.MaxCallerConnections(2870), 600)
	s.Callers.MaxConnections = 5
	is.Equal(s.MaxCallerConnections(2870), 5)
}
