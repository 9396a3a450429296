package limiter

import "time"

// plannedClass is a class in the plan of one shed.
type plannedClass struct {
	next     int // index in queue
	served   float64
	lastTurn int
}

// shed refuses the requests of p's queue that could not start in time, given the order
// in which the queue will be served and the mean time that a request takes.
func (l *Limiter) shed(now time.Time, p *pool) {
	if p.waiting == 0 {
		return
	}
	p.beginPlan()
	t := p.turn
	var late []*request
	for ahead := 0; ; {
		c, floor := p.next(t, l.cfg.FloorEvery)
		if c == nil {
			break
		}
		q := c.queue[c.planned.next]
		c.planned.next++
		need := p.startAfter(ahead) + time.Duration(float64(p.hold)*l.cfg.Margin)
		if ahead >= p.bound || now.Add(need).After(q.Deadline) {
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
		l.refuse(q)
	}
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
