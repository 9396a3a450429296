package limiter

import "time"

// maxPlannedStart bounds the estimate of a wait. No deadline is as far away.
const maxPlannedStart = 24 * time.Hour

// plannedClass is a class in the plan of one shed.
type plannedClass struct {
	next     int // index in queue
	served   float64
	lastTurn int
	share    float64 // of the slots, that higher priorities leave
}

// shed refuses the requests of p's queue that could not start in time, given the order
// in which the queue will be served and the mean time that a request takes.
func (l *Limiter) shed(now time.Time, p *pool) {
	if p.waiting == 0 {
		return
	}
	p.beginPlan()
	for i := range p.classes {
		p.classes[i].planned.share = p.shareBelow(now, p.classes[i].priority, l.cfg.LowPriorityInterval)
	}
	t := p.turn
	var late []*request
	for ahead := 0; ; {
		c, floor := p.next(t, l.cfg.LowPriorityInterval)
		if c == nil {
			break
		}
		q := c.queue[c.planned.next]
		c.planned.next++
		if ahead >= p.bound || !now.Add(p.plannedStart(now, c, ahead, floor)+p.need()).Before(q.Deadline) {
			late = append(late, q)
			continue
		}
		ahead++
		t.count(floor)
		c.planned.served++
		c.planned.lastTurn = t.admissions
	}
	for _, q := range late {
		p.remove(q)
		l.refuse(now, q)
	}
}

// plannedStart returns the time until the next request of c starts, with ahead others
// before it and those of higher priorities that arrive meanwhile. A turn is not
// put off by them.
func (p *pool) plannedStart(now time.Time, c *class, ahead int, floor bool) time.Duration {
	wait := p.startAfter(now, ahead)
	if floor {
		return wait
	}
	return time.Duration(min(float64(wait)/c.planned.share, float64(maxPlannedStart)))
}

// beginPlan starts a plan at the present state of the queue.
func (p *pool) beginPlan() {
	for _, c := range p.classes {
		c.planned = plannedClass{served: c.served, lastTurn: c.lastTurn}
	}
}

// next returns the class whose first request outside the plan goes next, or nil if none
// waits: of the highest priority the class that was served least, and once in floorEvery
// admissions the class of a lower priority that was served least lately. The second
// result reports the latter.
func (p *pool) next(t turn, floorEvery int) (*class, bool) {
	var best, floor *class
	for _, c := range p.classes {
		if c.isPlanned() {
			continue
		}
		if best == nil || c.priority > best.priority || (c.priority == best.priority && c.planned.served < best.planned.served) {
			best = c
		}
	}
	if best == nil || t.sinceFloor+1 < floorEvery {
		return best, false
	}
	for _, c := range p.classes {
		if !c.isPlanned() && c.priority < best.priority && (floor == nil || c.planned.lastTurn < floor.planned.lastTurn) {
			floor = c
		}
	}
	if floor != nil {
		return floor, true
	}
	return best, false
}

// isPlanned reports whether the plan has reached the end of c's queue.
func (c *class) isPlanned() bool { return c.planned.next >= len(c.queue) }
