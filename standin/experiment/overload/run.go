package main

import (
	"math/rand/v2"
	"time"

	"amaranthmill/standin/internal/queueing"
)

// admitter decides which attempts run. It calls simulation.run for an attempt that it admits and
// simulation.refuse for one that it refuses.
type admitter interface {
	submit(att *attempt)
	// release is called when an attempt is complete, or when its deadline has expired.
	release(att *attempt, completed bool)
}

// attempt is one attempt of a request.
type attempt struct {
	request     *request
	ref         int
	arrivedAt   time.Time
	holdingTime time.Duration
	running     bool
	ended       bool
}

// request is one request of a caller, with all its attempts.
type request struct {
	account   int
	arrivedAt time.Time
	attempts  int
	onTime    bool // the first attempt was answered before its deadline
	answered  bool // an attempt was answered before its deadline
}

// simulation is the state of one run.
type simulation struct {
	queueing.Loop
	trace        trace
	outage       outage
	maxAttempts  int
	rng          *rand.Rand
	admitter     admitter
	lastRef      int
	requests     []*request
	attemptTimes []time.Time // start of each attempt
	refusals     []time.Duration
	usefulTime   time.Duration // slot time of attempts answered before their deadline, without the outage
	length       time.Duration
	requestRate  float64 // requests per second
}

func run(t trace, factor float64, outage outage, length time.Duration, v variant, seed uint64) *simulation {
	s := &simulation{trace: t, outage: outage, maxAttempts: v.maxAttempts, length: length, rng: rand.New(rand.NewPCG(seed, 4))}
	s.Now = time.Unix(0, 0)
	s.requestRate = factor * float64(t.Slots) / t.MeanHold.Std().Seconds()
	s.admitter = v.make(s)
	s.sendRequest()
	s.RunUntil(s.Now.Add(length))
	return s
}

// sendRequest sends one request and schedules the next. The times between requests are exponentially
// distributed.
func (s *simulation) sendRequest() {
	s.After(time.Duration(s.rng.ExpFloat64()/s.requestRate*float64(time.Second)), s.sendRequest)
	remaining, a := s.rng.Float64(), 0
	for a < len(s.trace.Accounts)-1 && remaining >= s.trace.Accounts[a].Share {
		remaining -= s.trace.Accounts[a].Share
		a++
	}
	q := &request{account: a, arrivedAt: s.Now}
	s.requests = append(s.requests, q)
	s.startAttempt(q)
}

// startAttempt submits an attempt of q, which expires after the deadline of the trace.
func (s *simulation) startAttempt(q *request) {
	q.attempts++
	s.lastRef++
	att := &attempt{request: q, ref: s.lastRef, arrivedAt: s.Now, holdingTime: s.drawHoldingTime()}
	s.attemptTimes = append(s.attemptTimes, s.Now)
	s.After(s.trace.Deadline.Std(), func() { s.expire(att) })
	s.admitter.submit(att)
}

// drawHoldingTime draws a holding time. Its mean is that of the trace, and its standard
// deviation is half the mean.
func (s *simulation) drawHoldingTime() time.Duration {
	sum := 0.0
	for range 4 {
		sum += s.rng.ExpFloat64() / 4
	}
	return time.Duration(sum * float64(s.trace.MeanHold))
}

// run runs an admitted attempt.
func (s *simulation) run(att *attempt) {
	att.running = true
	s.After(s.runningTime(att.holdingTime), func() { s.complete(att) })
}

// runningTime returns how long an attempt that starts now holds its slot: its holding time and the
// part of the outage that falls into it.
func (s *simulation) runningTime(holdingTime time.Duration) time.Duration {
	now, from, to := elapsed(s.Now), s.outage.From.Std(), s.outage.To.Std()
	if now >= to || now+holdingTime <= from {
		return holdingTime
	}
	return holdingTime + to - max(from, now)
}

func (s *simulation) complete(att *attempt) {
	if att.ended {
		return
	}
	att.ended = true
	att.request.answered = true
	att.request.onTime = att.request.onTime || att.request.attempts == 1
	s.usefulTime += att.holdingTime
	s.admitter.release(att, true)
}

// expire abandons an attempt at its deadline. The caller retries at once.
func (s *simulation) expire(att *attempt) {
	if att.ended {
		return
	}
	att.ended = true
	s.admitter.release(att, false)
	s.retry(att.request, 0)
}

// refuse refuses an attempt. The caller retries after 1 to 1.5 times retryAfter.
func (s *simulation) refuse(att *attempt, retryAfter time.Duration) {
	att.ended = true
	if elapsed(att.arrivedAt) >= warmUp {
		s.refusals = append(s.refusals, s.Now.Sub(att.arrivedAt))
	}
	s.retry(att.request, time.Duration((1+s.rng.Float64()/2)*float64(retryAfter)))
}

// retry starts another attempt of q after wait if the caller has attempts left.
func (s *simulation) retry(q *request, wait time.Duration) {
	if q.attempts < s.maxAttempts {
		s.After(wait, func() { s.startAttempt(q) })
	}
}
