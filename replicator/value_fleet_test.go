package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// Sizes and times of the fleets with large values.
const (
	valueFleetSize  = 10
	valueFleetTime  = 12 * time.Second // in which entries are written
	valueSettleTime = 8 * time.Second  // after which every replica must have the newest entries
	valueLossShare  = 9                // one in so many exchanges between peers is lost
	valueLateShare  = 4                // one in so many fetches of a value takes long
	valueLateness   = 1500 * time.Millisecond
	valueCutShare   = 2               // one in so many instances is cut off from the store at a restore
	valueCutTime    = 4 * time.Second // longest time of such a cut
	valueRestores   = 2               // of the store
	valueLostShare  = 2               // a restore loses less than one in so many writes
)

// padding makes a value large.
var padding = strings.Repeat("x", replicator.LargeSize)

// valueWorld is a store with small and large entries, and the instances that replicate it.
type valueWorld struct {
	seed    uint64
	members [valueFleetSize]*valueMember

	mu       sync.Mutex // guards the fields below
	era      storeclient.Era
	revision uint64
	history  []storeclient.Change
	ended    map[storeclient.Era][]storeclient.Change // what was written in earlier eras
	written  chan struct{}                            // closed and replaced at each change
}

// valueMember is one instance. It follows one of the parents, the first one that has not failed lately, or else the
// store.
type valueMember struct {
	world   *valueWorld
	index   int
	parents []int
	isOld   bool // does not know references, neither as a parent nor as a follower
	replica *replicator.Replicator

	mu       sync.Mutex // guards the fields below
	calls    uint64
	isDead   bool
	cutUntil time.Time // from the store
	failedAt map[int]time.Time
	era      storeclient.Era
	applied  map[string]appliedChange // by key, with removals
	faults   []string
}

// appliedChange is a change with the era in which an instance applied it.
type appliedChange struct {
	storeclient.Change
	era storeclient.Era
}

func (w *valueWorld) write(key, value string, remove bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	e := storeclient.Entry{Key: key, Value: []byte(value), Revision: w.revision}
	if remove {
		e.Value = nil
	}
	w.history = append(w.history, storeclient.Change{Entry: e, Deleted: remove})
	close(w.written)
	w.written = make(chan struct{})
}

// restore brings the store back from a copy that lacks the latest writes, and cuts instances off from it for a time.
func (w *valueWorld) restore(random *rand.Rand) {
	w.mu.Lock()
	w.ended[w.era] = w.history
	w.era++
	w.revision -= uint64(random.Int64N(int64(w.revision / valueLostShare)))
	w.history = slices.Clone(w.history[:w.revision])
	close(w.written)
	w.written = make(chan struct{})
	w.mu.Unlock()
	for _, m := range w.members {
		m.mu.Lock()
		if random.IntN(valueCutShare) == 0 {
			m.cutUntil = time.Now().Add(time.Duration(random.Int64N(int64(valueCutTime))))
		}
		m.mu.Unlock()
	}
}

// hasWritten reports whether an entry was written as it is in an era.
func (w *valueWorld) hasWritten(era storeclient.Era, e storeclient.Entry) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	history := w.history
	if era != w.era {
		history = w.ended[era]
	}
	if e.Revision == 0 || e.Revision > uint64(len(history)) {
		return false
	}
	ch := history[e.Revision-1]
	return !ch.Deleted && ch.Key == e.Key && string(ch.Value) == string(e.Value)
}

// latest returns the last change of each key up to a revision.
func (w *valueWorld) latest(revision uint64) map[string]storeclient.Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]storeclient.Change{}
	for _, ch := range w.history[:min(revision, uint64(len(w.history)))] {
		out[ch.Key] = ch
	}
	return out
}

// draw returns a number from the seed and the count of calls of the member.
func (m *valueMember) draw() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	return hashOf(m.world.seed, uint64(m.index), m.calls)
}

