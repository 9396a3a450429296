package main

import (
	"math/rand/v2"
	"time"

	"amaranthmill/standin/internal/queueing"
)

// gate decides which tries run. It calls start, and refuse for one that it turns away.
type gate interface {
	arrive(j *job)
	// leave is called when a try is done or its caller gave it up.
	leave(j *job, whole bool)
}

// job is one try of a request.
type job struct {
	request *request
	ref     int
	came    time.Time
	hold    time.Duration
	running bool
	over    bool
}

// request is one request of a caller over its tries.
type request struct {
	account  int
	came     time.Time
	tries    int
	onTime   bool // the first try was answered before its deadline
	answered bool // some try was
}

// world is one run.
type world struct {
	queueing.Loop
	trace    trace
	stop     outage
	tries    int
	rng      *rand.Rand
	gate     gate
	lastRef  int
	requests []*request
	starts   []time.Time // of tries
	refusals []time.Duration
	useful   time.Duration // time of slots that went into answers on time
	length   time.Duration
	rate     float64 // requests a second
}

func run(t trace, factor float64, stop outage, length time.Duration, v variant, seed uint64) *world {
	w := &world{trace: t, stop: stop, tries: v.tries, length: length, rng: rand.New(rand.NewPCG(seed, 4))}
	w.Now = time.Unix(0, 0)
	w.rate = factor * float64(t.Slots) / t.MeanHold.Std().Seconds()
	w.gate = v.make(w)
	w.arrive()
	w.RunUntil(w.Now.Add(length))
	return w
}

// arrive makes one request and schedules the next.
func (w *world) arrive() {
	w.After(time.Duration(w.rng.ExpFloat64()/w.rate*float64(time.Second)), w.arrive)
	pick, a := w.rng.Float64(), 0
	for a < len(w.trace.Accounts)-1 && pick >= w.trace.Accounts[a].Share {
		pick -= w.trace.Accounts[a].Share
		a++
	}
	q := &request{account: a, came: w.Now}
	w.requests = append(w.requests, q)
	w.try(q)
}

func (w *world) try(q *request) {
	q.tries++
	w.lastRef++
	j := &job{request: q, ref: w.lastRef, came: w.Now, hold: w.drawHold()}
	w.starts = append(w.starts, w.Now)
	w.After(w.trace.Deadline.Std(), func() { w.expire(j) })
	w.gate.arrive(j)
}

// drawHold returns a time with the mean of the trace and half of that as its deviation.
func (w *world) drawHold() time.Duration {
	sum := 0.0
	for range 4 {
		sum += w.rng.ExpFloat64() / 4
	}
	return time.Duration(sum * float64(w.trace.MeanHold))
}

// start runs a try.
func (w *world) start(j *job) {
	j.running = true
	w.After(w.took(j.hold), func() { w.done(j) })
}

// took returns how long a request that starts now takes, the stop included.
func (w *world) took(hold time.Duration) time.Duration {
	now, from, to := since(w.Now), w.stop.From.Std(), w.stop.To.Std()
	if now >= to || now+hold <= from {
		return hold
	}
	return hold + to - max(from, now)
}

func (w *world) done(j *job) {
	if j.over {
		return
	}
	j.over = true
	j.request.answered = true
	j.request.onTime = j.request.onTime || j.request.tries == 1
	w.useful += j.hold
	w.gate.leave(j, true)
}

// expire gives up a try at its deadline; its caller tries again at once.
func (w *world) expire(j *job) {
	if j.over {
		return
	}
	j.over = true
	w.gate.leave(j, false)
	w.again(j.request, 0)
}

// refuse turns a try away; its caller tries again after the time told, or a little later.
func (w *world) refuse(j *job, retryAfter time.Duration) {
	j.over = true
	if since(j.came) >= warmUp {
		w.refusals = append(w.refusals, w.Now.Sub(j.came))
	}
	w.again(j.request, time.Duration((1+w.rng.Float64()/2)*float64(retryAfter)))
}

func (w *world) again(q *request, wait time.Duration) {
	if q.tries < w.tries {
		w.After(wait, func() { w.try(q) })
	}
}
