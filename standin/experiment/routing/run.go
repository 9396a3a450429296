package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/standin/internal/queueing"
)

const (
	warmUp         = 60 * time.Second
	runLength      = 240 * time.Second // including warmUp
	reportInterval = time.Second
	tokenTime      = 30 * time.Millisecond
)

// result holds the measures of one run after its warm-up.
type result struct {
	p50, p95    time.Duration // time to the first token
	cachedShare float64       // fraction of prompt blocks found in the prefix cache
	imbalance   float64       // load of the most loaded group relative to the mean load, averaged over time
}

// simulation is the state of one run.
type simulation struct {
	queueing.Loop
	trace  trace
	rng    *rand.Rand
	groups []*queueing.Group
	policy policy

	firstTokenTimes            []time.Duration
	cachedBlocks, promptBlocks int
	imbalances                 []float64
	lastTailBlock              uint64
}

func run(t trace, lag time.Duration, p policy, seed uint64) result {
	start := time.Unix(0, 0)
	s := &simulation{trace: t, rng: rand.New(rand.NewPCG(seed, 2)), policy: p}
	s.Now = start
	for range t.Groups {
		s.groups = append(s.groups, queueing.NewGroup(&s.Loop, queueing.GroupConfig{
			Slots: t.Slots, PrefillRate: t.PrefillRate, TokenTime: tokenTime, CachedBlocks: t.CachedBlocks,
		}))
	}
	s.reportLoads(lag)
	s.sendRequest()
	s.RunUntil(start.Add(runLength))
	slices.Sort(s.firstTokenTimes)
	return result{
		p50: s.firstTokenTimes[len(s.firstTokenTimes)/2], p95: s.firstTokenTimes[len(s.firstTokenTimes)*95/100],
		cachedShare: float64(s.cachedBlocks) / float64(s.promptBlocks), imbalance: mean(s.imbalances),
	}
}

func (s *simulation) isWarmedUp() bool { return s.Now.Sub(time.Unix(0, 0)) >= warmUp }

// reportLoads samples the load of each group, passes it to the policy after lag, and schedules the
// next sample.
func (s *simulation) reportLoads(lag time.Duration) {
	reportedAt, loads := s.Now, make([]load, len(s.groups))
	total, most := 0, 0
	for i, g := range s.groups {
		running, waiting := g.InFlight()
		loads[i] = load{running: running, waiting: waiting}
		total += running + waiting
		most = max(most, running+waiting)
	}
	if s.isWarmedUp() && total > 0 {
		s.imbalances = append(s.imbalances, float64(most*len(s.groups))/float64(total))
	}
	s.After(lag, func() { s.policy.updateLoads(s.Now, reportedAt, loads) })
	s.After(reportInterval, func() { s.reportLoads(lag) })
}

// sendRequest sends one request and schedules the next. The times between requests are
// exponentially distributed.
func (s *simulation) sendRequest() {
	gap := s.rng.ExpFloat64() / s.trace.RequestsPerSecond
	s.After(time.Duration(gap*float64(time.Second)), s.sendRequest)
	blocks, tokens := s.drawPrompt()
	instance, arrivedAt := s.rng.IntN(s.trace.Instances), s.Now
	group, done := s.policy.chooseGroup(s.Now, instance, blocks)
	measured := s.isWarmedUp()
	s.groups[group].Submit(&queueing.Job{
		Blocks: blocks, AnswerTokens: tokens,
		OnFirstToken: func(cached int) {
			if measured {
				s.firstTokenTimes = append(s.firstTokenTimes, s.Now.Sub(arrivedAt))
				s.cachedBlocks += cached
				s.promptBlocks += len(blocks)
			}
		},
		OnDone: func() { done(s.Now) },
	})
}

// drawPrompt draws the blocks of a prompt and the length of its answer in tokens.
func (s *simulation) drawPrompt() ([]uint64, int) {
	remaining, kind := s.rng.Float64(), 0
	for kind < len(s.trace.Prompts)-1 && remaining >= s.trace.Prompts[kind].Share {
		remaining -= s.trace.Prompts[kind].Share
		kind++
	}
	p := s.trace.Prompts[kind]
	blocks := make([]uint64, 0, p.PrefixBlocks+p.TailBlocks)
	prefix := uint64(kind+1)<<56 | uint64(s.rng.IntN(p.Prefixes))<<32
	for i := range p.PrefixBlocks {
		blocks = append(blocks, prefix|uint64(i))
	}
	for range p.TailBlocks {
		s.lastTailBlock++
		blocks = append(blocks, 1<<63|s.lastTailBlock)
	}
	tokens := max(1, int(float64(p.AnswerTokens)*s.rng.ExpFloat64()))
	return blocks, tokens
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// formatColumns formats each measure as its mean over the runs with the lowest and the highest
// value.
func formatColumns(results []result) []string {
	measures := []struct {
		value  func(result) float64
		format string
	}{
		{func(r result) float64 { return r.p50.Seconds() * 1000 }, "%.0f ms (%.0f to %.0f)"},
		{func(r result) float64 { return r.p95.Seconds() * 1000 }, "%.0f ms (%.0f to %.0f)"},
		{func(r result) float64 { return r.cachedShare * 100 }, "%.1f%% (%.1f to %.1f)"},
		{func(r result) float64 { return r.imbalance }, "%.2f (%.2f to %.2f)"},
	}
	var out []string
	for _, m := range measures {
		var values []float64
		for _, r := range results {
			values = append(values, m.value(r))
		}
		out = append(out, fmt.Sprintf(m.format, mean(values), slices.Min(values), slices.Max(values)))
	}
	return out
}