// Snapshot implements replicator.Store, as the following methods do.
func (m *valueMember) Snapshot(context.Context, string) (storeclient.Snapshot, error) {
	w := m.world
	w.mu.Lock()
	s := storeclient.Snapshot{Revision: w.revision, Era: w.era}
	w.mu.Unlock()
	for _, ch := range w.latest(s.Revision) {
		if !ch.Deleted {
			s.Entries = append(s.Entries, ch.Entry)
		}
	}
	return s, m.awaitStore()
}

// awaitStore waits for an answer of the store. It returns an error if the instance is cut off from it.
func (m *valueMember) awaitStore() error {
	m.mu.Lock()
	isCut := time.Now().Before(m.cutUntil)
	m.mu.Unlock()
	if isCut {
		time.Sleep(upstreamTimeout)
		return errSilent
	}
	time.Sleep(answerTime)
	return nil
}

func (m *valueMember) Watch(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	w := m.world
	w.mu.Lock()
	revision, written := w.revision, w.written
	w.mu.Unlock()
	if revision <= after {
		select {
		case <-written:
		case <-time.After(holdTime):
		case <-ctx.Done():
			return storeclient.Changes{}, ctx.Err()
		}
	}
	return m.Poll(ctx, "", after)
}

func (m *valueMember) Poll(_ context.Context, _ string, after uint64) (storeclient.Changes, error) {
	w := m.world
	w.mu.Lock()
	changes := storeclient.Changes{Revision: w.revision, Era: w.era, Entries: slices.Clone(w.history[min(after, w.revision):])}
	w.mu.Unlock()
	if err := m.awaitStore(); err != nil || m.draw()%valueLossShare == 0 {
		return storeclient.Changes{}, errSilent
	}
	if after > changes.Revision {
		return storeclient.Changes{}, &storeclient.CompactedError{Revision: after}
	}
	return changes, nil
}

// reach returns the peer if an exchange with it works.
func (m *valueMember) reach(peer int) (*valueMember, error) {
	p := m.world.members[peer]
	p.mu.Lock()
	isDead := p.isDead
	p.mu.Unlock()
	time.Sleep(answerTime)
	if isDead || m.draw()%valueLossShare == 0 {
		time.Sleep(upstreamTimeout)
		return nil, errSilent
	}
	return p, nil
}

// valueUpstream implements replicator.Upstream and replicator.ValueSource for a member.
type valueUpstream struct{ *valueMember }

func (u valueUpstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	parent, ok := u.selectParent()
	if !ok {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	p, err := u.reach(parent)
	var changes replicator.PeerChanges
	if err == nil && (u.isOld || p.isOld) {
		changes, err = p.replica.Watch(ctx, after, upstreamWait)
	} else if err == nil {
		changes, err = p.replica.WatchReferences(ctx, after, upstreamWait)
	}
	if err == nil && u.draw()%valueLossShare == 0 {
		err = errSilent // the answer is lost
	}
	if err != nil {
		u.mu.Lock()
		u.failedAt[parent] = time.Now()
		u.mu.Unlock()
	}
	return changes, err
}

func (m *valueMember) selectParent() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.parents {
		if time.Since(m.failedAt[p]) >= time.Second {
			return p, true
		}
	}
	return 0, false
}

// FetchUpdate implements replicator.Peers with the other instances in turn.
func (u valueUpstream) FetchUpdate(_ context.Context, after uint64) replicator.Update {
	p, err := u.reach(int(u.draw() % valueFleetSize))
	switch {
	case err != nil || p.replica == u.replica:
		return replicator.Update{}
	case u.isOld || p.isOld:
		return p.replica.UpdateSince(after)
	}
	return p.replica.UpdateWithReferences(after)
}

