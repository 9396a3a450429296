package scheduler_test

import (
	"time"

	"amaranthmill/internal/scripter"
)

// disturb starts endpoints and instances again, and cuts instances off.
func (w *coldWorld) disturb() {
	elapsed := w.now.Sub(scripter.Start)
	if elapsed < coldFirstTime {
		return
	}
	if elapsed == coldFirstTime && w.cfg.steady {
		w.chill(!w.cfg.restored, w.endpoints...)
	}
	if elapsed%time.Second == 0 { // the endpoints write their entries
		w.tell(func(in *coldInstance) { w.showTargets(in, w.endpoints...) })
	}
	if elapsed%(1500*time.Millisecond) == 0 && !w.cfg.steady {
		e := w.endpoints[w.random.IntN(len(w.endpoints))]
		switch {
		case w.cfg.restored && w.random.IntN(2) == 0:
			w.chill(false, w.endpoints...)
		case w.cfg.answers && w.random.IntN(2) == 0:
			e.byAnswer, e.byRestore, e.coldUntil = true, false, w.now.Add(w.cfg.coldTime)
		default:
			w.chill(true, e)
		}
	}
	if w.cfg.mass {
		w.disturbMany(elapsed)
		return
	}
	interval := 400 * time.Millisecond
	if len(w.instances) < 10 {
		interval = 5 * time.Second
	}
	if elapsed%interval == 0 {
		w.disturbInstance(w.instances[w.random.IntN(len(w.instances))])
	}
}

// chill makes endpoints cold, by a start or without one.
func (w *coldWorld) chill(starts bool, endpoints ...*coldEndpoint) {
	for _, e := range endpoints {
		e.coldUntil, e.byAnswer, e.limited = w.now.Add(w.cfg.coldTime), false, w.cfg.shared
		e.byRestore, e.restoredAt = !starts, w.now
		if starts {
			e.start++
			e.entryUntil = e.coldUntil
		}
	}
	w.tell(func(in *coldInstance) {
		if !starts {
			w.restore(in, endpoints)
		}
		w.showTargets(in, endpoints...)
	})
}

// restore lets an instance see that the evacuation of endpoints has ended.
func (w *coldWorld) restore(in *coldInstance, endpoints []*coldEndpoint) {
	for _, e := range endpoints {
		if e.byRestore {
			in.restored[e.id] = w.now.Add(w.cfg.coldTime)
		}
	}
}

// disturbInstance starts an instance again, lets it leave or return, or cuts it off.
func (w *coldWorld) disturbInstance(in *coldInstance) {
	switch kind := w.random.IntN(3); {
	case !in.isListed || in.isGone || w.now.Before(in.cutUntil):
	case w.cfg.cuts && kind == 0:
		w.cut(in, time.Duration(w.random.IntN(14000))*time.Millisecond)
	case w.cfg.restarts && kind == 1:
		w.start(in)
		w.showInstances(in, w.listed())
		w.showTargets(in, w.endpoints...)
	case w.cfg.restarts && kind == 2:
		w.leaveAndReturn([]*coldInstance{in}, time.Duration(w.random.IntN(20000))*time.Millisecond)
	}
}

// leaveAndReturn lets instances leave, and return together after a time.
func (w *coldWorld) leaveAndReturn(instances []*coldInstance, after time.Duration) {
	for _, in := range instances {
		in.isGone, in.isListed = true, false
	}
	w.tell(func(o *coldInstance) { w.showInstances(o, w.listed()) })
	w.at(w.now.Add(after), func() {
		for _, in := range instances {
			w.start(in)
			w.showInstances(in, w.listed())
			w.showTargets(in, w.endpoints...)
			in.isListed = true
		}
		for _, in := range instances {
			w.showInstances(in, w.listed()) // an instance knows its own key at once
		}
		w.tell(func(o *coldInstance) { w.showInstances(o, w.listed()) })
	})
}

// list lists an instance in the store. It knows so itself at once.
func (w *coldWorld) list(in *coldInstance) {
	in.isListed = true
	w.showInstances(in, w.listed())
	w.tell(func(o *coldInstance) { w.showInstances(o, w.listed()) })
}

// cut keeps all news from an instance for a time. The others list it no more after coldKeyTime.
func (w *coldWorld) cut(in *coldInstance, length time.Duration) {
	in.cutUntil = w.now.Add(length)
	life := in.life
	if length > coldKeyTime {
		w.at(w.now.Add(coldKeyTime), func() {
			if in.life == life {
				in.isListed = false
				w.tell(func(o *coldInstance) { w.showInstances(o, w.listed()) })
			}
		})
	}
	w.at(in.cutUntil, func() {
		if in.life != life {
			return
		}
		w.showInstances(in, w.listed())
		w.restore(in, w.endpoints)
		w.showTargets(in, w.endpoints...)
		if !in.isListed {
			w.list(in)
		}
	})
}

// disturbMany cuts half of the instances off, or lets them leave and return, and starts all instances again.
func (w *coldWorld) disturbMany(elapsed time.Duration) {
	half := w.instances[len(w.instances)/2:]
	switch {
	case w.cfg.cuts && elapsed%(20*time.Second) == 0:
		for _, in := range half {
			w.cut(in, 14*time.Second) // longer than their keys last, and shorter than the others count them
		}
	case !w.cfg.cuts && elapsed%(14*time.Second) == 0:
		w.leaveAndReturn(half, 11*time.Second)
	case !w.cfg.cuts && elapsed%(14*time.Second) == 5*time.Second:
		w.burst()
		for _, in := range w.instances { // with no memory of what they sent
			if !in.isGone {
				w.start(in)
				w.showInstances(in, w.listed())
				w.showTargets(in, w.endpoints...)
			}
		}
		w.at(w.now.Add(100*time.Millisecond), w.burst)
	}
}
