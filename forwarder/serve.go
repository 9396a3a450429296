package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"amaranthmill/evictor"
	"amaranthmill/internal/bodyreader"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/quarantiner"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// minTimeout is the shortest timeout of a request. A request that arrives with no time left
// gets it, so that the request ends on the normal path.
const minTimeout = time.Millisecond

// noConfigurationRetryAfter is the time after which a caller should retry at an instance that
// has no configuration yet.
const noConfigurationRetryAfter = 500 * time.Millisecond

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	x, problem := f.accept(w, r, arrivedAt)
	f.closeIfDraining(w) // the stop may have begun while the body arrived
	if problem != nil {
		problem.Write(w)
		return
	}
	f.run(w, x)
}

// closeIfDraining makes an answer ask its caller to close the connection if the instance stops.
func (f *Forwarder) closeIfDraining(w http.ResponseWriter) {
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// accept resolves and reads a request. If the request is refused, it returns the problem document for the caller.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) (*exchange, *problemwriter.Problem) {
	fields, err := f.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, f.refuse(w, r, fields, http.StatusBadRequest, "malformed", err)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	match, err := f.cfg.Resolver.Resolve(resolver.Query{Host: r.Host, Path: path, Key: fields.Key})
	if err != nil {
		status, reason := refusalStatus(err)
		return nil, f.refuse(w, r, fields, status, reason, err)
	}
	deadline := arrivedAt.Add(match.Route.Timeout)
	if fields.Timeout > 0 && fields.Timeout < match.Route.Timeout {
		deadline = arrivedAt.Add(max(fields.Timeout, minTimeout))
	}
	body, memory, err := f.readBody(w, r, deadline)
	if err != nil {
		status, reason := refusalStatus(err)
		return nil, f.refuse(w, r, fields, status, reason, err)
	}
	x := &exchange{
		ref: scheduler.Ref(f.lastRef.Add(1)), arrivedAt: arrivedAt, match: match, fields: fields, request: r, body: body, memory: memory,
		hasBody: r.ContentLength != 0 || len(body) > 0, inbox: make(chan scheduler.Action, 4),
		deadline: f.currentStop().limitDeadline(deadline),
	}
	x.identity = fingerprintOf(x)
	x.service = match.Route.PickService(f.drawFraction())
	x.pool = f.poolOf(x.service, fields)
	x.parts = partsOf(x)
	x.relay = newRelay(w, fields.LastEventID)
	return x, nil
}

// refusalStatus returns the status and reason for refusing a request before it is scheduled.
func refusalStatus(err error) (int, string) {
	var noConfiguration *resolver.NoConfigurationError
	var noRoute *resolver.NoRouteError
	var unknownKey *resolver.UnknownKeyError
	var tooLarge *http.MaxBytesError
	var stopping *StoppingError
	var full *evictor.FullError
	var evicted *evictor.EvictedError
	var late *bodyreader.TimeoutError
	switch {
	case errors.As(err, &stopping):
		return http.StatusServiceUnavailable, string(scheduler.ReasonStopping)
	case errors.As(err, &late):
		return http.StatusRequestTimeout, "bodyTimeout"
	case errors.As(err, &full):
		return http.StatusServiceUnavailable, "memoryFull"
	case errors.As(err, &evicted):
		return http.StatusServiceUnavailable, "evicted"
	case errors.As(err, &noConfiguration):
		return http.StatusServiceUnavailable, "noConfiguration"
	case errors.As(err, &noRoute):
		return http.StatusNotFound, "noRoute"
	case errors.As(err, &unknownKey):
		return http.StatusUnauthorized, "unknownKey"
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, "bodyTooLarge"
	}
	return http.StatusBadRequest, "bodyUnreadable"
}

func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, fields RequestFields, status int, reason string, err error) *problemwriter.Problem {
	f.logRefused(r, fields, status, reason, err)
	f.meters.countRefusal(status, reason)
	f.setRequestID(w, fields)
	p := problemwriter.New(problemwriter.OutcomeNotRun, status, reason, err.Error(), identifier.Request(fields.ID))
	p.RetryAfter = retryAfter(err).Seconds()
	return &p
}

// retryAfter returns the time after which a caller whose request was refused with err should retry, or zero if a retry is of no use.
func retryAfter(err error) time.Duration {
	var stopping *StoppingError
	var noConfiguration *resolver.NoConfigurationError
	var full *evictor.FullError
	var evicted *evictor.EvictedError
	switch {
	case errors.As(err, &stopping):
		return stoppingRetryAfter
	case errors.As(err, &noConfiguration):
		return noConfigurationRetryAfter
	case errors.As(err, &full), errors.As(err, &evicted):
		return evictor.RetryAfter
	}
	return 0
}

// setRequestID sets the request's ID in an answer of this system.
func (f *Forwarder) setRequestID(w http.ResponseWriter, fields RequestFields) {
	if fields.ID != "" {
		w.Header().Set(f.cfg.Dialect.IdentityHeader(), fields.ID)
	}
}

