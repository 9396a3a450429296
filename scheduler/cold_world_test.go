package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// The cold endpoints of deployment J, and the bound of its operators on the requests that they get in one second.
const (
	coldRate          = 15.0
	coldExcess        = 1.5
	coldSlack         = 5.0
	coldTestStep      = 10 * time.Millisecond
	coldNewsDelay     = 2900 * time.Millisecond // longest time until a change of the lists is known at an instance
	coldKeyTime       = 6 * time.Second         // from the cut of an instance until it is no longer listed
	coldGossipTime    = 4 * time.Second         // from the start of an instance until others have told it what is in no entry
	coldNewsTolerance = 100 * time.Millisecond  // by which news must lengthen a known time to count
	coldFirstTime     = 10 * time.Second        // from the start of the world to the first cold endpoint
)

// coldCase is a fleet whose endpoints are cold again and again.
type coldCase struct {
	instances, endpoints int
	coldTime             time.Duration
	restarts             bool    // instances start again, or leave and return
	cuts                 bool    // instances lose all news for a time, and go on sending
	restored             bool    // processes become cold without a start, as those of a domain that is no longer evacuated
	answers              bool    // the same, known only from answers and the news of other instances
	shared               bool    // endpoints name limits as well
	demand               float64 // requests per second for each endpoint
	steady               bool    // all endpoints stay cold, and have to be used
	mass                 bool    // half of the instances leave at once, and return at once; with cuts, they are cut off at once
}

func (c coldCase) String() string {
	return fmt.Sprintf("instances=%d,endpoints=%d,coldTime=%s,restarts=%t,cuts=%t,restored=%t,answers=%t,shared=%t,demand=%v,steady=%t,mass=%t", c.instances, c.endpoints, c.coldTime, c.restarts, c.cuts, c.restored, c.answers, c.shared, c.demand, c.steady, c.mass)
}

// coldWorld is a fleet of schedulers. Changes of lists reach each instance after a random time, in their order.
type coldWorld struct {
	t         *testing.T
	random    *rand.Rand
	cfg       coldCase
	now       time.Time
	instances []*coldInstance
	endpoints []*coldEndpoint
	work      []coldWork
	sent      map[identifier.Process][]time.Time // requests to cold processes from instances that know it
	total     int                                // of all requests to cold processes
}

// coldWork is done at a time.
type coldWork struct {
	at time.Time
	do func()
}

type coldInstance struct {
	name      identifier.Instance
	core      *scheduler.Scheduler
	wakeAt    time.Time
	lastRef   scheduler.Ref
	life      int // number of the process
	news      []scheduler.LimitNews
	informed  map[identifier.Process]coldKnowledge
	restored  map[identifier.Endpoint]time.Time // ends of cold times after evacuations that the process saw end
	board     []scheduler.LimitNews             // what others that ask are told
	boardAt   time.Time
	startedAt time.Time
	isListed  bool
	isGone    bool      // it has left and serves nothing
	cutUntil  time.Time // no news before
	nextNews  time.Time // time of the last news that is on its way
}

// coldKnowledge is what an instance has been told about the cold time of a process.
type coldKnowledge struct{ entryUntil, answerUntil, restoredUntil time.Time }

func (k coldKnowledge) isCold(now time.Time) bool {
	return now.Before(k.entryUntil) || now.Before(k.answerUntil) || now.Before(k.restoredUntil)
}

// tellAnswer records that an instance was told by an answer, or by another instance, that a process is cold for a time.
func (w *coldWorld) tellAnswer(in *coldInstance, p identifier.Process, coldFor time.Duration) {
	k := in.informed[p]
	if until := w.now.Add(coldFor); until.After(k.answerUntil) {
		k.answerUntil = until
	}
	in.informed[p] = k
}

// tellRestored records that an instance was told by another one that a process is cold for a time because an evacuation has ended. News
// that lengthens a known time by no more than 100 ms is ignored, since it may be the instance's own, longer by its way.
func (w *coldWorld) tellRestored(in *coldInstance, p identifier.Process, coldFor time.Duration) {
	k := in.informed[p]
	if until := w.now.Add(coldFor); until.Sub(k.restoredUntil) > coldNewsTolerance {
		k.restoredUntil = until
	}
	in.informed[p] = k
}

type coldEndpoint struct {
	id         identifier.Endpoint
	start      identifier.ProcessStart
	coldUntil  time.Time
	entryUntil time.Time // as its entry says, which does not know of evacuations
	restoredAt time.Time
	byAnswer   bool // its cold time is in its answers only
	byRestore  bool // it is cold since the end of an evacuation
	limited    bool
}

func (e *coldEndpoint) process() identifier.Process {
	return identifier.Process{Endpoint: e.id, Start: e.start}
}

