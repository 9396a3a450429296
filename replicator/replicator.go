package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/keeper"
)

// Store is what a Replicator needs of the platform's store. *keeper.Client has it.
type Store interface {
	Snapshot(ctx context.Context, prefix string) (keeper.Snapshot, error)
	Watch(ctx context.Context, prefix string, after uint64) (keeper.Changes, error)
}

// Peers answers for the other instances.
type Peers interface {
	// FetchUpdate asks one peer for what its replica has beyond revision after. A Revision of
	// zero says that it has nothing newer or did not answer; the next call asks another.
	FetchUpdate(ctx context.Context, after uint64) Update
}

// Upstream is a peer whose replica this one may follow in place of the store.
type Upstream interface {
	// Watch returns what changed after a revision, as Store.Watch does, or false if there
	// is no peer to follow now.
	Watch(ctx context.Context, after uint64) (keeper.Changes, bool)
}

// StaleError says that a replica is not fresh enough to be followed.
type StaleError struct{ After uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("replicator: the replica does not know all changes after revision %d", e.After)
}

// freshAge is how old the store's last answer may be for a replica that others follow.
const freshAge = 1500 * time.Millisecond

// Config configures a Replicator. Store and OnChange are required; the zero value of each
// other field takes the default named.
type Config struct {
	Store    Store
	Peers    Peers                 // nil if there are none
	Upstream Upstream              // nil if the store is always asked
	OnChange func([]keeper.Change) // is called in the order of the changes
	OnHealth func(Health)          // nil if nobody asks

	MinInterval    time.Duration // between two calls of the store; 300 ms
	UrgentInterval time.Duration // the same while changes are wanted at once; 100 ms
	Backoff        time.Duration // after the first failure, doubled for each later one; 100 ms
	MaxBackoff     time.Duration // 400 ms
	PeerInterval   time.Duration // between two questions to peers while the store is lost; 300 ms

	Logger zerolog.Logger
}

// Replicator runs a Core. News and Watch are safe for concurrent use.
type Replicator struct {
	cfg    Config
	events chan Event
	timer  *time.Timer

	mu    sync.Mutex // guards the fields below
	core  *Core
	moved chan struct{} // closed when the replica's revision grows
}

// New returns a Replicator for cfg.
func New(cfg Config) *Replicator {
	return &Replicator{cfg: cfg.withDefaults(), events: make(chan Event, 4), core: NewCore(cfg), moved: make(chan struct{})}
}

// UpdateSince returns what the replica has beyond a revision.
func (r *Replicator) UpdateSince(after uint64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.UpdateSince(after)
}

// Watch waits up to wait for changes after a revision and returns them, for a peer that
// follows this replica. Its error is *StaleError.
func (r *Replicator) Watch(ctx context.Context, after uint64, wait time.Duration) (keeper.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		r.mu.Lock()
		moved, revision := r.moved, r.core.Revision()
		changes, known := r.core.ChangesSince(after)
		fresh := r.core.IsFresh(time.Now(), freshAge)
		r.mu.Unlock()
		if !known || !fresh {
			return keeper.Changes{}, &StaleError{After: after}
		}
		if revision > after {
			return changes, nil
		}
		select {
		case <-moved:
		case <-timer.C:
			return keeper.Changes{Revision: after}, nil
		case <-ctx.Done():
			return keeper.Changes{Revision: after}, nil
		}
	}
}

// SetUrgent says whether changes are wanted as soon as they come, rather than several at a time.
func (r *Replicator) SetUrgent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Step(time.Now(), UrgentSet{On: on})
}

// Run keeps the replica until ctx ends. It returns nil.
func (r *Replicator) Run(ctx context.Context) error {
	r.timer = time.NewTimer(time.Hour)
	defer r.timer.Stop()
	r.step(ctx, Started{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.step(ctx, e)
		case <-r.timer.C:
			r.step(ctx, Ticked{})
		}
	}
}

func (r *Replicator) step(ctx context.Context, e Event) {
	r.mu.Lock()
	before := r.core.Revision()
	actions := r.core.Step(time.Now(), e)
	if r.core.Revision() > before {
		close(r.moved)
		r.moved = make(chan struct{})
	}
	r.mu.Unlock()
	for _, a := range actions {
		r.handle(ctx, a)
	}
}

func (r *Replicator) handle(ctx context.Context, a Action) {
	switch a := a.(type) {
	case List:
		go r.submit(ctx, func() Event { return r.list(ctx) })
	case Watch:
		go r.submit(ctx, func() Event { return r.watch(ctx, a.After) })
	case QueryPeers:
		if r.cfg.Peers != nil {
			go r.submit(ctx, func() Event { return PeerAnswered{Update: r.cfg.Peers.FetchUpdate(ctx, a.After)} })
		}
	case WakeAt:
		r.timer.Reset(time.Until(a.At))
	case NotifyChanges:
		r.cfg.OnChange(a.Changes)
	case Health:
		r.health(a)
	}
}

func (r *Replicator) submit(ctx context.Context, call func() Event) {
	select {
	case r.events <- call():
	case <-ctx.Done():
	}
}

func (r *Replicator) list(ctx context.Context) Event {
	s, err := r.cfg.Store.Snapshot(ctx, "")
	if err != nil {
		return r.failed(err)
	}
	return Listed{Snapshot: s}
}

func (r *Replicator) watch(ctx context.Context, after uint64) Event {
	if r.cfg.Upstream != nil {
		if ch, ok := r.cfg.Upstream.Watch(ctx, after); ok {
			return Watched{Changes: ch}
		}
	}
	ch, err := r.cfg.Store.Watch(ctx, "", after)
	if err != nil {
		return r.failed(err)
	}
	return Watched{Changes: ch}
}

// failed sorts the error of a call. The client of the store counts and names its failures.
func (r *Replicator) failed(err error) Event {
	var compacted *keeper.CompactedError
	if errors.As(err, &compacted) {
		r.cfg.Logger.Info().Uint64("revision", compacted.Revision).Msg("history of the store is gone, listing again")
		return Failed{Compacted: true}
	}
	r.cfg.Logger.Debug().Err(err).Msg("replica not refreshed")
	return Failed{}
}

func (r *Replicator) health(h Health) {
	if h.Lost {
		r.cfg.Logger.Warn().Dur("sinceAnswer", time.Since(h.Since)).Msg("store lost")
	} else {
		r.cfg.Logger.Info().Dur("lostFor", time.Since(h.Since)).Msg("store regained")
	}
	if r.cfg.OnHealth != nil {
		r.cfg.OnHealth(h)
	}
}
