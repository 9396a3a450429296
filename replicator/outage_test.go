package replicator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// Bounds of the tests, from the times within which the users require an instance to be up to date.
const (
	followerBound = 1500 * time.Millisecond // largest age of what a follower is told; changes are due after 2 s
	returnBound   = 800 * time.Millisecond  // from the heal to the first answer; with the 2.2 s in which expired entries may return, within the 3 s after which a healed path counts as in order
)

// Times of the store that the tests use.
const (
	holdTime    = 900 * time.Millisecond // for which the store holds a watch
	callTimeout = time.Second            // of a call, in addition to holdTime
	answerTime  = 4 * time.Millisecond
)

// cutStore is a store that is cut off, without any answer, for a time.
type cutStore struct {
	cutAt, healAt time.Time
	failed        bool // the last call failed; a watch then returns without being held
}

var errSilent = errors.New("no answer")

func (s *cutStore) Snapshot(ctx context.Context, _ string) (storeclient.Snapshot, error) {
	return storeclient.Snapshot{Revision: 1}, s.call(ctx, 0)
}

func (s *cutStore) Watch(ctx context.Context, _ string, after uint64) (storeclient.Changes, error) {
	hold := holdTime
	if s.failed {
		hold = 0
	}
	return storeclient.Changes{Revision: after}, s.call(ctx, hold)
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
	s.failed = lost
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
				Store: &cutStore{cutAt: cutAt, healAt: cutAt.Add(10 * time.Second)}, OnChange: func([]storeclient.Change) {},
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
				Store: &cutStore{cutAt: cutAt, healAt: healAt}, OnChange: func([]storeclient.Change) {},
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
