package runner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// leavingTTL is the time after which a process that leaves is no longer shown, if the list does not
// show its end before.
const leavingTTL = 10 * time.Minute

// leavingProcesses is what operators are shown of the processes of endpoints that leave. It decides
// nothing. It is safe for concurrent use.
type leavingProcesses struct {
	mu    sync.Mutex
	known map[identifier.Process]messenger.LeavingProcess // by what this instance learned first
}

func newLeavingProcesses(m metric.Meter) *leavingProcesses {
	l := &leavingProcesses{known: map[identifier.Process]messenger.LeavingProcess{}}
	// A gauge whose registration fails records nothing.
	_, _ = m.Int64ObservableGauge("endpoints.leaving", metric.WithDescription("Processes of endpoints that leave, by how this instance learned it first."),
		metric.WithInt64Callback(l.observe))
	return l
}

func (l *leavingProcesses) observe(_ context.Context, o metric.Int64Observer) error {
	counts := map[messenger.LeavingSource]int64{messenger.LeavingByList: 0, messenger.LeavingByAnswer: 0, messenger.LeavingByPeer: 0}
	for _, p := range l.list() {
		counts[p.Source]++
	}
	for source, n := range counts {
		o.Observe(n, metric.WithAttributes(attribute.String("source", string(source))))
	}
	return nil
}

// add adds a process unless it is known.
func (l *leavingProcesses) add(now time.Time, p identifier.Process, source messenger.LeavingSource) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.known[p]; !ok {
		l.known[p] = messenger.LeavingProcess{Process: p, Since: now, Source: source}
	}
}

// applyList adds the processes that the list shows as draining and removes those that have ended.
func (l *leavingProcesses) applyList(now time.Time, c endpointlister.Changes) {
	ended := map[identifier.Endpoint]identifier.ProcessStart{} // by endpoint, the process that goes on; zero for none
	for _, id := range c.Removed {
		ended[id] = 0
	}
	for _, e := range c.Changed {
		ended[e.ID] = e.ProcessStart
	}
	l.mu.Lock()
	for p := range l.known {
		if start, ok := ended[p.Endpoint]; ok && start != p.Start {
			delete(l.known, p)
		}
	}
	l.mu.Unlock()
	for _, e := range c.Changed {
		if e.Draining {
			l.add(now, identifier.Process{Endpoint: e.ID, Start: e.ProcessStart}, messenger.LeavingByList)
		}
	}
}

// list returns the processes that leave, sorted by endpoint.
func (l *leavingProcesses) list() []messenger.LeavingProcess {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []messenger.LeavingProcess
	for p, leaving := range l.known {
		if time.Since(leaving.Since) >= leavingTTL {
			delete(l.known, p)
			continue
		}
		out = append(out, leaving)
	}
	slices.SortFunc(out, func(a, b messenger.LeavingProcess) int {
		return cmp.Or(a.Process.Compare(b.Process), a.Since.Compare(b.Since))
	})
	return out
}
