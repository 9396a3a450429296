package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Store is the part of the platform's key-value store that a Replicator uses. *storeclient.Client
// implements it.
type Store interface {
	Snapshot(ctx context.Context, prefix string) (storeclient.Snapshot, error)
	Watch(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error)
	Poll(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) // Watch without waiting
}

// Peers queries the other instances.
type Peers interface {
	// FetchUpdate queries one peer for what its replica holds beyond revision after, and for how
	// long the store has answered that peer. A Revision of zero means that the peer has nothing newer or
	// did not answer. If the store does not answer the peer either, the next call queries another one.
	FetchUpdate(ctx context.Context, after uint64) Update
}

// Upstream is a peer whose replica this replica may follow instead of the store. It must be safe for
// concurrent use, because calls overlap after a failure.
type Upstream interface {
	// Watch returns the changes after a revision, as Store.Watch does. Its error is *NoPeerError if
	// there is currently no peer to follow, and another one if the peer has not answered.
	Watch(ctx context.Context, after uint64) (PeerChanges, error)
}

// PollingUpstream is an Upstream that can be queried without waiting. A Replicator whose watch is overdue queries it
// before the store, so that an instance with a narrow link does not need the store when the peer that it
// follows dies.
type PollingUpstream interface {
	Upstream
	// Poll returns the changes after a revision from a peer whose answer is not overdue. Its errors are those of
	// Watch.
	Poll(ctx context.Context, after uint64) (PeerChanges, error)
}

// NoPeerError reports that there is currently no peer to follow.
type NoPeerError struct{}

func (*NoPeerError) Error() string { return "replicator: there is no peer to follow" }

// PeerChanges are what a replica returns to a peer that follows it.
type PeerChanges struct {
	storeclient.Changes
	Peer       identifier.Instance // that has returned them; empty for the store
	References []Reference         // to large values that changed, whose values the follower fetches
	Age        time.Duration       // since the store's last answer, to the replica or to the one that it follows
}

// StaleError reports that a peer can't follow this replica, because the store has not answered
// recently or the replica does not know all changes after the revision.
type StaleError struct{ After uint64 }

func (e *StaleError) Error() string {
	return fmt.Sprintf("replicator: the replica does not know all changes after revision %d", e.After)
}

// maxAnswerAge is the maximum age of the store's last answer for a replica that peers follow.
const maxAnswerAge = 1500 * time.Millisecond

// Config configures a Replicator. Store and OnChange are required. A duration of zero selects the
// default that its comment states.
type Config struct {
	Store     Store
	Peers     Peers                              // nil if there are none
	Upstream  Upstream                           // nil if the replica always follows the store itself
	OnChange  func([]storeclient.Change, Origin) // called in the order of the changes
	OnHealth  func(Health)                       // may be nil
	OnContact func(Contact)                      // the store answers a peer; may be nil
	OnRestore func(Restored)                     // the store was restored from an older copy; called before OnChange with what the copy holds; may be nil

	Values  ValueSource        // fetches the values of references; nil if Upstream and Peers return no references
	OnValue func(ValueArrival) // a value that was fetched is about to be applied; may be nil

	ListAfterTimeout bool // after a call for changes that has timed out, list instead while there are large values: the store sends each version of a value that has changed, which a narrow link may not carry in time

	MinInterval    time.Duration // between two calls to the store; 300 ms
	UrgentInterval time.Duration // replaces MinInterval while changes are urgent; 100 ms
	Backoff        time.Duration // delay after the first failure, doubled for each consecutive one; 100 ms
	MaxBackoff     time.Duration // upper bound of the delay after a failure; 400 ms
	PeerInterval   time.Duration // between two queries to peers while the store is lost and after its return; 300 ms
	AnswerTimeout  time.Duration // after the store's last answer, in which a watch is the only call; longer than MinInterval and the time for which the store and peers hold a watch; 1.6 s
	RestoreGrace   time.Duration // after a restore of the store, in which entries that its copy lacks may be written again; 2.2 s
	ContactTime    time.Duration // after the return of the store, in which peers are queried since when it has answered them; 2.2 s

	Logger zerolog.Logger
}

// Replicator drives a Core. UpdateSince, UpdateWithReferences, Watch, WatchReferences, Value and SetUrgent are
// safe for concurrent use.
type Replicator struct {
	cfg    Config
	events chan Event
	timer  *time.Timer

	mu       sync.Mutex // guards the fields below
	core     *Core
	answered chan struct{} // closed and replaced at each answer of the store and each change of the replica
	versions versions      // the last versions of large values
	timedOut bool          // the last call for changes to the store has timed out
}