func newColdWorld(t *testing.T, c coldCase, seed uint64) *coldWorld {
	w := &coldWorld{t: t, random: rand.New(rand.NewPCG(seed, 7)), cfg: c, now: scripter.Start, sent: map[identifier.Process][]time.Time{}}
	for i := range c.endpoints {
		w.endpoints = append(w.endpoints, &coldEndpoint{id: identifier.Endpoint(fmt.Sprintf("e%d", i)), start: 1})
	}
	for i := range c.instances {
		w.instances = append(w.instances, &coldInstance{name: identifier.Instance(fmt.Sprintf("entry-%d", i)), isListed: true})
	}
	for _, in := range w.instances {
		w.start(in)
		w.showInstances(in, w.listed())
		w.showTargets(in, w.endpoints...)
	}
	return w
}

// start starts a process of an instance, which knows nothing of an earlier one.
func (w *coldWorld) start(in *coldInstance) {
	in.core = scheduler.New(scheduler.Config{Instance: in.name, FailureDomain: "here", RetryRatio: 1, RetrySlack: 1000, FirstStart: in.life == 0, ColdExcess: coldExcess, ColdSlack: coldSlack})
	in.wakeAt, in.informed, in.news, in.isGone, in.cutUntil, in.nextNews = time.Time{}, map[identifier.Process]coldKnowledge{}, nil, false, time.Time{}, time.Time{}
	in.restored, in.board, in.startedAt = map[identifier.Endpoint]time.Time{}, nil, w.now
	in.life++
}

// listed returns the instances that the store lists.
func (w *coldWorld) listed() []scheduler.Instance {
	var out []scheduler.Instance
	for _, in := range w.instances {
		if in.isListed {
			out = append(out, scheduler.Instance{Name: in.name, FailureDomain: "here"})
		}
	}
	return out
}

func (w *coldWorld) showInstances(in *coldInstance, list []scheduler.Instance) {
	w.step(in, scheduler.InstancesSet{Instances: list})
}

// showTargets shows entries of endpoints to an instance. A cold time counts from when the entry was received.
func (w *coldWorld) showTargets(in *coldInstance, endpoints ...*coldEndpoint) {
	var e scheduler.TargetsChanged
	for _, p := range endpoints {
		t := scheduler.Target{ID: p.id, Pool: "guides", FailureDomain: "here", Slots: 34, ProcessStart: p.start, ColdLimit: coldRate, ColdUntil: w.entryEnd(p, w.now), RestoredUntil: in.restored[p.id]}
		if t.RestoredUntil.After(t.ColdUntil) {
			t.ColdUntil = t.RestoredUntil
		}
		e.Changed = append(e.Changed, t)
		k := in.informed[p.process()]
		k.entryUntil = t.ColdUntil
		if t.RestoredUntil.After(k.restoredUntil) {
			k.restoredUntil = t.RestoredUntil
		}
		in.informed[p.process()] = k
	}
	w.step(in, e)
}

// entryEnd returns the end of the cold time that an entry states which is received at a time.
func (w *coldWorld) entryEnd(p *coldEndpoint, received time.Time) time.Time {
	if p.byAnswer || !p.entryUntil.After(received) {
		return time.Time{}
	}
	return p.entryUntil.Add(time.Duration(w.random.IntN(200)) * time.Millisecond)
}

// tell lets news reach each instance after a random time, unless it is cut off.
func (w *coldWorld) tell(show func(*coldInstance)) {
	for _, in := range w.instances {
		w.tellOne(in, show)
	}
}

func (w *coldWorld) tellOne(in *coldInstance, show func(*coldInstance)) {
	life := in.life
	at := w.now.Add(time.Duration(w.random.Int64N(int64(coldNewsDelay))))
	if at.Before(in.nextNews) {
		at = in.nextNews
	}
	in.nextNews = at
	w.at(at, func() {
		if in.life == life && !in.isGone && !w.now.Before(in.cutUntil) {
			show(in)
		}
	})
}

func (w *coldWorld) at(at time.Time, do func()) { w.work = append(w.work, coldWork{at, do}) }

func (w *coldWorld) step(in *coldInstance, e scheduler.Event) {
	for _, a := range slices.Clone(in.core.Step(w.now, e)) {
		switch a := a.(type) {
		case scheduler.WakeAt:
			in.wakeAt = a.At
		case scheduler.Send:
			if a.Peer == "" {
				w.serve(in, a)
			}
		case scheduler.LimitQuery:
			w.queryNews(in)
		case scheduler.LimitReport:
			w.exchangeNews(in, a)
		}
	}
}

// queryNews asks three other instances what they know about limits.
func (w *coldWorld) queryNews(in *coldInstance) {
	for range 3 {
		other := w.instances[w.random.IntN(len(w.instances))]
		if other == in || other.isGone || w.now.Before(other.cutUntil) {
			continue
		}
		var news []scheduler.LimitNews
		for _, n := range other.board {
			if n.Source != scheduler.LimitNamed {
				n.ColdFor -= w.now.Sub(other.boardAt)
			}
			if n.ColdFor > 0 {
				news = append(news, n)
			}
		}
		life := in.life
		w.at(w.now.Add(coldTestStep), func() {
			if in.life == life {
				w.inform(in, news)
			}
		})
	}
}

