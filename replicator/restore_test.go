package replicator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Figures of a world of the restore test.
const (
	restores        = 3                // of the store, one after the other
	restoreInterval = 12 * time.Second // between two of them
	longestAway     = 1500 * time.Millisecond
	longestCopyAge  = 8 * time.Second
	actShare        = 12 // one in so many steps of 20 ms the operator or an endpoint does something
)

// playRestores plays the world of a seed and returns what breaks a bound. If losesData is not set, the store is away, but returns with all that it acknowledged.
func playRestores(t *testing.T, seed uint64, losesData bool) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		cancel()
		synctest.Wait()
		time.Sleep(2 * time.Second) // calls without a context end
	}()
	w := newRestoreWorld(seed)
	w.losesData = losesData
	w.start(ctx)
	start := time.Now()
	for n := range restores {
		from := start.Add(time.Duration(n+1)*restoreInterval + time.Duration(w.random.Int64N(int64(3*time.Second))))
		away := span{from, from.Add(time.Duration(w.random.Int64N(int64(longestAway))))}
		cut := span{from.Add(-time.Duration(w.random.Int64N(int64(2 * time.Second)))), away.until.Add(time.Duration(w.random.Int64N(int64(4 * time.Second))))}
		if i := w.random.IntN(2 * fleetSize); i < fleetSize {
			w.cuts[i] = append(w.cuts[i], cut)
		}
		for now := time.Now(); now.Before(start.Add(time.Duration(n+2) * restoreInterval)); now = time.Now() {
			if n == 0 || !now.Before(from.Add(-restoreInterval/2)) {
				w.prepare(away)
			}
			synctest.Wait()
			w.tick(now)
			if w.random.IntN(actShare) == 0 {
				w.act(now)
			}
			synctest.Wait()
			w.check(now)
			time.Sleep(20 * time.Millisecond)
		}
	}
	return w.errRestore()
}

// checkRestores plays the worlds of all seeds.
func checkRestores(t *testing.T, losesData bool) {
	for seed := range *fleetSeeds {
		var err error
		synctest.Test(t, func(t *testing.T) { err = playRestores(t, seed, losesData) })
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// prepare sets the next time in which the store is away.
func (w *restoreWorld) prepare(away span) {
	if w.away == away {
		return
	}
	w.away, w.isRestored = away, false
	w.copyAge = time.Duration(w.random.Int64N(int64(longestCopyAge)))
}

// TestRestoredStoreKeepsConfigurationAndLeaving restores the store from copies that are some seconds old, while
// versions are written and endpoints start, drain, leave and crash. A replica that took the order of revisions for the
// order of events ignored what was written at revisions that it had seen before: no later version came into force, and
// endpoints that left stayed listed. What an instance knew to leave must not come back from the copy either, and
// endpoints that the copy lacks must not be dropped.
func TestRestoredStoreKeepsConfigurationAndLeaving(t *testing.T) {
	checkRestores(t, true)
}

// TestAwayStoreKeepsConfigurationAndLeaving plays the same worlds with a store that loses nothing. It shows that the
// bounds hold without a restore, so that a failure of the test above comes from it.
func TestAwayStoreKeepsConfigurationAndLeaving(t *testing.T) {
	checkRestores(t, false)
}