// New returns a Replicator for cfg.
func New(cfg Config) *Replicator {
	return &Replicator{cfg: cfg.withDefaults(), events: make(chan Event, 4), core: NewCore(cfg), answered: make(chan struct{})}
}

// UpdateSince returns what the replica holds beyond a revision, and for how long the store has
// answered it.
func (r *Replicator) UpdateSince(after uint64) Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.addContact(r.core.UpdateSince(after))
}

// addContact returns u with for how long the store has answered this replica. r.mu is held.
func (r *Replicator) addContact(u Update) Update {
	now := time.Now()
	if contact, ok := r.core.Contact(now); ok {
		u.IsInContact, u.ContactTime, u.AnswerAge = true, contact.Until.Sub(contact.Since), now.Sub(contact.Until)
	}
	return u
}

// Watch waits at most wait for changes after a revision or for the next answer of the store, which
// shows that there are none, and returns them to a peer that follows this replica. It does not
// wait longer than the replica is fresh. Its error is *StaleError.
func (r *Replicator) Watch(ctx context.Context, after uint64, wait time.Duration) (PeerChanges, error) {
	return r.watch(ctx, after, wait, func() (PeerChanges, bool) {
		changes, known := r.core.ChangesSince(after)
		return PeerChanges{Changes: changes}, known
	})
}

// watch does what Watch does with the changes that changesSince returns, which is called with r.mu held.
func (r *Replicator) watch(ctx context.Context, after uint64, wait time.Duration, changesSince func() (PeerChanges, bool)) (PeerChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var firstAnswer time.Time
	for {
		r.mu.Lock()
		answered, answeredAt, revision := r.answered, r.core.AnsweredAt(), r.core.Revision()
		changes, known := changesSince()
		r.mu.Unlock()
		now := time.Now()
		age := now.Sub(answeredAt)
		if !known || isLonger(answeredAt, now, maxAnswerAge) {
			return PeerChanges{}, &StaleError{After: after}
		}
		if firstAnswer.IsZero() {
			firstAnswer = answeredAt
		}
		if revision > after || answeredAt.After(firstAnswer) || ctx.Err() != nil {
			changes.Age = age
			return changes, nil
		}
		awaitAnswer(ctx, answered, maxAnswerAge-age)
	}
}

// awaitAnswer waits until the store has answered, at most for the time that the replica is still fresh.
func awaitAnswer(ctx context.Context, answered <-chan struct{}, freshFor time.Duration) {
	timer := time.NewTimer(freshFor + time.Millisecond)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// SetUrgent sets whether changes are fetched as soon as possible (UrgentInterval) rather than
// batched (MinInterval).
func (r *Replicator) SetUrgent(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Step(time.Now(), UrgentSet{On: on})
}

// Run keeps the replica up to date until ctx ends. It returns nil.
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
	revision, answeredAt := r.core.Revision(), r.core.AnsweredAt()
	actions := r.core.Step(time.Now(), e)
	hasNewValues := r.versions.add(actions)
	if hasNewValues || r.core.Revision() > revision || !r.core.AnsweredAt().Equal(answeredAt) {
		close(r.answered)
		r.answered = make(chan struct{})
	}
	r.mu.Unlock()
	for _, a := range actions {
		r.handle(ctx, a)
	}
}

func (r *Replicator) handle(ctx context.Context, a Action) {
	switch a := a.(type) {
	case List:
		go r.submit(ctx, func() Event { return r.listStore(ctx, a.Call) })
	case Watch:
		go r.submit(ctx, func() Event { return r.watchChanges(ctx, a) })
	case FetchValue:
		go r.submit(ctx, func() Event { return r.fetchValue(ctx, a) })
	case QueryPeers:
		if r.cfg.Peers != nil {
			go r.submit(ctx, func() Event { return PeerAnswered{Update: r.cfg.Peers.FetchUpdate(ctx, a.After), Query: a} })
		}
	case WakeAt:
		r.timer.Reset(time.Until(a.At))
	case NotifyChanges:
		r.cfg.OnChange(a.Changes, a.Origin)
	case Ignored:
		r.reportIgnored(a)
	case Health:
		r.reportHealth(a)
	case Restored:
		r.reportRestore(a)
	case Contact:
		if r.cfg.OnContact != nil {
			r.cfg.OnContact(a)
		}
	}
}

func (r *Replicator) submit(ctx context.Context, call func() Event) {
	select {
	case r.events <- call():
	case <-ctx.Done():
	}
}

