package estimator_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthmill/estimator"
	"amaranthmill/internal/scripter"
)

// TestLimitsFollowGoalsAndSpeed guards against predictions that contradict each other: with any samples, a shorter goal or a slower target has
// no higher limit, more tokens ahead raise none, and every value is finite and within its range.
func TestLimitsFollowGoalsAndSpeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := estimator.NewPool()
		targets := make([]estimator.Estimator, 3)
		now := scripter.Start
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			e := &targets[rapid.IntRange(0, 2).Draw(t, "target")]
			load := rapid.Float64Range(0, 1.3).Draw(t, "load")
			d := time.Duration(rapid.IntRange(0, 9000).Draw(t, "time")) * time.Millisecond
			tokens := rapid.IntRange(0, 4000).Draw(t, "tokens")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				e.RecordFirstEvent(now, pool, load, tokens, d)
			case 2:
				e.RecordGap(now, pool, load, d)
			case 3:
				e.RecordOverdue(now, pool, load, tokens, d)
			case 4:
				e.RecordEnd(now, d > time.Second)
			}
			sum, n := 0.0, 0
			for i := range targets {
				if targets[i].IsRecent(now) {
					sum += targets[i].Speed(now, pool)
					n++
				}
			}
			pool.Refresh(now, sum, n)
		}
		const maxLoad = 1.1
		for i := range targets {
			slowness, failures := targets[i].Slowness(now, pool), targets[i].FailureRate(now)
			if !(slowness > 0) || math.IsInf(slowness, 0) || !(failures >= 0 && failures <= 1) {
				t.Fatalf("slowness %v, failure rate %v", slowness, failures)
			}
		}
		goals := estimator.Goals{FirstEvent: time.Duration(rapid.IntRange(1, 3000).Draw(t, "goal")) * time.Millisecond, Gap: 200 * time.Millisecond, TokensAhead: 800}
		limit := pool.Limit(goals, 1, maxLoad)
		longer, more := goals, goals
		longer.FirstEvent *= 2
		more.TokensAhead *= 2
		switch {
		case limit < 0 || limit > maxLoad:
			t.Fatalf("limit %v", limit)
		case pool.Limit(longer, 1, maxLoad) < limit:
			t.Fatalf("a longer goal lowers the limit")
		case pool.Limit(more, 1, maxLoad) > limit:
			t.Fatalf("more tokens raise the limit")
		case pool.Limit(goals, 2, maxLoad) > limit:
			t.Fatalf("a slower target has a higher limit")
		}
	})
}

// TestPriorAllowsEverything guards against limits that come from ignorance.
func TestPriorAllowsEverything(t *testing.T) {
	pool := estimator.NewPool()
	var e estimator.Estimator
	goals := estimator.Goals{FirstEvent: time.Nanosecond, Gap: time.Nanosecond, TokensAhead: 1 << 20}
	if got := pool.Limit(goals, e.Slowness(scripter.Start, pool), 1.1); got != 1.1 {
		t.Errorf("limit %v without samples", got)
	}
}
