package router

import (
	"hash/fnv"
	"slices"
	"time"
)

// drawsPerCandidate bounds the random draws made to find one usable candidate.
const drawsPerCandidate = 4

// choose returns the target for the next attempt of f, or nil if none is usable.
// It returns a straggler only if no other target is usable.
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

// copyTarget returns the target that already runs a request with the same fingerprint, or
// nil if there is none or the target is full or not usable. Copies of a request that
// crashes its endpoint thus bring down one group instead of several.
func (r *Router) copyTarget(now time.Time, f *flight) *target {
	c, ok := r.running[f.Fingerprint]
	if !ok || f.Fingerprint == 0 {
		return nil
	}
	t := r.table.find(c.target)
	if t == nil || !r.isUsable(now, f, t) || t.ownInFlight >= t.Capacity {
		return nil
	}
	return t
}

func (r *Router) isUsable(now time.Time, f *flight, t *target) bool {
	return t.isReady(now, r.cfg.SuspensionTime) && t.canServe(f)
}

// leastLoaded returns the least loaded of Config.Candidates usable targets drawn at random,
// and its load. If the draws find none, it compares all targets. It returns nil if none is usable.
func (r *Router) leastLoaded(now time.Time, f *flight, pool *poolTargets) (*target, float64) {
	var best *target
	bestLoad, drawn := 0.0, 0
	n := len(pool.targets)
	for try := 0; try < drawsPerCandidate*r.cfg.Candidates && drawn < min(r.cfg.Candidates, n); try++ {
		t := pool.targets[r.rand.IntN(n)]
		if t == best || t.Slow || !r.isUsable(now, f, t) {
			continue
		}
		drawn++
		if load := t.load(now, pool.meanOthersLoad(), r.cfg.ReportHalfLife); best == nil || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	if best == nil {
		return r.scanLeastLoaded(now, f, pool)
	}
	return best, bestLoad
}

// scanLeastLoaded returns the least loaded of all usable targets and its load, or nil. It prefers any target to a straggler.
func (r *Router) scanLeastLoaded(now time.Time, f *flight, pool *poolTargets) (*target, float64) {
	var best *target
	bestLoad := 0.0
	for _, t := range pool.targets {
		if !r.isUsable(now, f, t) || (best != nil && t.Slow && !best.Slow) {
			continue
		}
		load := t.load(now, pool.meanOthersLoad(), r.cfg.ReportHalfLife)
		if best == nil || (best.Slow && !t.Slow) || load < bestLoad {
			best, bestLoad = t, load
		}
	}
	return best, bestLoad
}

// preferCached returns the target with the lowest load minus benefit, where the benefit is
// in proportion to the part of f's prompt that the target has cached. A target whose load
// with this request would exceed the bound is not considered. The default is best.
func (r *Router) preferCached(now time.Time, f *flight, pool *poolTargets, best *target, bestLoad float64) *target {
	bound := max(pool.meanLoad()*r.cfg.LoadBoundRatio, r.cfg.MinLoadBound)
	score := bestLoad
	r.cachedScratch = r.prefixes.find(r.cachedScratch[:0], f.Prefix)
	for _, c := range r.cachedScratch {
		t := findByNum(pool.targets, c.num)
		if t == nil || t.Slow != best.Slow || !r.isUsable(now, f, t) {
			continue
		}
		load := t.load(now, pool.meanOthersLoad(), r.cfg.ReportHalfLife)
		benefit := r.cfg.AffinityWeight * float64(c.blocks) / float64(len(f.Prefix))
		if load+1/float64(t.Capacity) <= bound && load-benefit < score {
			best, score = t, load-benefit
		}
	}
	return best
}

func findByNum(targets []*target, num uint32) *target {
	i := slices.IndexFunc(targets, func(t *target) bool { return t.num == num })
	if i < 0 {
		return nil
	}
	return targets[i]
}

// chooseForSuspect returns the target that all instances with the same set of targets
// choose for f's fingerprint: by rendezvous hashing, the one with the highest hash of
// fingerprint and target. It returns nil if there is none. The second result is false if
// the choice may differ at another instance, because a target went down or was removed
// within the settle time.
func (r *Router) chooseForSuspect(now time.Time, f *flight, s *suspect) (*target, bool) {
	var best *target
	var bestHash uint64
	since := now.Add(-r.cfg.SuspicionSettleTime)
	for _, t := range r.table.pool(f.Request.Pool).targets {
		usable := r.isUsable(now, f, t)
		if s.hasLost(t.lossName()) || (!usable && !t.wasReadySince(since)) {
			continue
		}
		if h := pairHash(f.Fingerprint, t.ID); best == nil || h > bestHash {
			best, bestHash = t, h
		}
	}
	settled := !r.table.removedAt.After(since) && (best == nil || r.isUsable(now, f, best))
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
