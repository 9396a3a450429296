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

// Platform answers as storeclient.Client does. The zero value is empty and ready for use; it
// is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	backup   map[string]storeclient.Entry
	changes  []storeclient.Change // since the last restored backup
	revision uint64
	changed  chan struct{} // closed at the next change

	down       bool
	loseKey    string // whose answers are to be lost
	loseEffect bool   // whether those writes take effect
	lose       int
	reads      int
	writes     int
	bytes      int
	before     func(key string) // called once before the next conditional write
}

// watchWait is the longest that a watch waits.
const watchWait = 30 * time.Second

var errDown = errors.New("faker: outage")

// SetDown starts or ends an outage. Watches that wait fail at its start.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// LoseAnswers has the answers of the next n writes of keys that begin with prefix lost,
// after the write took effect or without it.
func (p *Platform) LoseAnswers(prefix string, n int, effect bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseKey, p.lose, p.loseEffect = prefix, n, effect
}

// BeforeWrite has f called before the next write of key, outside the platform's lock.
func (p *Platform) BeforeWrite(key string, f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before = func(written string) {
		if written == key {
			p.clearBefore()
			f()
		}
	}
}

// Backup keeps the present state for Restore.
func (p *Platform) Backup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup = maps.Clone(p.entries)
}

// Restore sets the service back to the state of the last Backup. Watches do not see it.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = maps.Clone(p.backup)
	p.changes = nil
}

// Calls returns the reads, with each watch as one, the writes and the bytes written.
func (p *Platform) Calls() (reads, writes, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes, p.bytes
}

// Get is storeclient.Client.Get.
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

// Create is storeclient.Client.Create. The lease is not kept.
func (p *Platform) Create(_ context.Context, key string, value []byte, _ storeclient.LeaseID) (storeclient.Entry, error) {
	return p.put(key, 0, value)
}

// Swap is storeclient.Client.Swap.
func (p *Platform) Swap(_ context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error) {
	return p.put(key, revision, value)
}

// Delete is storeclient.Client.Delete.
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
	p.change(storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: p.revision}, Deleted: true})
	return nil
}

// List is storeclient.Client.List.
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

// Watch is storeclient.Client.Watch.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) {
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		found, changed, err := p.since(prefix, after)
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

func (p *Platform) since(prefix string, after uint64) (storeclient.Changes, chan struct{}, error) {
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
	if before := p.hook(); before != nil {
		before(key)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	p.bytes += len(value)
	if p.down {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "put", Cause: errDown}
	}
	lost := p.lose > 0 && strings.HasPrefix(key, p.loseKey)
	if lost {
		p.lose--
	}
	if lost && !p.loseEffect {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Key: key, Cause: errDown}
	}
	e, err := p.write(key, revision, value)
	if lost {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Key: key, Cause: errDown}
	}
	return e, err
}

func (p *Platform) write(key string, revision uint64, value []byte) (storeclient.Entry, error) {
	if present := p.entries[key].Revision; present != revision {
		return storeclient.Entry{}, &storeclient.ConflictError{Key: key, Revision: present}
	}
	if p.entries == nil {
		p.entries = map[string]storeclient.Entry{}
	}
	p.revision++
	e := storeclient.Entry{Key: key, Value: slices.Clone(value), Revision: p.revision}
	p.entries[key] = e
	p.change(storeclient.Change{Entry: e})
	return e, nil
}

func (p *Platform) change(c storeclient.Change) {
	p.changes = append(p.changes, c)
	p.wake()
}

func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) hook() func(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.before
}

func (p *Platform) clearBefore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.before = nil
}
