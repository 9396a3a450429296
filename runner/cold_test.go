package runner

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/configurer"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"

	"github.com/rs/zerolog"
)

// TestColdEntryLimitsTarget checks that the cold time of an endpoint's entry reaches the scheduler if its service has a cold rate, also
// if the configuration comes with the same changes, and not if the service has none. Nothing used either value.
func TestColdEntryLimitsTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		perSecond float64
		want      bool
	}{"cold rate": {15, true}, "no cold rate": {0, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			s := &configurer.HostedSettings{Instance: "a1", FailureDomain: "here"}
			s.Machine.MemoryMB, s.Bounds.ColdExcess, s.Bounds.ColdSlack = 400, 1.5, 5
			h, err := newHosted(s, zerolog.New(&log))
			is.NoErr(err)
			change := func(key string, value map[string]any) storeclient.Change {
				text, err := json.Marshal(value)
				is.NoErr(err)
				return storeclient.Change{Entry: storeclient.Entry{Key: key, Value: text}}
			}
			h.view.applyChanges([]storeclient.Change{
				change("servers/i-1", map[string]any{"service": "ledger", "address": "127.0.0.1:1", "zone": "here", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 60000, "sequence": 0, "born": 1787150514949}),
				change("op/config", map[string]any{"version": 1, "services": []any{map[string]any{"name": "ledger", "maxConns": 10, "coldStartS": 3, "coldPerS": tc.perSecond}}, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}),
			})
			h.forwarder.Reach() // waits for the scheduler
			is.Equal(strings.Contains(log.String(), "endpoint cold"), tc.want)
		})
	}
}

// TestOwnKeyWrittenAnew checks that this instance counts as having left if its key was written anew without a removal that it saw: it was cut
// off, and the others may have given its part of cold limits to another instance. The same key again, as in a complete list, changes
// nothing.
func TestOwnKeyWrittenAnew(t *testing.T) {
	is := is.New(t)
	h := newConnectionInstance(t, "a1", nil)
	apply := func(value string, deleted bool) (wasListed bool) {
		h.view.changeOwnKey(storeclient.Change{Entry: storeclient.Entry{Key: instancePrefix + "a1", Value: []byte(value)}, Deleted: deleted})
		_, wasListed = h.view.instances["a1"]
		h.view.instances["a1"] = identifier.FailureDomain("here")
		return wasListed
	}
	apply("a1/1 127.0.0.1:1 here 7", false)
	is.True(apply("a1/1 127.0.0.1:1 here 7", false))
	is.True(!apply("a1/1 127.0.0.1:1 here 8", false))
	is.True(apply("", true))
	is.True(apply("a1/1 127.0.0.1:1 here 9", false)) // its removal was seen
}
