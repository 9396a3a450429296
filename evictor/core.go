package evictor

import (
	"cmp"
	"slices"
	"time"
)

// Defaults of Config.
const (
	defaultLimit      = 64 << 20 // bytes
	defaultSmallBytes = 64 << 10 // bytes
	defaultLargeShare = 0.75
	defaultPatience   = time.Second
)

// Config configures a Core. The zero value is usable.
type Config struct {
	Limit      int64         // bytes for all requests together; zero means 64 MiB
	SmallBytes int64         // up to which a request may use the whole limit; zero means 64 KiB
	LargeShare float64       // fraction of the limit that is for larger requests; zero means 0.75
	Patience   time.Duration // for which a request may arrive before it can give way; zero means 1 s
}

// Core is the deterministic core of the package. It is not safe for concurrent use. The slice that Step returns is
// valid until the next Step.
type Core struct {
	cfg      Config
	used     int64
	requests map[Ref]*request
	victims  []*request // scratch of pickVictims
	actions  []Action
}

// request is the memory of one request.
type request struct {
	ref        Ref
	bytes      int64
	since      time.Time
	isComplete bool
}

// NewCore returns a Core for cfg.
func NewCore(cfg Config) *Core {
	cfg.Limit = cmp.Or(cfg.Limit, defaultLimit)
	cfg.SmallBytes = cmp.Or(cfg.SmallBytes, defaultSmallBytes)
	cfg.LargeShare = cmp.Or(cfg.LargeShare, defaultLargeShare)
	cfg.Patience = cmp.Or(cfg.Patience, defaultPatience)
	return &Core{cfg: cfg, requests: map[Ref]*request{}}
}

// Used returns the memory of all requests in bytes.
func (c *Core) Used() int64 { return c.used }

// Step applies e at now and returns the actions that it causes.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	switch e := e.(type) {
	case Requested:
		c.handleRequested(now, e)
	case Returned:
		if r := c.requests[e.Ref]; r != nil {
			c.free(r, min(e.Bytes, r.bytes))
		}
	case Completed:
		if r := c.requests[e.Ref]; r != nil {
			r.isComplete = true
		}
	case Released:
		if r := c.requests[e.Ref]; r != nil {
			c.remove(r)
		}
	case Displaced:
		c.handleDisplaced(now)
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) free(r *request, bytes int64) {
	r.bytes -= bytes
	c.used -= bytes
}

func (c *Core) remove(r *request) {
	c.free(r, r.bytes)
	delete(c.requests, r.ref)
}

func (c *Core) handleRequested(now time.Time, e Requested) {
	r := c.requests[e.Ref]
	if r == nil {
		r = &request{ref: e.Ref, since: now}
		c.requests[e.Ref] = r
	}
	missing := c.used + e.Bytes - c.ceiling(r.bytes+e.Bytes)
	victims, suffices := c.pickVictims(now, r, missing)
	if !suffices {
		c.emit(Refuse{Ref: e.Ref})
		return
	}
	for _, v := range victims {
		c.evict(v)
	}
	r.bytes += e.Bytes
	c.used += e.Bytes
	c.emit(Grant{Ref: e.Ref})
}

func (c *Core) evict(v *request) {
	c.emit(Evict{Ref: v.ref, Bytes: v.bytes})
	c.remove(v)
}

func (c *Core) handleDisplaced(now time.Time) {
	var oldest *request
	for _, v := range c.requests {
		if c.canGiveWay(now, v) && (oldest == nil || cmp.Or(v.since.Compare(oldest.since), cmp.Compare(v.ref, oldest.ref)) < 0) {
			oldest = v
		}
	}
	if oldest != nil {
		c.evict(oldest)
	}
}

// ceiling returns up to which sum of all requests a request of a size gets memory.
func (c *Core) ceiling(bytes int64) int64 {
	if bytes <= c.cfg.SmallBytes {
		return c.cfg.Limit
	}
	return int64(c.cfg.LargeShare * float64(c.cfg.Limit))
}

// pickVictims returns the requests that give way to r so that missing bytes become free, and whether they suffice.
func (c *Core) pickVictims(now time.Time, r *request, missing int64) ([]*request, bool) {
	if missing <= 0 {
		return nil, true
	}
	c.victims = c.victims[:0]
	available := int64(0)
	for _, v := range c.requests {
		if v != r && v.bytes > 0 && c.canGiveWay(now, v) {
			c.victims = append(c.victims, v)
			available += v.bytes
		}
	}
	if available < missing {
		return nil, false
	}
	slices.SortFunc(c.victims, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.cost(now), a.cost(now)), cmp.Compare(a.ref, b.ref))
	})
	count := 0
	for ; missing > 0; count++ {
		missing -= c.victims[count].bytes
	}
	return c.victims[:count], true
}

func (c *Core) canGiveWay(now time.Time, v *request) bool {
	return !v.isComplete && now.Sub(v.since) >= c.cfg.Patience
}

// cost returns the product of a request's memory and the time for which it has been arriving, in byte seconds.
func (r *request) cost(now time.Time) float64 {
	return float64(r.bytes) * now.Sub(r.since).Seconds()
}