func (u valueUpstream) FetchValue(ctx context.Context, r replicator.Reference, base storeclient.Entry) (replicator.Version, error) {
	if draw := u.draw(); draw%valueLateShare == 0 {
		time.Sleep(time.Duration(draw>>8) % valueLateness)
	}
	for _, parent := range u.parents {
		p, err := u.reach(parent)
		if err != nil || p.isOld {
			continue
		}
		v, err := p.replica.Value(ctx, r, base.Revision, upstreamWait)
		if err != nil {
			continue
		}
		if v.BaseRevision != 0 && (v.BaseRevision != base.Revision || string(v.Base) != string(base.Value)) {
			u.report("was sent a difference to another base than the one of revision %d", base.Revision)
		}
		if draw := u.draw(); draw%valueLateShare == 0 {
			time.Sleep(time.Duration(draw>>8) % valueLateness) // it holds what was so when the peer gave it
		}
		return v.Version, nil
	}
	era, ch := u.world.currentEra(), u.world.latest(1 << 60)[r.Key]
	if err := u.awaitStore(); err != nil || era != r.Era || ch.Deleted || ch.Revision < r.Revision || u.draw()%valueLossShare == 0 {
		return replicator.Version{}, errSilent
	}
	return replicator.Version{Entry: ch.Entry, Era: era}, nil
}

func (m *valueMember) report(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, fmt.Sprintf("instance %d ", m.index)+fmt.Sprintf(format, args...))
}

// apply records changes and reports those that go back in their era, or that the store has not written so in it.
func (m *valueMember) apply(changes []storeclient.Change, _ replicator.Origin) {
	for _, ch := range changes {
		m.mu.Lock()
		old, ok := m.applied[ch.Key]
		era := m.era
		m.applied[ch.Key] = appliedChange{ch, era}
		m.mu.Unlock()
		if ok && old.era == era && old.Revision >= ch.Revision {
			m.report("applied %s at revision %d after revision %d", ch.Key, ch.Revision, old.Revision)
		}
		if !ch.Deleted && !m.world.hasWritten(era, ch.Entry) {
			m.report("applied %s at revision %d, where the store has not written it in era %d", ch.Key, ch.Revision, era)
		}
	}
}

// restored records the era of the changes that follow.
func (m *valueMember) restored(r replicator.Restored) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era = r.Era
}

// checkPassedOn reports an entry of the store that a follower would skip which takes u for all up to its revision. An entry
// that was written again after that revision is not skipped, because the follower asks for what comes after it.
func (m *valueMember) checkPassedOn(u replicator.Update) {
	if u.Era != m.world.currentEra() {
		return // the revisions of an earlier era mean nothing in this one
	}
	passedOn := map[string]uint64{}
	for _, ch := range u.Entries {
		passedOn[ch.Key] = ch.Revision
	}
	for _, r := range u.References {
		passedOn[r.Key] = max(passedOn[r.Key], r.Revision)
	}
	for key, ch := range m.world.latest(1 << 60) {
		if !ch.Deleted && ch.Revision <= u.Revision && passedOn[key] < ch.Revision {
			m.report("passes on revision %d without %s of revision %d; it has %d", u.Revision, key, ch.Revision, passedOn[key])
		}
	}
}

func (w *valueWorld) currentEra() storeclient.Era {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.era
}

func (w *valueWorld) start(ctx context.Context, random *rand.Rand) {
	for i := range valueFleetSize {
		m := &valueMember{world: w, index: i, isOld: random.IntN(4) == 0, failedAt: map[int]time.Time{}, era: w.era, applied: map[string]appliedChange{}}
		for range min(i, 3) { // the first one has no parent
			m.parents = append(m.parents, random.IntN(i))
		}
		w.members[i] = m
		m.replica = replicator.New(replicator.Config{Store: m, Peers: valueUpstream{m}, Upstream: valueUpstream{m}, Values: valueUpstream{m}, OnChange: m.apply, OnRestore: m.restored})
	}
	for _, m := range w.members {
		memberCtx, die := context.WithCancel(ctx)
		at := time.Duration(random.Int64N(int64(2 * valueFleetTime))) // half of the instances die
		time.AfterFunc(at, func() {
			if m.index == valueFleetSize-1 || at > valueFleetTime {
				return
			}
			m.mu.Lock()
			m.isDead = true
			m.mu.Unlock()
			die()
		})
		go func() {
			defer die()
			_ = m.replica.Run(memberCtx)
		}()
	}
}

