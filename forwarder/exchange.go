package forwarder

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"amaranthmill/evictor"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// exchange is a caller's request and its answer, from the request's arrival to its outcome.
type exchange struct {
	ref       scheduler.Ref
	arrivedAt time.Time
	match     resolver.Match
	fields    RequestFields
	identity  identifier.Fingerprint // the same for all tries of the request
	parts     []quarantiner.Part
	request   *http.Request
	body      []byte
	memory    *evictor.Account // of the body; nil without one
	hasBody   bool
	service   identifier.Service
	pool      identifier.Pool
	deadline  time.Time
	inbox     chan scheduler.Action
	hedges    sync.WaitGroup // attempts that hedge others
	hasWaited atomic.Bool    // the request waited for a target; read at its first attempt
	relay     *relay
	heldBytes atomic.Int64 // reserved in the forwarder's heldBudget
	origin    *hopRequest  // what the instance says that accepted the request; nil if this one did

	mu       sync.Mutex // guards the fields below
	attempts []*attempt // by number, from 1
	failedAt []identifier.Endpoint
}

// attempt is one attempt of an exchange's request. Only the goroutine that runs the attempt uses
// held and isUndelimited until it has reported the end.
type attempt struct {
	scheduler.Send
	ctx       context.Context
	cancel    context.CancelFunc
	startedAt time.Time
	held      heldAnswer // a complete answer that is not a stream

	isUndelimited bool // the answer ends with its connection

	isAbandoned atomic.Bool
}

// heldAnswer is a complete answer that has not been sent to the caller.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// begin adds the attempt that a starts.
func (x *exchange) begin(a scheduler.Send) *attempt {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.request.Context()), x.deadline)
	t := &attempt{Send: a, ctx: ctx, cancel: cancel, startedAt: time.Now()}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.attempts = append(x.attempts, t)
	return t
}

// attempt returns the attempt with a number.
func (x *exchange) attempt(number int) *attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.attempts[number-1]
}

// abandon cancels a running attempt. The attempt of a non-idempotent request continues after
// its caller has left, because canceling it could leave the request partly executed.
func (x *exchange) abandon(a scheduler.Abandon) {
	if a.Reason == scheduler.ReasonCallerGone && x.match.Route.Kind == resolver.KindNonIdempotent {
		return
	}
	t := x.attempt(a.Attempt)
	t.isAbandoned.Store(true)
	t.cancel()
}

// recordEnding records whether an endpoint has answered with its own error, so that peers don't send the
// request there again. After a connection that broke, the link may be at fault.
func (x *exchange) recordEnding(at identifier.Endpoint, e scheduler.Ending) {
	if _, ok := e.(scheduler.Failed); ok {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.failedAt = append(x.failedAt, at)
	}
}

// failedEndpoints returns the endpoints that have answered with their own error.
func (x *exchange) failedEndpoints() []identifier.Endpoint {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.failedAt)
}