// exchangeNews exchanges what an instance knows about limits with another one.
func (w *coldWorld) exchangeNews(in *coldInstance, r scheduler.LimitReport) {
	other := w.instances[w.random.IntN(len(w.instances))]
	in.news = slices.DeleteFunc(slices.Clone(r.News), func(n scheduler.LimitNews) bool { return n.Source == scheduler.LimitColdEntry })
	in.board, in.boardAt = in.news, w.now
	if other == in || other.isGone || w.now.Before(other.cutUntil) || w.now.Before(in.cutUntil) {
		return
	}
	news, life, otherLife := other.news, in.life, other.life
	other.news = nil
	w.at(w.now.Add(coldTestStep), func() {
		if other.life == otherLife {
			w.inform(other, in.news)
		}
		if in.life == life {
			w.inform(in, news)
		}
	})
}

func (w *coldWorld) inform(in *coldInstance, news []scheduler.LimitNews) {
	w.step(in, scheduler.LimitsReported{News: news})
	for _, n := range news {
		switch n.Source {
		case scheduler.LimitColdAnswer:
			if w.now.Add(n.ColdFor).Sub(in.informed[n.Process].answerUntil) > coldNewsTolerance {
				w.tellAnswer(in, n.Process, n.ColdFor)
			}
		case scheduler.LimitColdRestored:
			w.tellRestored(in, n.Process, n.ColdFor)
		}
	}
}

// serve lets an endpoint receive an attempt and answer it.
func (w *coldWorld) serve(in *coldInstance, a scheduler.Send) {
	i := slices.IndexFunc(w.endpoints, func(e *coldEndpoint) bool { return e.id == a.Target.ID })
	e, p, life := w.endpoints[i], a.Target.Process(), in.life
	if e.process() == p && w.now.Before(e.coldUntil) {
		w.total++
		if in.informed[p].isCold(w.now) || w.mustKnow(in, e) {
			w.sent[p] = append(w.sent[p], w.now)
		}
	}
	sentAt := w.now
	w.at(w.now.Add(50*time.Millisecond), func() {
		if in.life != life {
			return
		}
		stated := scheduler.ProcessStated{Process: p, SentAt: sentAt}
		if e.limited {
			stated.Limit = scheduler.LimitStatement{IsKnown: true, PerSecond: 8}
		}
		if e.byAnswer && e.process() == p && w.now.Before(e.coldUntil) {
			stated.ColdFor = e.coldUntil.Sub(w.now)
			w.tellAnswer(in, p, stated.ColdFor)
		}
		w.step(in, stated)
		w.step(in, scheduler.Progressed{Ref: a.Ref, Attempt: a.Attempt, Event: true})
	})
	w.at(w.now.Add(200*time.Millisecond), func() {
		if in.life == life {
			w.step(in, scheduler.Ended{Ref: a.Ref, Attempt: a.Attempt, Ending: scheduler.Completed{}})
		}
	})
}

// mustKnow reports whether an instance that started after an evacuation had ended must have learned of that from others, if
// no start of all instances at once has made all forget it.
func (w *coldWorld) mustKnow(in *coldInstance, e *coldEndpoint) bool {
	return e.byRestore && !w.cfg.mass && in.life > 1 && !w.now.Before(in.cutUntil) && in.startedAt.After(e.restoredAt.Add(coldNewsDelay)) && w.now.Sub(in.startedAt) >= coldGossipTime
}

// play lets the world go on for a time.
func (w *coldWorld) play(length time.Duration) {
	perStep := w.cfg.demand * float64(w.cfg.endpoints) * coldTestStep.Seconds()
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(coldTestStep) {
		for _, in := range w.instances {
			if !in.isGone && !in.wakeAt.IsZero() && !w.now.Before(in.wakeAt) {
				in.wakeAt = time.Time{}
				w.step(in, scheduler.Ticked{})
			}
		}
		due := w.work
		w.work = nil
		for _, task := range due {
			if task.at.After(w.now) {
				w.work = append(w.work, task)
				continue
			}
			task.do()
		}
		w.disturb()
		for n := perStep; n > 0 && (n >= 1 || w.random.Float64() < n); n-- {
			w.arrive(w.instances[w.random.IntN(len(w.instances))])
		}
		if w.random.IntN(100) == 0 {
			w.burst()
		}
	}
}

// burst lets requests arrive at all instances at the same moment.
func (w *coldWorld) burst() {
	for _, in := range w.instances {
		for range 2 * w.cfg.endpoints {
			w.arrive(in)
		}
	}
}

func (w *coldWorld) arrive(in *coldInstance) {
	if in.isGone {
		return
	}
	in.lastRef++
	w.step(in, scheduler.Arrived{Ref: in.lastRef, Request: scheduler.Request{
		Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: w.now, Deadline: w.now.Add(6 * time.Second), LatencyGoal: 250 * time.Millisecond, GapGoal: 200 * time.Millisecond, MaxAttempts: 2,
	}})
}
