package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/standin/internal/queueing"
)

const (
	warmUp      = 60 * time.Second
	length      = 240 * time.Second // with the warm-up
	reportEvery = time.Second
	tokenTime   = 30 * time.Millisecond
)

// result is what one run measured after its warm-up.
type result struct {
	p50, p95  time.Duration // until the first token
	cached    float64       // share of prompt blocks found in cache
	imbalance float64       // load of the most loaded group in parts of the mean, averaged over time
}

// world is one run.
type world struct {
	queueing.Loop
	trace  trace
	rng    *rand.Rand
	groups []*queueing.Group
	policy policy

	firsts         []time.Duration
	cached, blocks int
	imbalances     []float64
	tails          uint64
}

func run(t trace, lag time.Duration, p policy, seed uint64) result {
	start := time.Unix(0, 0)
	w := &world{trace: t, rng: rand.New(rand.NewPCG(seed, 2)), policy: p}
	w.Now = start
	for range t.Groups {
		w.groups = append(w.groups, queueing.NewGroup(&w.Loop, queueing.GroupConfig{
			Slots: t.Slots, PrefillRate: t.PrefillRate, TokenTime: tokenTime, CachedBlocks: t.CachedBlocks,
		}))
	}
	w.report(lag)
	w.arrive()
	w.RunUntil(start.Add(length))
	slices.Sort(w.firsts)
	return result{
		p50: w.firsts[len(w.firsts)/2], p95: w.firsts[len(w.firsts)*95/100],
		cached: float64(w.cached) / float64(w.blocks), imbalance: mean(w.imbalances),
	}
}

func (w *world) warm() bool { return w.Now.Sub(time.Unix(0, 0)) >= warmUp }

// report tells the policy each group's load, a lag after it was seen.
func (w *world) report(lag time.Duration) {
	seen, loads := w.Now, make([]load, len(w.groups))
	total, most := 0, 0
	for i, g := range w.groups {
		running, waiting := g.InFlight()
		loads[i] = load{running: running, waiting: waiting}
		total += running + waiting
		most = max(most, running+waiting)
	}
	if w.warm() && total > 0 {
		w.imbalances = append(w.imbalances, float64(most*len(w.groups))/float64(total))
	}
	w.After(lag, func() { w.policy.report(w.Now, seen, loads) })
	w.After(reportEvery, func() { w.report(lag) })
}

// arrive sends one request and schedules the next.
func (w *world) arrive() {
	gap := w.rng.ExpFloat64() / w.trace.RequestsPerSecond
	w.After(time.Duration(gap*float64(time.Second)), w.arrive)
	blocks, tokens := w.draw()
	instance, came := w.rng.IntN(w.trace.Instances), w.Now
	to, done := w.policy.choose(w.Now, instance, blocks)
	counts := w.warm()
	w.groups[to].Submit(&queueing.Job{
		Blocks: blocks, AnswerTokens: tokens,
		OnFirstToken: func(cached int) {
			if counts {
				w.firsts = append(w.firsts, w.Now.Sub(came))
				w.cached += cached
				w.blocks += len(blocks)
			}
		},
		OnDone: func() { done(w.Now) },
	})
}

// draw returns the blocks of a prompt and the length of its answer.
func (w *world) draw() ([]uint64, int) {
	pick, kind := w.rng.Float64(), 0
	for kind < len(w.trace.Prompts)-1 && pick >= w.trace.Prompts[kind].Share {
		pick -= w.trace.Prompts[kind].Share
		kind++
	}
	p := w.trace.Prompts[kind]
	blocks := make([]uint64, 0, p.PrefixBlocks+p.TailBlocks)
	prefix := uint64(kind+1)<<56 | uint64(w.rng.IntN(p.Prefixes))<<32
	for i := range p.PrefixBlocks {
		blocks = append(blocks, prefix|uint64(i))
	}
	for range p.TailBlocks {
		w.tails++
		blocks = append(blocks, 1<<63|w.tails)
	}
	tokens := max(1, int(float64(p.AnswerTokens)*w.rng.ExpFloat64()))
	return blocks, tokens
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

// columns returns the mean of each measure over the runs with its least and greatest value.
func columns(results []result) []string {
	measures := []struct {
		of     func(result) float64
		format string
	}{
		{func(r result) float64 { return r.p50.Seconds() * 1000 }, "%.0f ms (%.0f to %.0f)"},
		{func(r result) float64 { return r.p95.Seconds() * 1000 }, "%.0f ms (%.0f to %.0f)"},
		{func(r result) float64 { return r.cached * 100 }, "%.1f%% (%.1f to %.1f)"},
		{func(r result) float64 { return r.imbalance }, "%.2f (%.2f to %.2f)"},
	}
	var out []string
	for _, m := range measures {
		var values []float64
		for _, r := range results {
			values = append(values, m.of(r))
		}
		out = append(out, fmt.Sprintf(m.format, mean(values), slices.Min(values), slices.Max(values)))
	}
	return out
}
