package replicator_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/replicator"
	"amaranthmill/resolver"
	"amaranthmill/storeclient"
)

// restoreMember is one instance: a replica with the list of endpoints and the configuration that are derived from it.
type restoreMember struct {
	world    *restoreWorld
	index    int
	replica  *replicator.Replicator
	resolver resolver.Resolver
	next     atomic.Int64 // peer to query next

	mu     sync.Mutex // guards the fields below
	lister *endpointlister.Lister
	listed map[string]endpointlister.Endpoint
	left   map[string]bool // processes, by key and start, that this instance has taken from the list or seen draining
	timer  *time.Timer
}

// call waits for the answer of a call of m.
func (m *restoreMember) call(ctx context.Context) error {
	m.world.mu.Lock()
	isAway := m.world.isAway
	m.world.mu.Unlock()
	m.world.turn.Lock()
	wait, isCut := answerTime, slices.ContainsFunc(m.world.cuts[m.index], func(s span) bool { return s.covers(time.Now(), 0) })
	m.world.turn.Unlock()
	if isCut {
		wait = callTimeout
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	if isCut || isAway {
		return errSilent
	}
	return nil
}

func (m *restoreMember) Snapshot(ctx context.Context, _ string) (storeclient.Snapshot, error) {
	w := m.world
	w.mu.Lock()
	s := storeclient.Snapshot{Era: w.era, Revision: w.state.revision}
	for _, key := range slices.Sorted(maps.Keys(w.state.entries)) {
		s.Entries = append(s.Entries, w.state.entries[key])
	}
	w.mu.Unlock()
	return s, m.call(ctx)
}

func (m *restoreMember) Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) {
	for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		m.world.mu.Lock()
		isNews := m.world.isAway || m.world.state.revision != after
		m.world.mu.Unlock()
		if isNews {
			break
		}
	}
	return m.Poll(ctx, prefix, after)
}

func (m *restoreMember) Poll(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	w := m.world
	w.mu.Lock()
	changes := storeclient.Changes{Era: w.era, Revision: w.state.revision}
	isLost := after > w.state.revision
	if !isLost {
		changes.Entries = slices.Clone(w.state.history[after:])
	}
	w.mu.Unlock()
	if err := m.call(ctx); err != nil {
		return storeclient.Changes{}, err
	}
	if isLost {
		return storeclient.Changes{}, &storeclient.CompactedError{Revision: after}
	}
	return changes, nil
}

// FetchUpdate queries the other instances in turn.
func (m *restoreMember) FetchUpdate(_ context.Context, after uint64) replicator.Update {
	peer := (m.index + 1 + int(m.next.Add(1))%(fleetSize-1)) % fleetSize
	time.Sleep(answerTime)
	return m.world.members[peer].replica.UpdateSince(after)
}

// restoreUpstream lets a member follow another one as long as its watches are answered.
type restoreUpstream struct {
	world  *restoreWorld
	parent int
	failed failureTime
}

func (u *restoreUpstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	if u.failed.isRecent() {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	changes, err := u.world.members[u.parent].replica.Watch(ctx, after, upstreamWait)
	if err != nil {
		u.failed.record()
	}
	return changes, err
}

// start starts the instances, of which every second one follows another one.
func (w *restoreWorld) start(ctx context.Context) {
	for i := range fleetSize {
		m := &restoreMember{world: w, index: i, lister: endpointlister.New(endpointlister.Config{}), listed: map[string]endpointlister.Endpoint{}, left: map[string]bool{}}
		m.timer = time.AfterFunc(time.Hour, func() { m.step(endpointlister.Ticked{}) })
		cfg := replicator.Config{Store: m, Peers: m, OnChange: m.apply, OnHealth: m.setHealth, OnContact: func(c replicator.Contact) { m.step(endpointlister.StoreSeen(c)) }, OnRestore: func(a replicator.Restored) { m.step(endpointlister.StoreRestored{Revision: a.Revision}) }}
		if i%2 == 1 {
			cfg.Upstream = &restoreUpstream{world: w, parent: i - 1}
		}
		m.replica = replicator.New(cfg)
		w.members[i] = m
	}
	for _, m := range w.members {
		go func() { _ = m.replica.Run(ctx) }()
	}
}

func (m *restoreMember) setHealth(h replicator.Health) {
	if h.Lost {
		m.step(endpointlister.StoreLost{AnsweredAt: h.Since})
	} else {
		m.step(endpointlister.StoreRegained{})
	}
}

// apply applies changes of the replica as an instance does.
func (m *restoreMember) apply(changes []storeclient.Change, _ replicator.Origin) {
	for _, c := range changes {
		switch {
		case c.Key == versionKey && !c.Deleted:
			version, _ := strconv.ParseUint(string(c.Value), 10, 64)
			m.resolver.Set(&resolver.Configuration{Version: identifier.BundleVersion(version)})
		case c.Key == versionKey:
		case c.Deleted:
			m.step(endpointlister.EntryRemoved{ID: identifier.Endpoint(c.Key)})
		default:
			start, sequence, isDraining := parseBeat(c.Value)
			m.step(endpointlister.EntryWritten{Sequence: sequence, Revision: c.Revision, Endpoint: endpointlister.Endpoint{ID: identifier.Endpoint(c.Key), ProcessStart: identifier.ProcessStart(start), Draining: isDraining}})
		}
	}
}

// step steps the list of endpoints. A process that this instance has once seen leaving must not be back on the list.
func (m *restoreMember) step(e endpointlister.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.lister.Step(time.Now(), e) {
		switch a := a.(type) {
		case endpointlister.EndpointListed:
			name := fmt.Sprintf("%s/%d", a.Endpoint.ID, a.Endpoint.ProcessStart)
			m.listed[string(a.Endpoint.ID)] = a.Endpoint
			if a.Endpoint.Draining {
				m.left[name] = true
			} else if m.left[name] && m.world.hasLeft(a.Endpoint) {
				m.world.fault("instance %d lists %s again, which it knew to leave", m.index, name)
			}
		case endpointlister.EndpointDelisted:
			old := m.listed[string(a.ID)]
			delete(m.listed, string(a.ID))
			m.left[fmt.Sprintf("%s/%d", a.ID, old.ProcessStart)] = true
			if m.world.isSteady(old) {
				m.world.fault("instance %d drops %s, which lives", m.index, a.ID)
			}
		case endpointlister.WakeAt:
			m.timer.Reset(time.Until(a.At))
		}
	}
}
