package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// span is a time in which something is away.
type span struct{ from, until time.Time }

// covers reports whether t lies in s or less than after later.
func (s span) covers(t time.Time, after time.Duration) bool {
	return !t.Before(s.from) && t.Before(s.until.Add(after))
}

// world is a store with the entries of endpoints, and instances that hold replicas of it.
type world struct {
	seed    uint64
	outages []span            // of the store
	cuts    [fleetSize][]span // of an instance from the store
	peerCut [fleetSize][]span // of an instance from its peers
	members [fleetSize]*member

	losesHeldCalls bool // a watch that is sent into a cut, or answered in one, is lost

	mu       sync.Mutex // guards the fields below
	revision uint64
	history  []storeclient.Change
	entries  map[string]storeclient.Entry
	leftAt   map[string]time.Time // when the store acknowledged that an endpoint leaves
	written  chan struct{}        // closed and replaced at each change
}

// member is one instance: a replica and the list of endpoints that is derived from it.
type member struct {
	world   *world
	index   int
	replica *replicator.Replicator
	calls   atomic.Uint64 // to the store
	next    atomic.Int64  // peer to query next

	mu     sync.Mutex // guards the fields below
	lister *endpointlister.Lister
	listed map[string]bool
	timer  *time.Timer
}

func newWorld(seed uint64) *world {
	w := &world{seed: seed, entries: map[string]storeclient.Entry{}, leftAt: map[string]time.Time{}, written: make(chan struct{})}
	for i := range endpointCount {
		w.write(fmt.Sprintf("e%d", i), false)
	}
	return w
}

// disrupt draws outages of the store and cuts of instances, one after the other.
func (w *world) disrupt(random *rand.Rand) {
	at := time.Now().Add(4 * time.Second)
	for range disruptions {
		s := span{at, at.Add(time.Second + time.Duration(random.Int64N(int64(6*time.Second))))}
		at = s.until.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
		if random.IntN(3) == 0 && s.until.Sub(s.from) > expiryTime {
			w.outages = append(w.outages, s)
			at = at.Add(stableTime) // the entries that expired are back before the next disruption
			continue
		}
		first, n := random.IntN(fleetSize), 1+random.IntN(fleetSize) // all instances are cut off at times
		withPeers := random.IntN(2) == 0
		for i := range n {
			w.cuts[(first+i)%fleetSize] = append(w.cuts[(first+i)%fleetSize], s)
			if withPeers {
				w.peerCut[(first+i)%fleetSize] = append(w.peerCut[(first+i)%fleetSize], s)
			}
		}
	}
}

func isAway(spans []span, t time.Time, after time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.covers(t, after) })
}

// write writes or removes an entry.
func (w *world) write(key string, remove bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	e := storeclient.Entry{Key: key, Revision: w.revision}
	if remove {
		delete(w.entries, key)
	} else {
		w.entries[key] = e
	}
	w.history = append(w.history, storeclient.Change{Entry: e, Deleted: remove})
	close(w.written)
	w.written = make(chan struct{})
}

// isOutOfReach reports whether m does not reach the store at a time.
func (m *member) isOutOfReach(t time.Time) bool {
	return isAway(m.world.cuts[m.index], t, 0) || isAway(m.world.outages, t, 0)
}

// reaches waits for the answer of a call of m that was sent at sentAt, or fails after the timeout if the store is out of reach.
func (m *member) reaches(ctx context.Context, sentAt time.Time) error {
	away := m.isOutOfReach(time.Now()) || m.world.losesHeldCalls && m.isOutOfReach(sentAt)
	wait := answerTime
	if draw := hashOf(m.world.seed, uint64(m.index), m.calls.Add(1)); draw%lateShare == 0 {
		wait += time.Duration(draw % uint64(maxLateness)) // the answer holds what was so when the store gave it
	}
	if away {
		wait = callTimeout
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return ctx.Err()
	}
	if away {
		return errSilent
	}
	return nil
}

func (m *member) Snapshot(ctx context.Context, _ string) (storeclient.Snapshot, error) {
	w := m.world
	w.mu.Lock()
	s := storeclient.Snapshot{Revision: w.revision}
	for _, e := range w.entries {
		s.Entries = append(s.Entries, e)
	}
	w.mu.Unlock()
	return s, m.reaches(ctx, time.Now())
}

func (m *member) Watch(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	w := m.world
	sentAt := time.Now()
	hold := time.After(holdTime)
	for held := false; ; {
		w.mu.Lock()
		revision, written := w.revision, w.written
		w.mu.Unlock()
		if revision > after || held {
			break
		}
		select {
		case <-written:
		case <-hold:
			held = true
		case <-ctx.Done():
			return storeclient.Changes{}, ctx.Err()
		}
	}
	return m.fetchChanges(ctx, after, sentAt)
}

func (m *member) Poll(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	return m.fetchChanges(ctx, after, time.Now())
}

// fetchChanges returns the changes after a revision to a call that was sent at sentAt.
func (m *member) fetchChanges(ctx context.Context, after uint64, sentAt time.Time) (storeclient.Changes, error) {
	w := m.world
	w.mu.Lock()
	changes := storeclient.Changes{Revision: w.revision, Entries: slices.Clone(w.history[min(after, w.revision):])}
	w.mu.Unlock()
	return changes, m.reaches(ctx, sentAt)
}

