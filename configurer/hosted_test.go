package configurer_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"amaranthmill/configurer"
	"amaranthmill/internal/decoder"

	"github.com/cockroachdb/datadriven"
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
		return show(s.Callers)
	})
}

// show lists the settings in force.
func show(c configurer.Callers) string {
	return fmt.Sprintf("memoryMB=%d headerBytes=%d headerTimeout=%s idleTimeout=%s\n", c.MemoryMB, c.HeaderBytes, c.HeaderTimeout, c.IdleTimeout)
}
