package faker

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"amaranthmill/storeclient"
)

// Platform implements the methods of storeclient.Client that read, write and watch entries.
// The zero value is an empty store that is ready for use. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	backup   map[string]storeclient.Entry
	changes  []storeclient.Change // since the last Restore
	revision uint64
	changed  chan struct{} // closed at the next change or at the start or end of an outage

	down                 bool
	losePrefix           string // prefix of the keys whose writes lose their answers
	lostWritesTakeEffect bool   // whether the writes with lost answers change the entry
	answersToLose        int
	reads                int
	writes               int
	bytesWritten         int
	beforeWrite          func(key string) // called before each Create and Swap; removes itself at its key
}

// watchWait is the longest time that a watch waits for a change.
const watchWait = 30 * time.Second

var errDown = errors.New("faker: outage")

// SetDown starts or ends an outage. Waiting watches fail when an outage starts.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeWatches()
}

// LoseAnswers makes the next n calls of Create or Swap for keys that begin with prefix fail
// with a *storeclient.UnknownError. If effect is true, the writes are carried out nevertheless.
func (p *Platform) LoseAnswers(prefix string, n int, effect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.losePrefix, p.answersToLose, p.lostWritesTakeEffect = prefix, n, effect
}

// BeforeWrite registers f to be called once, before the next Create or Swap of key. f is
// called without p's lock, so that it can call methods of p.
func (p *Platform) BeforeWrite(key string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeWrite = func(written string) {
		if written == key {
			p.clearWriteHook()
			f()
		}
	}
}

// Backup saves a copy of the entries for Restore.
func (p *Platform) Backup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = maps.Clone(p.entries)
}

// Restore replaces the entries by those of the last Backup. Watches are not notified.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = maps.Clone(p.backup)
	p.changes = nil
}

// Calls returns the number of reads, the number of writes and the bytes written so far. A
// watch counts as one read.
func (p *Platform) Calls() (reads, writes, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes, p.bytesWritten
}

// Get stands in for storeclient.Client.Get.
func (p *Platform) Get(_ context.Context, key string) (storeclient.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "get", Cause: errDown}
	}
	e, ok := p.entries[key]
	if !ok {
		return storeclient.Entry{}, &storeclient.NotFoundError{Key: key}
	}
	return e, nil
}

// Create stands in for storeclient.Client.Create. It ignores the lease.
func (p *Platform) Create(_ context.Context, key string, value []byte, _ storeclient.LeaseID) (storeclient.Entry, error) {
	return p.put(key, 0, value)
}

// Swap stands in for storeclient.Client.Swap.
func (p *Platform) Swap(_ context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error) {
	return p.put(key, revision, value)
}

// Delete stands in for storeclient.Client.Delete.
func (p *Platform) Delete(_ context.Context, key string, revision uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if p.down {
		return &storeclient.UnavailableError{Call: "delete", Cause: errDown}
	}
	e, ok := p.entries[key]
	if !ok {
		return &storeclient.NotFoundError{Key: key}
	}
	if e.Revision != revision {
		return &storeclient.ConflictError{Key: key, Revision: e.Revision}
	}
	delete(p.entries, key)
	p.revision++
	p.recordChange(storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: p.revision}, Deleted: true})
	return nil
}

// List stands in for storeclient.Client.List.
func (p *Platform) List(_ context.Context, prefix string) ([]storeclient.Entry, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.down {
		return nil, &storeclient.UnavailableError{Call: "list", Cause: errDown}
	}
	var found []storeclient.Entry
	for _, key := range slices.Sorted(maps.Keys(p.entries)) {
		if strings.HasPrefix(key, prefix) {
			found = append(found, p.entries[key])
		}
	}
	return found, nil
}

// Watch stands in for storeclient.Client.Watch.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		found, changed, err := p.changesSince(prefix, after)
		if err != nil || len(found.Entries) > 0 {
			return found, err
		}
		select {
		case <-ctx.Done():
			return storeclient.Changes{}, &storeclient.UnavailableError{Call: "watch", Cause: ctx.Err()}
		case <-timer.C:
			return found, nil
		case <-changed:
		}
	}
}

func (p *Platform) changesSince(prefix string, after uint64) (storeclient.Changes, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return storeclient.Changes{}, nil, &storeclient.UnavailableError{Call: "watch", Cause: errDown}
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	found := storeclient.Changes{Revision: p.revision}
	for _, c := range p.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			found.Entries = append(found.Entries, c)
		}
	}
	return found, p.changed, nil
}

func (p *Platform) put(key string, revision uint64, value []byte) (storeclient.Entry, error) {
	if hook := p.writeHook(); hook != nil {
		hook(key)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	p.bytesWritten += len(value)
	if p.down {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "put", Cause: errDown}
	}
	lost := p.answersToLose > 0 && strings.HasPrefix(key, p.losePrefix)
	if lost {
		p.answersToLose--
	}
	if lost && !p.lostWritesTakeEffect {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Key: key, Cause: errDown}
	}
	e, err := p.write(key, revision, value)
	if lost {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Key: key, Cause: errDown}
	}
	return e, err
}

func (p *Platform) write(key string, revision uint64, value []byte) (storeclient.Entry, error) {
	if current := p.entries[key].Revision; current != revision {
		return storeclient.Entry{}, &storeclient.ConflictError{Key: key, Revision: current}
	}
	if p.entries == nil {
		p.entries = map[string]storeclient.Entry{}
	}
	p.revision++
	e := storeclient.Entry{Key: key, Value: slices.Clone(value), Revision: p.revision}
	p.entries[key] = e
	p.recordChange(storeclient.Change{Entry: e})
	return e, nil
}

func (p *Platform) recordChange(c storeclient.Change) {
	p.changes = append(p.changes, c)
	p.wakeWatches()
}

func (p *Platform) wakeWatches() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) writeHook() func(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.beforeWrite
}

func (p *Platform) clearWriteHook() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beforeWrite = nil
}
