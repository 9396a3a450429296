package router

import (
	"hash/fnv"
	"slices"
	"time"
)

// drawTries bounds the random draws for one target to compare.
const drawTries = 4

// choose returns the target for the next attempt of f, or nil if none is usable.
// Stragglers are used only if no other target is left.
func (r *Router) choose(now time.Time, f *flight) *target {
	pool := r.table.pools[f.Request.Pool]
	if pool == nil {
		return nil
	}
	if t := r.copyTarget(now, f); t != nil {
		return t
	}
	best, bestLoad := r.leastLoaded(now, f, pool)
	if best == nil {
		return nil
	}
	return r.preferCached(now, f, pool, best, bestLoad)
}

// copyTarget returns the target that runs a request with the same fingerprint, so that
// copies of a request that crashes its endpoint lose one group and not several.
func (r *Router) copyTarget(now time.Time, f *flight) *target {
	c, ok := r.running[f.Fingerprint]
	if !ok || f.Fingerprint == 0 {
		return nil
	}
	t := r.table.find(c.target)
	if t == nil || !r.usable(now, f, t) || t.own >= t.Capacity {
		return nil
	}
	return t
}

func (r *Router) usable(now time.Time, f *flight, t *target) bool {
	return t.isReady(now, r.cfg.SuspensionTime) && t.serves(f)
}

// leastLoaded returns the least loaded of Config.Candidates usable targets drawn at random, or nil.
func (r *Router) leastLoaded(now time.Time, f *flight, pool *poolTargets) (*target, float64) {
	var best *target
	bestLoad, drawn := 0.0, 0
	n := len(pool.targets)
	for try := 0; try < drawTries*r.cfg.Candidates && drawn < min(r.cfg.Candidates, n); try++ {
		t := pool.targets[r.rand.IntN(n)]
		if t == best || t.Slow || !r.usable(now, f, t) {
			continue
		}
		drawn++
		if load := t.load(now, pool.meanOthers(), r.cfg.ReportHalfLife); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if best == nil {
		return r.leastOfAll(now, f, pool)
	}
	return best, bestLoad
}

// leastOfAll returns the least loaded of all usable targets, the stragglers last, or nil.
func (r *Router) leastOfAll(now time.Time, f *flight, pool *poolTargets) (*target, float64) {
	var best *target
	bestLoad := 0.0
	for _, t := range pool.targets {
		if !r.usable(now, f, t) || (best != nil && t.Slow && !best.Slow) {
			continue
		}
		load := t.load(now, pool.meanOthers(), r.cfg.ReportHalfLife)
		if best == nil || (best.Slow && !t.Slow) || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best, bestLoad
}

// preferCached returns the target that holds the most of f's prompt if that outweighs its
// load and the load is below the bound, and otherwise best.
func (r *Router) preferCached(now time.Time, f *flight, pool *poolTargets, best *target, bestLoad float64) *target {
	bound := max(pool.meanLoad()*r.cfg.LoadBoundRatio, r.cfg.MinLoadBound)
	score := bestLoad
	r.cached = r.prefixes.find(r.cached[:0], f.Prefix)
	for _, c := range r.cached {
		t := findNum(pool.targets, c.num)
		if t == nil || t.Slow != best.Slow || !r.usable(now, f, t) {
			continue
		}
		load := t.load(now, pool.meanOthers(), r.cfg.ReportHalfLife)
		gain := r.cfg.AffinityWeight * float64(c.blocks) / float64(len(f.Prefix))
		if load+1/float64(t.Capacity) <= bound && load-gain < score {
			best, score = t, load-gain
		}
	}
	return best
}

func findNum(targets []*target, num uint32) *target {
	i := slices.IndexFunc(targets, func(t *target) bool { return t.num == num })
	if i < 0 {
		return nil
	}
	return targets[i]
}

// chooseForSuspect returns the target that all instances with the same view choose for
// this fingerprint: the usable one with the highest hash of both. It returns nil if
// there is none, and false if another instance may still choose a target that went down
// within the settling time.
func (r *Router) chooseForSuspect(now time.Time, f *flight, s *suspect) (*target, bool) {
	var best *target
	var bestHash uint64
	since := now.Add(-r.cfg.SuspicionSettleTime)
	for _, t := range r.table.pool(f.Request.Pool).targets {
		usable := r.usable(now, f, t)
		if s.hasLost(t.lossName()) || (!usable && !t.wasReadySince(since)) {
			continue
		}
		if h := pairHash(f.Fingerprint, t.ID); best == nil || h > bestHash {
			best, bestHash = t, h
		}
	}
	settled := !r.table.removedAt.After(since) && (best == nil || r.usable(now, f, best))
	return best, settled
}

func pairHash(fingerprint uint64, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64() ^ fingerprint
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
