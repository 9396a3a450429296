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
	restoreInterval = 22 * time.Second // between two of them
	longestAway     = 1500 * time.Millisecond
	longestCopyAge  = 8 * time.Second
	longestPause    = 4 * time.Second // after half of the returns, until the store is away once more
	longestOutage   = 8 * time.Second // of that second time
	actShare        = 12              // one in so many steps of 20 ms the operator or an endpoint does something
)

// playRestores plays the world of a seed and returns what breaks a bound. If losesData is not set, the store is away, but
// returns with all that it acknowledged.
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
	for range restores {
		w.turn.Lock()
		w.planRestore()
		w.turn.Unlock()
		end := time.Now().Add(restoreInterval)
		for isAgain := w.random.IntN(2) == 0; time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			synctest.Wait()
			now := time.Now()
			w.turn.Lock()
			w.tick(now)
			if isAgain && w.isRestored {
				isAgain = false
				w.planOutage()
			}
			if w.random.IntN(actShare) == 0 {
				w.act(now)
			}
			w.turn.Unlock()
			synctest.Wait()
			w.check(now)
		}
	}
	return w.errRestore()
}

// planRestore sets when the store is away next, and cuts an instance off from it around that time in half of the cases.
func (w *restoreWorld) planRestore() {
	from := time.Now().Add(restoreInterval/3 + w.draw(3*time.Second))
	w.away = span{from, from.Add(w.draw(longestAway))}
	w.isRestored, w.keepsData, w.copyAge = false, !w.losesData, w.draw(longestCopyAge)
	if i := w.random.IntN(2 * fleetSize); i < fleetSize {
		w.cuts[i] = append(w.cuts[i], span{from.Add(-w.draw(2 * time.Second)), w.away.until.Add(w.draw(4 * time.Second))})
	}
}

// planOutage lets the store be away once more soon after its return. It loses data again or none.
func (w *restoreWorld) planOutage() {
	from := time.Now().Add(w.draw(longestPause))
	w.away = span{from, from.Add(w.draw(longestOutage))}
	w.isRestored, w.keepsData = false, !w.losesData || w.random.IntN(2) == 0
}

// draw returns a random time below a limit.
func (w *restoreWorld) draw(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit)))
}

// checkRestores plays the worlds of a number of seeds.
func checkRestores(t *testing.T, seeds uint64, losesData bool) {
	for seed := range seeds {
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
	checkRestores(t, *fleetSeeds, true)
}

// TestAwayStoreKeepsConfigurationAndLeaving plays the same worlds with a store that loses nothing. It shows that the
// bounds hold without a restore, so that a failure of the test above comes from it.
func TestAwayStoreKeepsConfigurationAndLeaving(t *testing.T) {
	checkRestores(t, *fleetSeeds/4, false)
}