func (r *Replicator) listStore(ctx context.Context, call Call) Event {
	s, err := r.cfg.Store.Snapshot(ctx, "")
	r.recordTimeout(nil) // if the list fails too, the next call is for changes again
	if err != nil {
		return r.classifyFailure(err, call)
	}
	return Listed{Snapshot: s, Call: call}
}

func (r *Replicator) watchChanges(ctx context.Context, w Watch) Event {
	if w.Poll {
		return r.pollChanges(ctx, w)
	}
	e, err := r.watchUpstream(ctx, w)
	if err == nil {
		return e
	}
	if r.prefersList() {
		return r.listStore(ctx, w.Call)
	}
	ch, err := r.storeWatchAfter(err)(ctx, "", w.After)
	r.recordTimeout(err)
	if err != nil {
		return r.classifyFailure(err, w.Call)
	}
	return Watched{Changes: ch, Call: w.Call}
}

// prefersList reports whether the next call to the store is a list although the history is known.
func (r *Replicator) prefersList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.ListAfterTimeout && r.timedOut && len(r.versions.entries) > 0
}

// recordTimeout records whether a call for changes to the store, which ended with err, has timed out.
func (r *Replicator) recordTimeout(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timedOut = errors.Is(err, context.DeadlineExceeded)
}

// storeWatchAfter returns the call that gets changes from the store after a watch of the upstream has
// failed. If a peer has not answered, the last answer of the store may be old, and the store must not
// hold the call too.
func (r *Replicator) storeWatchAfter(upstreamErr error) func(ctx context.Context, prefix string, after uint64) (storeclient.Changes, error) {
	var noPeer *NoPeerError
	if errors.As(upstreamErr, &noPeer) {
		return r.cfg.Store.Watch
	}
	return r.cfg.Store.Poll
}

// pollChanges asks the store first, because it answers at once if it can be reached, and the peer that
// this replica follows otherwise. While the store is not lost, a PollingUpstream comes before the store.
func (r *Replicator) pollChanges(ctx context.Context, w Watch) Event {
	if upstream, ok := r.cfg.Upstream.(PollingUpstream); ok && !r.isLost() {
		ch, err := upstream.Poll(ctx, w.After)
		if e, err := r.acceptChanges(ch, w, err); err == nil {
			return e
		}
	}
	if r.prefersList() {
		return r.listStore(ctx, w.Call)
	}
	ch, err := r.cfg.Store.Poll(ctx, "", w.After)
	r.recordTimeout(err)
	if err == nil {
		return Watched{Changes: ch, Call: w.Call}
	}
	if e, upstreamErr := r.watchUpstream(ctx, w); upstreamErr == nil {
		return e
	}
	return r.classifyFailure(err, w.Call)
}

// isLost reports whether the store is lost or the replica incomplete.
func (r *Replicator) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.AnsweredAt().IsZero()
}

// watchUpstream watches the peer that this replica follows. Its errors are those of Upstream.Watch.
func (r *Replicator) watchUpstream(ctx context.Context, w Watch) (Event, error) {
	if r.cfg.Upstream == nil {
		return nil, &NoPeerError{}
	}
	ch, err := r.cfg.Upstream.Watch(ctx, w.After)
	return r.acceptChanges(ch, w, err)
}

// acceptChanges returns the event for what a peer has returned to w. Its error is err, or *StaleError if the peer does not
// know of a restore of the store that this replica knows of.
func (r *Replicator) acceptChanges(ch PeerChanges, w Watch, err error) (Event, error) {
	r.mu.Lock()
	era := r.core.Era()
	ch.Era = r.core.peerEra(ch.Era)
	r.mu.Unlock()
	if err == nil && ch.Era < era {
		return nil, &StaleError{After: w.After}
	}
	return Watched{Changes: ch.Changes, References: ch.References, Peer: ch.Peer, Age: ch.Age, Call: w.Call}, err
}

// classifyFailure returns the event for a failed call. It logs most errors at debug level only,
// because the store's client counts and logs its failures.
func (r *Replicator) classifyFailure(err error, call Call) Event {
	var compacted *storeclient.CompactedError
	if errors.As(err, &compacted) {
		r.cfg.Logger.Info().Uint64("revision", compacted.Revision).Msg("store has compacted the history after this revision; listing all entries again")
		return Failed{Compacted: true, Call: call}
	}
	r.cfg.Logger.Debug().Err(err).Msg("store call failed; retrying after a delay")
	var rejected *storeclient.CircuitError
	return Failed{NotSent: errors.As(err, &rejected), Call: call}
}
