package replicator_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Times of the world of the restore tests.
const (
	beatInterval   = 1200 * time.Millisecond // between two writes of an endpoint's entry
	beatExpiry     = 3 * beatInterval        // of an endpoint's silence, after which the store removes its entry
	rewriteLatest  = 1500 * time.Millisecond // after the return, until the operator has written its newest version again
	versionKey     = "version"               // of the operator's configuration
	restoreEngines = 12                      // at the start
)

// process is one run of an endpoint as it knows itself.
type process struct {
	key        string
	start      int64
	sequence   uint64
	isDraining bool
	hasEnded   bool // its entry is removed by itself; it serves on for a time
	isSilent   bool // it has crashed and writes no more
	nextBeatAt time.Time
	listedAt   time.Time // when the store first acknowledged its entry
	leavingAt  time.Time // when the store acknowledged that it drains or is gone; zero for neither
}

func (p *process) value() []byte {
	return fmt.Appendf(nil, "%d %d %t", p.start, p.sequence, p.isDraining)
}

// storeState is what the store loses when it is restored from a copy.
type storeState struct {
	revision uint64
	entries  map[string]storeclient.Entry
	history  []storeclient.Change // the change with revision n at position n-1
}

// storeCopy is the state of the store after a change.
type storeCopy struct {
	at    time.Time
	state storeState
}

// restoreWorld is a store that is restored from older copies, with endpoints and an operator that write to it, and
// instances that follow it.
type restoreWorld struct {
	seed    uint64
	random  *rand.Rand
	members [fleetSize]*restoreMember

	turn       sync.Mutex        // held while the world changes; guards the fields up to mu
	cuts       [fleetSize][]span // of an instance from the store
	losesData  bool              // at some returns
	keepsData  bool              // at the next one
	away       span              // the last time in which the store was away
	copyAge    time.Duration
	isRestored bool      // the store is back from away
	returnedAt time.Time // when it was back last
	rewriteAt  time.Time // when the operator writes its newest version again
	processes  map[string]*process
	lastBeat   map[string]time.Time // by key
	ackedAt    map[uint64]time.Time // when the store acknowledged a version
	version    uint64
	starts     int64

	mu     sync.Mutex // guards the fields below
	isAway bool
	era    storeclient.Era
	state  storeState
	copies []storeCopy
	faults []string
}

func newRestoreWorld(seed uint64) *restoreWorld {
	w := &restoreWorld{
		seed: seed, random: rand.New(rand.NewPCG(seed, 3)), processes: map[string]*process{}, lastBeat: map[string]time.Time{}, ackedAt: map[uint64]time.Time{}, era: 1,
		state: storeState{entries: map[string]storeclient.Entry{}}, isRestored: true,
	}
	w.writeVersion()
	for i := range restoreEngines {
		w.startProcess(fmt.Sprintf("e%d", i))
	}
	return w
}

// put writes an entry, or removes it. w.mu is held.
func (w *restoreWorld) put(key string, value []byte, remove bool) {
	w.state.revision++
	e := storeclient.Entry{Key: key, Value: value, Revision: w.state.revision}
	if remove {
		delete(w.state.entries, key)
	} else {
		w.state.entries[key] = e
	}
	w.state.history = append(w.state.history, storeclient.Change{Entry: e, Deleted: remove})
	copied := storeState{revision: w.state.revision, entries: maps.Clone(w.state.entries), history: slices.Clone(w.state.history)}
	w.copies = append(w.copies, storeCopy{at: time.Now(), state: copied})
}

func (w *restoreWorld) writeVersion() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.Uint64N(3)
	w.put(versionKey, fmt.Appendf(nil, "%d", w.version), false)
	w.ackedAt[w.version] = time.Now()
}

func (w *restoreWorld) startProcess(key string) {
	w.starts++
	w.processes[key] = &process{key: key, start: 1000 + w.starts, nextBeatAt: time.Now()}
}

// beat writes the entry of a process. The entry changes only if more than its sequence does.
func (w *restoreWorld) beat(p *process) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	p.sequence++
	p.nextBeatAt = now.Add(beatInterval)
	w.lastBeat[p.key] = now
	if old, ok := w.state.entries[p.key]; ok {
		start, _, isDraining := parseBeat(old.Value)
		if start == p.start && isDraining == p.isDraining {
			old.Value = p.value()
			w.state.entries[p.key] = old
			return
		}
	}
	w.put(p.key, p.value(), false)
	if p.listedAt.IsZero() {
		p.listedAt = now
	}
	if p.isDraining && p.leavingAt.IsZero() {
		p.leavingAt = now
	}
}

func parseBeat(value []byte) (start int64, sequence uint64, isDraining bool) {
	_, _ = fmt.Sscanf(string(value), "%d %d %t", &start, &sequence, &isDraining)
	return start, sequence, isDraining
}

// removeEntry removes the entry of a process that has ended.
func (w *restoreWorld) removeEntry(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.state.entries[p.key]; ok {
		w.put(p.key, nil, true)
	}
	if p.leavingAt.IsZero() {
		p.leavingAt = time.Now()
	}
}

// restore brings the store back from a copy.
func (w *restoreWorld) restore(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.keepsData {
		back := w.copies[0]
		for _, c := range w.copies {
			if !c.at.After(w.away.from.Add(-w.copyAge)) {
				back = c
			}
		}
		w.state = storeState{revision: back.state.revision, entries: maps.Clone(back.state.entries), history: slices.Clone(back.state.history)}
		w.copies = []storeCopy{{now, back.state}}
		w.era++
	}
	w.isAway, w.isRestored, w.returnedAt = false, true, now
	w.rewriteAt = now.Add(w.draw(rewriteLatest))
	for key := range w.state.entries {
		w.lastBeat[key] = now
	}
	for _, key := range slices.Sorted(maps.Keys(w.processes)) { // what was written while the store was away is written now
		w.processes[key].nextBeatAt = now.Add(w.draw(beatInterval))
	}
}

