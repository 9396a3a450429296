package replicator_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// Bounds of the tests, from the times within which the users require an instance to be up to date.
const (
	followerBound = 1500 * time.Millisecond // largest age of what a follower is told; changes are due after 2 s
	changeBound   = 1800 * time.Millisecond // from a change to its arrival; what is left until it is due is for what the change takes effect on
	returnBound   = 800 * time.Millisecond  // from the heal to the first answer; with the 2.2 s in which expired entries may return, within the 3 s after which a healed path counts as in order
)

// Times of the store that the tests use.
const (
	holdTime    = 900 * time.Millisecond // for which the store holds a watch
	callTimeout = time.Second            // of a call, in addition to holdTime
	answerTime  = 4 * time.Millisecond
)

// cutStore is a store that is cut off, without any answer, for a time. The zero time stands for never.
type cutStore struct {
	cutAt, healAt time.Time
	changeAt      time.Time // when an entry is written
}

var errSilent = errors.New("no answer")

func (s *cutStore) Snapshot(ctx context.Context, _ string) (storeclient.Snapshot, error) {
	return storeclient.Snapshot{Revision: 1}, s.call(ctx, 0)
}

// changes returns the changes after a revision.
func (s *cutStore) changes(after uint64) storeclient.Changes {
	if s.changeAt.IsZero() || time.Now().Before(s.changeAt) || after > 1 {
		return storeclient.Changes{Revision: after}
	}
	return storeclient.Changes{Revision: 2, Entries: []storeclient.Change{{Entry: storeclient.Entry{Key: "a", Revision: 2}}}}
}

func (s *cutStore) Watch(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	hold := holdTime
	if !s.changeAt.IsZero() && after < 2 {
		hold = max(min(hold, time.Until(s.changeAt)), 0)
	}
	err := s.call(ctx, hold)
	return s.changes(after), err
}

func (s *cutStore) Poll(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	return s.changes(after), s.call(ctx, 0)
}

// call waits for the answer of a call that the store holds for a time, or fails after the timeout if
// the store is cut off at the call or before the answer.
func (s *cutStore) call(ctx context.Context, hold time.Duration) error {
	start := time.Now()
	answerAt := start.Add(hold + answerTime)
	lost := start.Before(s.healAt) && answerAt.After(s.cutAt)
	if lost {
		answerAt = start.Add(hold + callTimeout)
	}
	select {
	case <-time.After(time.Until(answerAt)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if lost {
		return errSilent
	}
	return nil
}

// TestFollowerIsNotToldOldState cuts an instance off from the store while another instance follows it,
// whose watch begins at different times after the cut. The followed instance vouched for its replica
// when the watch began and held the watch without asking again whether the store still answered, so
// that the follower had changes up to 2.4 s late although it could reach the store.
func TestFollowerIsNotToldOldState(t *testing.T) {
	for start := time.Duration(0); start < followerBound; start += 70 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cutAt := time.Now().Add(5 * time.Second)
			r := replicator.New(replicator.Config{
				Store: &cutStore{cutAt: cutAt, healAt: cutAt.Add(10 * time.Second)}, OnChange: func([]storeclient.Change, replicator.Origin) {},
			})
			go func() { _ = r.Run(ctx) }()
			time.Sleep(time.Until(cutAt.Add(start)))
			_, err := r.Watch(ctx, 1, holdTime)
			if late := time.Since(cutAt); err == nil && late > followerBound {
				t.Errorf("told that nothing has changed %v after the cut", late)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// failureTime is the time of the last failed watch of an upstream. It is safe for concurrent use.
type failureTime struct {
	mu sync.Mutex
	at time.Time
}

func (f *failureTime) record() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = time.Now()
}

// isRecent reports whether no peer is followed because a watch has failed lately.
func (f *failureTime) isRecent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.at) < upstreamRetryTime
}

// peerUpstream follows a replica, and the store for a time after a failed watch.
type peerUpstream struct {
	replica *replicator.Replicator
	failed  failureTime
}

func (u *peerUpstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	if u.failed.isRecent() {
		return replicator.PeerChanges{}, &replicator.NoPeerError{}
	}
	changes, err := u.replica.Watch(ctx, after, upstreamWait)
	if err != nil {
		u.failed.record()
	}
	return changes, err
}

// TestChangesReachFollowersOfCutInstanceInTime cuts the first of four instances that follow each other
// off from the store, and writes an entry at different times after that. At each level of the tree
// the vouching for an old state added to the delay of the levels above.
func TestChangesReachFollowersOfCutInstanceInTime(t *testing.T) {
	const levels = 4
	for delay := time.Duration(0); delay < 2*time.Second; delay += 90 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			start := time.Now()
			cutAt := start.Add(5 * time.Second)
			changeAt := cutAt.Add(delay)
			var seenAt [levels]time.Time
			var above *replicator.Replicator
			for level := range levels {
				cfg := replicator.Config{Store: &cutStore{changeAt: changeAt}, OnChange: func([]storeclient.Change, replicator.Origin) { seenAt[level] = time.Now() }}
				if above == nil {
					cfg.Store = &cutStore{changeAt: changeAt, cutAt: cutAt, healAt: cutAt.Add(time.Minute)}
				} else {
					cfg.Upstream = &peerUpstream{replica: above}
				}
				r := replicator.New(cfg)
				go func() { _ = r.Run(ctx) }()
				above = r
				time.Sleep(170 * time.Millisecond) // the instances do not start at once
			}
			time.Sleep(20 * time.Second)
			cancel()
			synctest.Wait()
			for level := 1; level < levels; level++ {
				if seenAt[level].IsZero() || seenAt[level].Sub(changeAt) > followerBound+100*time.Millisecond {
					t.Errorf("level %d has a change of %v after the cut %v late", level, delay, seenAt[level].Sub(changeAt))
				}
			}
		})
	}
}