// writeRandom writes or removes a random entry, most often a large one.
func (w *valueWorld) writeRandom(random *rand.Rand) {
	version := fmt.Sprint(random.Uint64())
	key := fmt.Sprintf("large-%d", random.IntN(3))
	switch random.IntN(8) {
	case 0:
		w.write(fmt.Sprintf("small-%d", random.IntN(5)), version, random.IntN(3) == 0)
	case 1:
		w.write(key, version, true)
	case 2:
		w.write(key, version, false) // the large value shrinks
	default:
		w.write(key, version+padding, false)
	}
}

// playValues plays the world of a seed, in which the store is restored from older copies so many times.
func playValues(t *testing.T, seed uint64, restores int) {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		synctest.Wait()
		time.Sleep(5 * time.Second) // calls without a context end
	}()
	random := rand.New(rand.NewPCG(seed, 2))
	w := &valueWorld{seed: seed, era: 1, ended: map[storeclient.Era][]storeclient.Change{}, written: make(chan struct{})}
	for range 10 {
		w.writeRandom(random)
	}
	w.start(ctx, random)
	var restoreAt []time.Time
	for range restores {
		restoreAt = append(restoreAt, time.Now().Add(time.Duration(random.Int64N(int64(valueFleetTime)))))
	}
	slices.SortFunc(restoreAt, time.Time.Compare)
	for end := time.Now().Add(valueFleetTime); time.Now().Before(end); {
		time.Sleep(time.Duration(random.Int64N(int64(150 * time.Millisecond))))
		if len(restoreAt) > 0 && !time.Now().Before(restoreAt[0]) {
			restoreAt = restoreAt[1:]
			w.restore(random)
		}
		w.writeRandom(random)
		for _, m := range w.members {
			m.checkPassedOn(m.replica.UpdateSince(0))
			m.checkPassedOn(m.replica.UpdateWithReferences(0))
		}
	}
	time.Sleep(valueSettleTime)
	newest := w.latest(1 << 60)
	for _, m := range w.members {
		m.mu.Lock()
		for _, fault := range m.faults {
			t.Errorf("seed %d: %s", seed, fault)
		}
		for key, ch := range newest {
			if got := m.applied[key]; !m.isDead && (got.Revision != ch.Revision && !(ch.Deleted && (got.Deleted || got.Revision == 0)) || string(got.Value) != string(ch.Value)) {
				t.Errorf("seed %d: instance %d (old %t) ends with %s at revision %d, the store has %d (deleted %t)", seed, m.index, m.isOld, key, got.Revision, ch.Revision, ch.Deleted)
			}
		}
		for key, got := range m.applied {
			if _, ok := newest[key]; !ok && !got.Deleted && !m.isDead {
				t.Errorf("seed %d: instance %d ends with %s, which the store has lost", seed, m.index, key)
			}
		}
		m.mu.Unlock()
	}
}

// TestLargeValuesReachEveryReplica plays fleets in which instances follow one another in trees, with lost answers,
// instances that die, instances of the version before references and values that come late. Every replica must
// end with the newest entries, none may apply an older version after a newer one, and none may tell a follower a
// revision without all that it holds: the follower would never get a value that it skipped.
func TestLargeValuesReachEveryReplica(t *testing.T) {
	for seed := range *fleetSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playValues(t, seed, 0) })
		})
	}
}

// TestValueOfEarlierEraIsNotApplied plays the same fleets with a store that is restored from older copies, and instances that
// are cut off from it meanwhile. An instance that follows the new era gets the value of a reference from one that is still in
// the earlier era, at a revision that the store gives out again: it would ignore the next versions up to that revision.
func TestValueOfEarlierEraIsNotApplied(t *testing.T) {
	for seed := range *fleetSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playValues(t, seed, valueRestores) })
		})
	}
}
