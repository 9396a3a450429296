package runner

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/configurer"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
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
			h.view.applyFromStore([]storeclient.Change{
				change("servers/i-1", map[string]any{"service": "ledger", "address": "127.0.0.1:1", "zone": "here", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 60000, "sequence": 0, "born": 1787150514949}),
				change("op/config", map[string]any{"version": 1, "services": []any{map[string]any{"name": "ledger", "maxConns": 10, "coldStartS": 3, "coldPerS": tc.perSecond}}, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}),
			})
			h.forwarder.Reach() // waits for the scheduler
			is.Equal(strings.Contains(log.String(), "endpoint cold"), tc.want)
		})
	}
}

// TestStartedInstanceIsToldOfRestoredDomain checks that an instance which starts after an evacuation has ended learns from a peer that
// the endpoints of the domain are cold, unless the whole system starts for the first time. It took them for warm.
func TestStartedInstanceIsToldOfRestoredDomain(t *testing.T) {
	for name, firstStart := range map[string]bool{"start": false, "first start": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer := messenger.New(messenger.Config{Peers: &messenger.Peers{}, HTTP: http.DefaultClient, OnLimits: func([]scheduler.LimitNews) {}})
			var queries atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				queries.Add(1)
				peer.Handler().ServeHTTP(w, r)
			}))
			defer server.Close()
			peer.ExchangeLimits(t.Context(), []scheduler.LimitNews{{Process: identifier.Process{Endpoint: "i-1", Start: 1787150514949}, PerSecond: 15, Source: scheduler.LimitColdRestored, ColdFor: time.Minute}})
			log := &lockedBuffer{}
			s := &configurer.HostedSettings{Instance: "a1", FailureDomain: "here", FirstStart: firstStart}
			s.Machine.MemoryMB, s.Bounds.ColdExcess, s.Bounds.ColdSlack = 400, 1.5, 5
			h, err := newHosted(s, zerolog.New(log))
			is.NoErr(err)
			h.view.applyFromStore([]storeclient.Change{
				{Entry: storeclient.Entry{Key: "op/config", Value: []byte(`{"version":1,"services":[{"name":"ledger","maxConns":10,"coldStartS":3,"coldPerS":15}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)}},
				{Entry: storeclient.Entry{Key: instancePrefix + "b1", Value: []byte("b1/1 " + server.Listener.Addr().String() + " here 7")}},
				{Entry: storeclient.Entry{Key: "servers/i-1", Value: []byte(`{"service":"ledger","address":"127.0.0.1:1","zone":"here","version":"v1","slots":8,"state":"ready","sequence":0,"born":1787150514949}`)}},
			})
			h.forwarder.Reach() // waits for the scheduler
			if firstStart {
				is.Equal(queries.Load(), int64(0))
				return
			}
			for end := time.Now().Add(10 * time.Second); log.count("coldRestored") == 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the peer's answer has been applied
			}
			is.Equal(queries.Load(), int64(1))
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