// silentUpstream follows a replica whose instance does not answer peers from a time on.
type silentUpstream struct {
	peerUpstream
	silentAt time.Time
}

func (u *silentUpstream) Watch(ctx context.Context, after uint64) (replicator.PeerChanges, error) {
	ctx, cancel := context.WithDeadline(ctx, u.silentAt)
	defer cancel()
	changes, err := u.peerUpstream.Watch(ctx, after)
	if ctx.Err() == nil {
		return changes, err
	}
	time.Sleep(upstreamWait + upstreamTimeout) // the answer does not come
	u.failed.record()
	return replicator.PeerChanges{}, errSilent
}

// TestChangeReachesFollowerOfSilentInstanceInTime cuts an instance off from the store and, at different times
// after that, from the instance that follows it, and writes an entry just after the first cut. The follower
// knew that its last answer was up to a second old, and waited for the silent instance as long
// as for one that had just answered, so that it had the change up to 2.1 s late.
func TestChangeReachesFollowerOfSilentInstanceInTime(t *testing.T) {
	for delay := time.Duration(0); delay < 2*time.Second; delay += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cutAt := time.Now().Add(5 * time.Second)
			changeAt := cutAt.Add(10 * time.Millisecond)
			followed := replicator.New(replicator.Config{
				Store: &cutStore{changeAt: changeAt, cutAt: cutAt, healAt: cutAt.Add(time.Minute)}, OnChange: func([]storeclient.Change, replicator.Origin) {},
			})
			go func() { _ = followed.Run(ctx) }()
			time.Sleep(170 * time.Millisecond) // the instances do not start at once
			var seenAt time.Time
			follower := replicator.New(replicator.Config{
				Store:    &cutStore{changeAt: changeAt},
				Upstream: &silentUpstream{peerUpstream: peerUpstream{replica: followed}, silentAt: cutAt.Add(delay)},
				OnChange: func([]storeclient.Change, replicator.Origin) { seenAt = time.Now() },
			})
			go func() { _ = follower.Run(ctx) }()
			time.Sleep(15 * time.Second)
			cancel()
			synctest.Wait()
			time.Sleep(2 * time.Second) // calls without a context end
			if late := seenAt.Sub(changeAt); seenAt.IsZero() || late > changeBound {
				t.Errorf("the follower has a change %v late, with %v between the cuts", late, delay)
			}
		})
	}
}

// TestReplicaReturnsSoonAfterHeal cuts an instance off from the store for different times. A call that
// was sent into the cut kept the next one from being sent until it had timed out, so that the
// instance came back up to two seconds after the heal.
func TestReplicaReturnsSoonAfterHeal(t *testing.T) {
	for cut := 500 * time.Millisecond; cut < 9*time.Second; cut += 130 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cutAt := time.Now().Add(5 * time.Second)
			healAt := cutAt.Add(cut)
			lost := false
			var regainedAt time.Time
			r := replicator.New(replicator.Config{
				Store: &cutStore{cutAt: cutAt, healAt: healAt}, OnChange: func([]storeclient.Change, replicator.Origin) {},
				OnHealth: func(h replicator.Health) { lost, regainedAt = h.Lost, time.Now() },
			})
			go func() { _ = r.Run(ctx) }()
			time.Sleep(20 * time.Second)
			cancel()
			synctest.Wait()
			if lost {
				t.Fatal("the store is still lost")
			}
			if !regainedAt.IsZero() && regainedAt.Sub(healAt) > returnBound {
				t.Errorf("regained %v after the heal of a cut of %v", regainedAt.Sub(healAt), cut)
			}
		})
	}
}
