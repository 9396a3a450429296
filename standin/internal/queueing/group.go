package queueing

import (
	"container/list"
	"time"
)

// BlockTokens is the number of prompt tokens in one cache block.
const BlockTokens = 64

// GroupConfig configures a Group.
type GroupConfig struct {
	Slots        int           // requests that run at once
	PrefillRate  float64       // prompt tokens a second, one prompt at a time
	TokenTime    time.Duration // between two tokens of an answer
	CachedBlocks int           // prompt blocks that the cache holds
}

// Group is one replica group: requests wait in the order of arrival for a slot, then for
// their prompt to be computed as far as it is not cached, and then give their tokens.
type Group struct {
	cfg         GroupConfig
	loop        *Loop
	queue       []*Job
	running     int
	prefillFree time.Time
	cache       map[uint64]*list.Element
	used        *list.List // the block used last is in front
}

// Job is one request at a group.
type Job struct {
	Blocks       []uint64 // hash chain of the prompt
	AnswerTokens int
	OnFirstToken func(cachedBlocks int)
	OnDone       func()
}

// NewGroup returns an empty group on loop.
func NewGroup(loop *Loop, cfg GroupConfig) *Group {
	return &Group{cfg: cfg, loop: loop, cache: map[uint64]*list.Element{}, used: list.New()}
}

// InFlight returns the requests that run and that wait.
func (g *Group) InFlight() (running, waiting int) { return g.running, len(g.queue) }

// Submit takes a request.
func (g *Group) Submit(j *Job) {
	g.queue = append(g.queue, j)
	g.fill()
}

func (g *Group) fill() {
	for g.running < g.cfg.Slots && len(g.queue) > 0 {
		j := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.start(j)
	}
}

func (g *Group) start(j *Job) {
	cached := g.lookUp(j.Blocks)
	tokens := float64((len(j.Blocks) - cached) * BlockTokens)
	begin := g.loop.Now
	if g.prefillFree.After(begin) {
		begin = g.prefillFree
	}
	first := begin.Add(time.Duration(tokens / g.cfg.PrefillRate * float64(time.Second)))
	g.prefillFree = first
	g.loop.After(first.Sub(g.loop.Now), func() { j.OnFirstToken(cached) })
	done := first.Add(time.Duration(j.AnswerTokens) * g.cfg.TokenTime)
	g.loop.After(done.Sub(g.loop.Now), func() {
		g.running--
		j.OnDone()
		g.fill()
	})
}

// lookUp returns how many first blocks are cached, and caches all.
func (g *Group) lookUp(blocks []uint64) int {
	cached := 0
	for cached < len(blocks) && g.cache[blocks[cached]] != nil {
		cached++
	}
	for _, b := range blocks {
		if e := g.cache[b]; e != nil {
			g.used.MoveToFront(e)
			continue
		}
		g.cache[b] = g.used.PushFront(b)
	}
	for len(g.cache) > g.cfg.CachedBlocks {
		delete(g.cache, g.used.Remove(g.used.Back()).(uint64))
	}
	return cached
}
