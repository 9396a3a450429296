package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"amaranthmill/internal/explainer"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// shortest is the least time that a request without any time left is given, so that it ends by the usual path.
const shortest = time.Millisecond

// comeBack is when a caller should return to an instance that knows no configuration yet.
const comeBack = 500 * time.Millisecond

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x, problem := f.accept(w, r, arrived)
	if problem != nil {
		problem.Write(w)
		return
	}
	f.carry(w, x)
}

// accept resolves and reads a request. It returns the problem document of one that is refused.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, arrived time.Time) (*exchange, *explainer.Problem) {
	said, err := f.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, f.refuse(w, r, said, http.StatusBadRequest, "malformed", err)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	match, err := f.cfg.Resolver.Resolve(resolver.Query{Host: r.Host, Path: path, Key: said.Key})
	if err != nil {
		status, reason := statusOf(err)
		return nil, f.refuse(w, r, said, status, reason, err)
	}
	body, err := f.readBody(w, r)
	if err != nil {
		status, reason := statusOf(err)
		return nil, f.refuse(w, r, said, status, reason, err)
	}
	x := &exchange{
		ref: scheduler.Ref(f.lastRef.Add(1)), arrived: arrived, match: match, said: said, request: r, body: body,
		hasBody: r.ContentLength != 0 || len(body) > 0, inbox: make(chan scheduler.Action, 4),
	}
	x.deadline = arrived.Add(match.Route.Timeout)
	if said.Timeout > 0 && said.Timeout < match.Route.Timeout {
		x.deadline = arrived.Add(max(said.Timeout, shortest))
	}
	x.service = match.Route.PickService(f.draw())
	x.relay = newRelay(w, said.LastEventID)
	return x, nil
}

// readBody reads the whole body. Its error may be *http.MaxBytesError.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit := int64(defaultBodyLimit)
	if c := f.cfg.Resolver.Configuration(); c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// statusOf returns the status and reason of a request that is refused before it is placed.
func statusOf(err error) (int, string) {
	var noConfiguration *resolver.NoConfigurationError
	var noRoute *resolver.NoRouteError
	var unknownKey *resolver.UnknownKeyError
	var tooLarge *http.MaxBytesError
	switch {
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

func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, said RequestFields, status int, reason string, err error) *explainer.Problem {
	f.logRefused(r, said, status, reason, err)
	f.meters.refused(status, reason)
	f.echo(w, said)
	p := explainer.New(explainer.OutcomeNotRun, status, reason, err.Error(), identifier.Request(said.ID))
	if status == http.StatusServiceUnavailable {
		p.RetryAfter = comeBack.Seconds()
	}
	return &p
}

// echo names the request in the system's own answer.
func (f *Forwarder) echo(w http.ResponseWriter, said RequestFields) {
	if said.ID != "" {
		w.Header().Set(f.cfg.Dialect.IdentityHeader(), said.ID)
	}
}

// carry places the request and carries out what the scheduler decides until it ends.
func (f *Forwarder) carry(w http.ResponseWriter, x *exchange) {
	f.add(x)
	defer f.remove(x)
	f.meters.arrived(1)
	defer f.meters.arrived(-1)
	stop := context.AfterFunc(x.request.Context(), func() { f.step.Submit(scheduler.CallerLeft{Ref: x.ref}) })
	defer stop()
	f.step.Submit(scheduler.Arrived{Ref: x.ref, Request: f.placing(x)})
	for {
		switch a := (<-x.inbox).(type) {
		case scheduler.Send:
			f.logSend(x, a)
			if a.Attempt == 1 && x.waited.Load() {
				f.meters.waited(x)
			}
			ending, load := f.attempt(x, a)
			f.logEnded(x, a, ending)
			f.meters.attempted(x, ending)
			f.step.Submit(scheduler.Ended{Ref: x.ref, Attempt: a.Attempt, Ending: ending, Load: load})
		case scheduler.Finish:
			f.finish(w, x, a.Outcome)
			return
		}
	}
}

// placing returns what the scheduler needs to know of x.
func (f *Forwarder) placing(x *exchange) scheduler.Request {
	route := x.match.Route
	x.pool = PoolOf(x.service, "")
	if s := f.cfg.Resolver.Service(x.service); s != nil && s.Engine != nil && len(s.Engine.Models) > 0 {
		x.pool = PoolOf(x.service, x.said.Model)
	}
	return scheduler.Request{
		Service: x.service, Pool: x.pool, Repeatable: route.IsRepeatable(), Stream: route.Kind == resolver.KindStream,
		ArrivedAt: x.arrived, PromptTokens: x.said.PromptTokens, LatencyGoal: route.LatencyGoal, GapGoal: route.GapGoal, Deadline: x.deadline, MaxAttempts: route.MaxAttempts, Priority: x.match.Priority,
	}
}

// PoolOf names the pool of a service's replica groups that run a model, or of a plain service for no model.
func PoolOf(service identifier.Service, model string) identifier.Pool {
	if model == "" {
		return identifier.Pool(service)
	}
	return identifier.Pool(string(service) + "/" + model)
}

// SplitPool returns the service and model of a pool's name.
func SplitPool(pool identifier.Pool) (service identifier.Service, model string) {
	name, model, _ := strings.Cut(string(pool), "/")
	return identifier.Service(name), model
}

// finish sends the caller what the outcome asks for. A stream that began and is not whole is
// cut off, so that it does not look complete.
func (f *Forwarder) finish(w http.ResponseWriter, x *exchange, o scheduler.Outcome) {
	f.logFinished(x, o)
	f.meters.finished(x, o)
	switch o := o.(type) {
	case scheduler.Delivered, scheduler.PassedThrough:
		if err := x.relay.end(); err != nil {
			panic(http.ErrAbortHandler)
		}
		return
	case scheduler.CallerGone:
		panic(http.ErrAbortHandler)
	case scheduler.NotRun:
		if !x.relay.started {
			f.writeNotRun(w, x, o)
			return
		}
	case scheduler.Unknown:
		if !x.relay.started {
			f.writeUnknown(w, x, o)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

func (f *Forwarder) writeNotRun(w http.ResponseWriter, x *exchange, o scheduler.NotRun) {
	f.echo(w, x.said)
	p := explainer.New(explainer.OutcomeNotRun, http.StatusServiceUnavailable, string(o.Reason), "The request has not run and will not.", identifier.Request(x.said.ID))
	p.RetryAfter = o.RetryAfter.Seconds()
	p.Write(w)
}

func (f *Forwarder) writeUnknown(w http.ResponseWriter, x *exchange, o scheduler.Unknown) {
	f.echo(w, x.said)
	status := http.StatusBadGateway
	if o.Reason == scheduler.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	explainer.New(explainer.OutcomeUnknown, status, string(o.Reason), "The request may have run; no whole answer came.", identifier.Request(x.said.ID)).Write(w)
}