// FetchUpdate queries the other instances in turn, and the same one again if the store has answered it for a time.
func (m *member) FetchUpdate(_ context.Context, after uint64) replicator.Update {
	peer := (m.index + 1 + int(m.next.Load())%(fleetSize-1)) % fleetSize
	now := time.Now()
	if isAway(m.world.peerCut[m.index], now, 0) || isAway(m.world.peerCut[peer], now, 0) {
		time.Sleep(peerTimeout)
		m.next.Add(1)
		return replicator.Update{}
	}
	u := m.world.members[peer].replica.UpdateSince(after)
	if !u.IsInContact || u.ContactTime < peerContactTime {
		m.next.Add(1)
	}
	return u
}

func (m *member) step(e endpointlister.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.lister.Step(time.Now(), e) {
		switch a := a.(type) {
		case endpointlister.EndpointListed:
			m.listed[string(a.Endpoint.ID)] = true
		case endpointlister.EndpointDelisted:
			delete(m.listed, string(a.ID))
		case endpointlister.WakeAt:
			m.timer.Reset(time.Until(a.At))
		}
	}
}

func (m *member) isListed(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[key]
}

// start starts instance index. It follows upstream, or the store if that is nil.
func (w *world) start(ctx context.Context, index int, upstream replicator.Upstream) *member {
	m := &member{world: w, index: index, lister: endpointlister.New(endpointlister.Config{}), listed: map[string]bool{}}
	m.timer = time.AfterFunc(time.Hour, func() { m.step(endpointlister.Ticked{}) })
	m.replica = replicator.New(replicator.Config{
		Store: m, Peers: m, Upstream: upstream,
		OnContact: func(c replicator.Contact) { m.step(endpointlister.StoreSeen(c)) },
		OnHealth: func(h replicator.Health) {
			if h.Lost {
				m.step(endpointlister.StoreLost{AnsweredAt: h.Since})
			} else {
				m.step(endpointlister.StoreRegained{})
			}
		},
		OnChange: func(changes []storeclient.Change, _ replicator.Origin) {
			for _, c := range changes {
				id := identifier.Endpoint(c.Key)
				if c.Deleted {
					m.step(endpointlister.EntryRemoved{ID: id})
				} else {
					m.step(endpointlister.EntryWritten{Endpoint: endpointlister.Endpoint{ID: id, ProcessStart: identifier.ProcessStart(c.Revision)}})
				}
			}
		},
	})
	go func() { _ = m.replica.Run(ctx) }()
	return m
}

// expireEntries removes the entries of some endpoints in each outage and writes them again after it.
// It returns the endpoints and their outages.
func (w *world) expireEntries(random *rand.Rand) map[string]span {
	out := map[string]span{}
	for n, s := range w.outages {
		for i := range endpointCount / 4 {
			key := fmt.Sprintf("e%d", (n*endpointCount/4+i)%(endpointCount/2))
			out[key] = s
			rest := s.until.Sub(s.from) - expiryTime
			time.AfterFunc(time.Until(s.from)+expiryTime+time.Duration(random.Int64N(int64(rest))), func() { w.write(key, true) })
			time.AfterFunc(time.Until(s.until)+time.Duration(random.Int64N(int64(rewriteTime))), func() { w.write(key, false) })
		}
	}
	return out
}

// leave lets the other endpoints leave, each at a time at which the store is stable.
func (w *world) leave(random *rand.Rand) {
	start := time.Now()
	for i := endpointCount / 2; i < endpointCount; i++ {
		at := start.Add(2*time.Second + time.Duration(random.Int64N(int64(fleetTime-6*time.Second))))
		if isAway(w.outages, at, stableTime) {
			continue
		}
		w.leaveAt(fmt.Sprintf("e%d", i), at)
	}
}

// leaveAt lets an endpoint leave at a time.
func (w *world) leaveAt(key string, at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		w.write(key, true)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.leftAt[key] = time.Now()
	})
}

// hashOf returns a hash of some numbers, which takes the place of a draw where the order of draws depends
// on the order in which goroutines run.
func hashOf(numbers ...uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprint(numbers))
}

// check reports an endpoint that an instance lists or misses against the bounds.
func (w *world) check(t *testing.T, seed uint64, expired map[string]span) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, m := range w.members {
		inReach := !isAway(w.cuts[i], now, stableTime) && !isAway(w.outages, now, stableTime)
		for key, leftAt := range w.leftAt {
			if inReach && now.Sub(leftAt) > drainTime+answerTime && m.isListed(key) {
				t.Fatalf("seed %d: instance %d lists %s, which left %v ago", seed, i, key, now.Sub(leftAt))
			}
		}
		for key, s := range expired {
			if s.covers(now, rewriteTime) && !m.isListed(key) {
				t.Fatalf("seed %d: instance %d has dropped %s, whose entry expired in an outage that ended %v ago", seed, i, key, now.Sub(s.until))
			}
		}
	}
}