// run submits the request to the scheduler and executes its actions until the request ends.
func (f *Forwarder) run(w http.ResponseWriter, x *exchange) {
	f.add(x)
	defer f.remove(x)
	defer f.releaseHeld(x)
	defer x.memory.Release()
	f.meters.addRunning(1)
	defer f.meters.addRunning(-1)
	stop := context.AfterFunc(x.request.Context(), func() { f.step.Submit(scheduler.CallerLeft{Ref: x.ref}) })
	defer stop()
	f.step.Submit(scheduler.Arrived{Ref: x.ref, Request: f.schedulerRequest(x)})
	for {
		switch a := (<-x.inbox).(type) {
		case scheduler.Send:
			f.runAttempt(x, x.attempt(a.Attempt))
		case scheduler.Finish:
			x.hedges.Wait() // a canceled attempt ends at once
			f.finish(w, x, a.Outcome)
			return
		}
	}
}

// schedulerRequest returns the properties of x that scheduling depends on.
func (f *Forwarder) schedulerRequest(x *exchange) scheduler.Request {
	route := x.match.Route
	q := scheduler.Request{
		Fingerprint: x.identity, Parts: partFingerprints(x.parts), Service: x.service, Pool: x.pool, Repeatable: route.IsRepeatable(), Stream: route.Kind == resolver.KindStream,
		ArrivedAt: x.arrivedAt, PromptTokens: x.fields.PromptTokens, LatencyGoal: route.LatencyGoal, GapGoal: route.GapGoal, Deadline: x.deadline, MaxAttempts: route.MaxAttempts, Priority: x.match.Priority,
		MinRunDelay: f.minRunDelay(x),
	}
	if x.origin != nil {
		q.ViaPeer, q.Avoid = true, x.origin.FailedAt
	}
	return q
}

// minRunDelay returns the time that a replica group needs at least to prefill the prompt of x's request, or zero if
// that is not known.
func (f *Forwarder) minRunDelay(x *exchange) time.Duration {
	s := f.cfg.Resolver.Service(x.service)
	if s == nil || s.Engine == nil || s.Engine.PrefillTokensPerSecond <= 0 {
		return 0
	}
	model, ok := s.Engine.Model(x.fields.Model)
	if !ok {
		return 0
	}
	return time.Duration(float64(x.fields.PromptTokens) / s.Engine.PrefillTokensPerSecond * model.TimeFactor * float64(time.Second))
}

// poolOf returns the pool of the targets that can serve a request of a service.
func (f *Forwarder) poolOf(service identifier.Service, fields RequestFields) identifier.Pool {
	if s := f.cfg.Resolver.Service(service); s != nil && s.Engine != nil && len(s.Engine.Models) > 0 {
		return PoolOf(service, fields.Model)
	}
	return PoolOf(service, "")
}

// PoolOf returns the name of the pool of a service's replica groups that run a model. If model
// is empty, it returns the name of a plain service's pool.
func PoolOf(service identifier.Service, model string) identifier.Pool {
	if model == "" {
		return identifier.Pool(service)
	}
	return identifier.Pool(string(service) + "/" + model)
}

// SplitPool returns the service and the model in a pool's name.
func SplitPool(pool identifier.Pool) (service identifier.Service, model string) {
	name, model, _ := strings.Cut(string(pool), "/")
	return identifier.Service(name), model
}

// finish sends the caller the answer for the outcome. It aborts the connection of a stream
// that began and is incomplete, so that the stream does not look complete.
func (f *Forwarder) finish(w http.ResponseWriter, x *exchange, o scheduler.Outcome) {
	f.logFinished(x, o)
	if _, reason := outcomeName(o); reason == scheduler.ReasonQuarantined {
		fp, _ := x.restrictedBy(o)
		f.cfg.OnAttempt(quarantiner.RequestRefused{Fingerprint: fp})
	}
	if x.origin != nil {
		f.meters.countHop(hopServed, endingOf(o))
	} else {
		f.meters.recordOutcome(x, o)
	}
	switch o := o.(type) {
	case scheduler.Delivered:
		x.writeHeld(o.Attempt)
		return
	case scheduler.PassedThrough:
		x.writeHeld(o.Attempt)
		return
	case scheduler.CallerGone:
		panic(http.ErrAbortHandler)
	case scheduler.NotRun:
		if !x.relay.hasStarted() {
			f.writeNotRun(w, x, o)
			return
		}
	case scheduler.Unknown:
		if !x.relay.hasStarted() {
			f.writeUnknown(w, x, o)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// writeHeld writes the held answer of an attempt to the caller.
func (x *exchange) writeHeld(attempt int) {
	if err := x.relay.writeHeld(x.attempt(attempt).held); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (f *Forwarder) writeNotRun(w http.ResponseWriter, x *exchange, o scheduler.NotRun) {
	if x.origin != nil {
		writeHopNotRun(w, f.cfg.Dialect.IdentityHeader(), x.fields.ID, o)
		return
	}
	f.setRequestID(w, x.fields)
	p := problemwriter.New(problemwriter.OutcomeNotRun, http.StatusServiceUnavailable, string(o.Reason), "The request has not run and will not.", identifier.Request(x.fields.ID))
	p.RetryAfter = o.RetryAfter.Seconds()
	p.Write(w)
}

func (f *Forwarder) writeUnknown(w http.ResponseWriter, x *exchange, o scheduler.Unknown) {
	f.setRequestID(w, x.fields)
	if x.origin != nil {
		w.Header().Set(hopField, hopAnswer{Outcome: hopUnknown, Reason: o.Reason}.encode())
	}
	status := http.StatusBadGateway
	if o.Reason == scheduler.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	problemwriter.New(problemwriter.OutcomeUnknown, status, string(o.Reason), "The request may have run; no whole answer came.", identifier.Request(x.fields.ID)).Write(w)
}
