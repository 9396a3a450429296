package limiter

import "time"

// maxPlannedStart bounds the estimate of a wait. It is longer than the time to any deadline.
const maxPlannedStart = 24 * time.Hour

// plannedClass is the state of a class in a plan, which simulates the order in which the queue will be served.
type plannedClass struct {
	next          int // index in class.queue of the first request outside the plan
	startTag      float64
	lastAdmission int
	slotShare     float64 // share of the slots that higher priorities leave
}

// shed refuses the requests in p's queue that could not start in time, given the order
// in which the queue will be served and the mean holding time. It also refuses requests
// beyond the maximum queue length.
func (l *Limiter) shed(now time.Time, p *pool) {
	if p.waiting == 0 {
		return
	}
	p.resetPlan()
	for i := range p.classes {
		p.classes[i].planned.slotShare = p.slotShare(now, p.classes[i].priority, l.cfg.LowPriorityInterval)
	}
	counter := p.counter
	var refused []*request
	for ahead := 0; ; {
		c, isLowPriority := p.nextClass(counter, l.cfg.LowPriorityInterval)
		if c == nil {
			break
		}
		q := c.queue[c.planned.next]
		c.planned.next++
		if ahead >= p.maxWaiting || !now.Add(p.plannedStartDelay(now, c, ahead, isLowPriority)+p.requiredTime()).Before(q.Deadline) {
			refused = append(refused, q)
			continue
		}
		ahead++
		counter.add(isLowPriority)
		c.planned.startTag++
		c.planned.lastAdmission = counter.admissions
	}
	for _, q := range refused {
		p.remove(q)
		l.refuse(now, q)
	}
}

// plannedStartDelay returns the estimated time until the next request of c starts, with
// ahead others before it and with the higher-priority requests that arrive until then. The
// latter do not delay an admission reserved for a lower priority.
func (p *pool) plannedStartDelay(now time.Time, c *class, ahead int, isLowPriority bool) time.Duration {
	wait := p.startDelay(now, ahead)
	if isLowPriority {
		return wait
	}
	return time.Duration(min(float64(wait)/c.planned.slotShare, float64(maxPlannedStart)))
}

// resetPlan starts a new plan from the present state of the queue.
func (p *pool) resetPlan() {
	for _, c := range p.classes {
		c.planned = plannedClass{startTag: c.startTag, lastAdmission: c.lastAdmission}
	}
}

// nextClass returns the class whose first request outside the plan is admitted next, or nil
// if no request is outside the plan. It is the class with the lowest startTag among those
// of the highest priority. Once in lowPriorityInterval admissions it is the class of a
// lower priority that was admitted least recently; the second result is then true.
func (p *pool) nextClass(counter admissionCounter, lowPriorityInterval int) (*class, bool) {
	var best, lower *class
	for _, c := range p.classes {
		if c.isFullyPlanned() {
			continue
		}
		if best == nil || c.priority > best.priority || (c.priority == best.priority && c.planned.startTag < best.planned.startTag) {
			best = c
		}
	}
	if best == nil || counter.sinceLowPriority+1 < lowPriorityInterval {
		return best, false
	}
	for _, c := range p.classes {
		if !c.isFullyPlanned() && c.priority < best.priority && (lower == nil || c.planned.lastAdmission < lower.planned.lastAdmission) {
			lower = c
		}
	}
	if lower != nil {
		return lower, true
	}
	return best, false
}

// isFullyPlanned reports whether the plan contains all requests in c's queue.
func (c *class) isFullyPlanned() bool { return c.planned.next >= len(c.queue) }
