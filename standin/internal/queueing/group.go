package queueing

import (
	"container/list"
	"time"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 64

// GroupConfig configures a Group.
type GroupConfig struct {
	Slots        int           // maximum number of running requests
	PrefillRate  float64       // prompt tokens per second; prompts are computed one at a time
	TokenTime    time.Duration // time between two tokens of an answer
	CachedBlocks int           // maximum number of prompt blocks in the cache
}

// Group simulates one replica group. A request waits for a slot in the order of arrival, then
// for the computation of the part of its prompt that is not cached, and then for the tokens
// of its answer.
type Group struct {
	cfg           GroupConfig
	loop          *Loop
	queue         []*Job
	running       int
	prefillFreeAt time.Time // when the prefill of the latest started request ends
	cache         map[uint64]*list.Element
	recency       *list.List // cached blocks, the most recently used first
}

// Job is one request at a group.
type Job struct {
	Blocks       []uint64 // chained block hashes of the prompt
	AnswerTokens int
	OnFirstToken func(cachedBlocks int) // called at the first token with the number of cached leading blocks
	OnDone       func()
}

// NewGroup returns an empty group on loop.
func NewGroup(loop *Loop, cfg GroupConfig) *Group {
	return &Group{cfg: cfg, loop: loop, cache: map[uint64]*list.Element{}, recency: list.New()}
}

// InFlight returns the number of running and of waiting requests.
func (g *Group) InFlight() (running, waiting int) { return g.running, len(g.queue) }

// Submit adds a request, which starts at once if a slot is free.
func (g *Group) Submit(j *Job) {
	g.queue = append(g.queue, j)
	g.startWaiting()
}

// startWaiting starts waiting requests while slots are free.
func (g *Group) startWaiting() {
	for g.running < g.cfg.Slots && len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.start(j)
	}
}

// start schedules the first token and the end of a request that has taken a slot.
func (g *Group) start(j *Job) {
	cached := g.cachePrompt(j.Blocks)
	tokens := float64((len(j.Blocks) - cached) * BlockTokens)
	begin := g.loop.Now
	if g.prefillFreeAt.After(begin) {
		begin = g.prefillFreeAt
	}
	first := begin.Add(time.Duration(tokens / g.cfg.PrefillRate * float64(time.Second)))
	g.prefillFreeAt = first
	g.loop.After(first.Sub(g.loop.Now), func() { j.OnFirstToken(cached) })
	done := first.Add(time.Duration(j.AnswerTokens) * g.cfg.TokenTime)
	g.loop.After(done.Sub(g.loop.Now), func() {
		g.running--
		j.OnDone()
		g.startWaiting()
	})
}

// cachePrompt returns the number of leading blocks that were cached. It then caches all blocks
// and evicts the least recently used ones beyond the limit.
func (g *Group) cachePrompt(blocks []uint64) int {
	cached := 0
	for cached < len(blocks) && g.cache[blocks[cached]] != nil {
		cached++
	}
	for _, b := range blocks {
		if e := g.cache[b]; e != nil {
			g.recency.MoveToFront(e)
			continue
		}
		g.cache[b] = g.recency.PushFront(b)
	}
	for len(g.cache) > g.cfg.CachedBlocks {
		delete(g.cache, g.recency.Remove(g.recency.Back()).(uint64))
	}
	return cached
}
