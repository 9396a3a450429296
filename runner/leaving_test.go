package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
)

// TestLeavingProcesses checks what operators are shown: the first source of each process that leaves, until
// the list shows its end or another process of the endpoint.
func TestLeavingProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := newLeavingProcesses(noop.NewMeterProvider().Meter(""))
	first, second := identifier.Process{Endpoint: "e1", Start: 7}, identifier.Process{Endpoint: "e2", Start: 8}
	listed := func(p identifier.Process, draining bool) endpointlister.Endpoint {
		return endpointlister.Endpoint{ID: p.Endpoint, ProcessStart: p.Start, Draining: draining}
	}
	l.add(now, first, messenger.LeavingByAnswer)
	l.add(now.Add(time.Second), first, messenger.LeavingByPeer)
	l.applyList(now, endpointlister.Changes{Changed: []endpointlister.Endpoint{listed(first, true), listed(second, true)}})
	is.Equal(l.list(), []messenger.LeavingProcess{{Process: first, Since: now, Source: messenger.LeavingByAnswer}, {Process: second, Since: now, Source: messenger.LeavingByList}})
	l.applyList(now, endpointlister.Changes{Changed: []endpointlister.Endpoint{listed(identifier.Process{Endpoint: "e1", Start: 9}, false)}, Removed: []identifier.Endpoint{"e2"}})
	is.Equal(len(l.list()), 0)
	l.add(now.Add(-leavingTTL), first, messenger.LeavingByPeer)
	is.Equal(len(l.list()), 0)
}
