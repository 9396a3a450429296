package forwarder

import (
	"time"

	"amaranthmill/scheduler"
)

// stoppingRetryAfter is the time after which a caller should retry at another instance.
const stoppingRetryAfter = 100 * time.Millisecond

// Stop is when an instance that stops takes its last requests and gives its last answers. A zero time sets no bound.
type Stop struct {
	AcceptUntil time.Time // a request that has not arrived completely by then is refused as not run
	AnswerUntil time.Time // a request that has no answer by then is refused if it has not run, and is otherwise answered that it may have run
}

// StoppingError reports that a request arrived too late at an instance that stops.
type StoppingError struct{ AcceptUntil time.Time }

func (e *StoppingError) Error() string {
	return "forwarder: the instance stops and takes no more requests; send the request to another one"
}

// Drain makes each further answer ask its caller to close the connection, and ends the requests within the bounds of s.
func (f *Forwarder) Drain(s Stop) {
	f.mu.Lock()
	f.stop = s
	for body := range f.bodies {
		body.SetDeadline(s.AcceptUntil)
	}
	f.mu.Unlock()
	f.draining.Store(true)
	if s.AnswerUntil.IsZero() {
		return
	}
	f.step.Submit(scheduler.Stopping{At: s.AnswerUntil})
	time.AfterFunc(time.Until(s.AnswerUntil), f.expireAttempts)
}

// currentStop returns when the instance stops, or the zero value if it does not.
func (f *Forwarder) currentStop() Stop {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stop
}

// checkStop returns *StoppingError if the instance takes no more requests.
func (f *Forwarder) checkStop() error {
	if s := f.currentStop(); !s.AcceptUntil.IsZero() && time.Now().After(s.AcceptUntil) {
		return &StoppingError{AcceptUntil: s.AcceptUntil}
	}
	return nil
}

// expireAttempts ends the attempts that run, as at the deadlines of their requests.
func (f *Forwarder) expireAttempts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.exchanges {
		x.cancelAttempts()
	}
}

// cancelAttempts ends the attempts that run.
func (x *exchange) cancelAttempts() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, t := range x.attempts {
		t.cancel()
	}
}

// limitDeadline returns the deadline of a request, which is not after the time at which a stopping instance answers.
func (s Stop) limitDeadline(deadline time.Time) time.Time {
	if !s.AnswerUntil.IsZero() && s.AnswerUntil.Before(deadline) {
		return s.AnswerUntil
	}
	return deadline
}