// tick lets the store, the operator and the endpoints do what is due.
func (w *restoreWorld) tick(now time.Time) {
	w.mu.Lock()
	if !w.isRestored && !now.Before(w.away.from) {
		w.isAway = true
	}
	isAway := w.isAway
	w.mu.Unlock()
	if isAway && !now.Before(w.away.until) {
		w.restore(now)
		isAway = false
	}
	if isAway {
		return
	}
	if !w.rewriteAt.IsZero() && !now.Before(w.rewriteAt) {
		w.rewriteAt = time.Time{}
		w.mu.Lock()
		if text := fmt.Sprint(w.version); string(w.state.entries[versionKey].Value) != text {
			w.put(versionKey, []byte(text), false)
		}
		w.mu.Unlock()
	}
	for _, key := range slices.Sorted(maps.Keys(w.processes)) {
		p := w.processes[key]
		_, isStored := w.entry(key)
		switch {
		case p.isSilent || now.Before(p.nextBeatAt):
		case p.hasEnded && (isStored || p.leavingAt.IsZero()):
			w.removeEntry(p)
		case !p.hasEnded:
			w.beat(p)
		}
		if isStored && now.Sub(w.lastBeat[key]) > beatExpiry {
			w.mu.Lock()
			w.put(key, nil, true)
			w.mu.Unlock()
		}
	}
}

func (w *restoreWorld) entry(key string) (storeclient.Entry, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.state.entries[key]
	return e, ok
}

// act lets the operator or an endpoint do something at random.
func (w *restoreWorld) act(now time.Time) {
	keys := slices.Sorted(maps.Keys(w.processes))
	p := w.processes[keys[w.random.IntN(len(keys))]]
	isSteady := !p.isDraining && !p.hasEnded && !p.isSilent && !p.listedAt.IsZero()
	switch w.random.IntN(8) {
	case 0, 1:
		w.mu.Lock()
		isAway := w.isAway
		w.mu.Unlock()
		if !isAway && w.rewriteAt.IsZero() {
			w.writeVersion()
		}
	case 2:
		if isSteady {
			p.isDraining, p.nextBeatAt = true, now
		}
	case 3:
		if p.isDraining || isSteady && w.random.IntN(2) == 0 {
			p.hasEnded, p.nextBeatAt = true, now
		}
	case 4:
		if isSteady {
			p.isSilent = true
		}
	case 5:
		if p.isSilent {
			w.startProcess(p.key) // the endpoint is back under its ID
		}
	case 6, 7:
		if len(w.processes) < 3*restoreEngines {
			w.startProcess(fmt.Sprintf("n%d", w.starts))
		}
	}
}

// hasLeft reports whether the process that an entry describes drains or has ended.
func (w *restoreWorld) hasLeft(e endpointlister.Endpoint) bool {
	w.turn.Lock()
	defer w.turn.Unlock()
	p := w.processes[string(e.ID)]
	return p.start == int64(e.ProcessStart) && !p.leavingAt.IsZero()
}

// isSteady reports whether the process that an entry describes lives and has not said that it leaves.
func (w *restoreWorld) isSteady(e endpointlister.Endpoint) bool {
	w.turn.Lock()
	defer w.turn.Unlock()
	p := w.processes[string(e.ID)]
	return p.start == int64(e.ProcessStart) && !p.isDraining && !p.hasEnded && !p.isSilent
}

func (w *restoreWorld) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) < 5 {
		w.faults = append(w.faults, fmt.Sprintf(format, args...))
	}
}

// check checks each instance that is in reach of the store against the bounds, while the store is stable.
func (w *restoreWorld) check(now time.Time) {
	if !w.isRestored && !now.Before(w.away.from) || now.Before(w.returnedAt.Add(stableTime+drainTime)) {
		return
	}
	due := uint64(0)
	for version, at := range w.ackedAt {
		if now.Sub(at) > changeBound {
			due = max(due, version)
		}
	}
	for i, m := range w.members {
		if slices.ContainsFunc(w.cuts[i], func(s span) bool { return s.covers(now, stableTime+drainTime) }) {
			continue
		}
		if version := uint64(m.resolver.Version()); version < due {
			w.fault("instance %d has version %d, %d is due", i, version, due)
		}
		m.mu.Lock()
		listed := maps.Clone(m.listed)
		m.mu.Unlock()
		for key, p := range w.processes {
			e, isListed := listed[key]
			isCurrent := isListed && int64(e.ProcessStart) == p.start
			switch {
			case isCurrent && !e.Draining && !p.leavingAt.IsZero() && now.Sub(p.leavingAt) > drainTime+answerTime:
				w.fault("instance %d lists %s, which left %v ago", i, key, now.Sub(p.leavingAt))
			case !isCurrent && w.isSteady(endpointlister.Endpoint{ID: identifier.Endpoint(key), ProcessStart: identifier.ProcessStart(p.start)}) && !p.listedAt.IsZero() && now.Sub(p.listedAt) > drainTime:
				w.fault("instance %d does not list %s, which lives since %v", i, key, now.Sub(p.listedAt))
			}
		}
	}
}

// errRestore holds what a world found.
func (w *restoreWorld) errRestore() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return nil
	}
	return errors.New(strings.Join(w.faults, "; "))
}
