package forwarder

import (
	"net/http"
	"time"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/problemwriter"
	"amaranthmill/scheduler"
)

// PeerHandler returns a handler that serves the requests that peers accepted and can't send to endpoints
// themselves, and passes all other requests on to next. It belongs on an address that only peers reach.
func (f *Forwarder) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hopField) == "" {
			next.ServeHTTP(w, r)
			return
		}
		f.servePeer(w, r)
	})
}

// servePeer serves one request of a peer. It never goes to a further peer.
func (f *Forwarder) servePeer(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	hop, err := parseHopRequest(r.Header)
	if err != nil {
		f.refuseHop(w, r, err)
		return
	}
	if f.draining.Load() {
		w.Header().Set("Connection", "close")
		f.meters.countHop(hopServed, scheduler.PeerRefused{})
		writeHopNotRun(w, f.cfg.Dialect.IdentityHeader(), r.Header.Get(f.cfg.Dialect.IdentityHeader()), scheduler.NotRun{Reason: scheduler.ReasonStopping})
		return
	}
	x, err := f.acceptHop(w, r, hop, arrivedAt)
	if err != nil {
		f.refuseHop(w, r, err)
		return
	}
	f.run(w, x)
}

// acceptHop reads a request of a peer. How long the body may take is up to the server.
func (f *Forwarder) acceptHop(w http.ResponseWriter, r *http.Request, hop *hopRequest, arrivedAt time.Time) (*exchange, error) {
	fields, err := f.cfg.Dialect.ParseRequest(r.Header)
	if err != nil {
		return nil, err
	}
	fields.LastEventID = hop.LastEvent
	body, memory, err := f.readBody(w, r, time.Time{})
	if err != nil {
		return nil, err
	}
	x := &exchange{
		ref: scheduler.Ref(f.lastRef.Add(1)), arrivedAt: arrivedAt.Add(-hop.Age.Std()), match: hop.match(), fields: fields, request: r, body: body, memory: memory,
		hasBody: r.ContentLength != 0 || len(body) > 0, inbox: make(chan scheduler.Action, 4),
		service: hop.Service, pool: hop.Pool, deadline: f.currentStop().limitDeadline(arrivedAt.Add(hop.Left.Std())), origin: hop,
	}
	x.identity = fingerprintOf(x)
	x.parts = partsOf(x)
	x.relay = newRelay(w, hop.LastEvent)
	return x, nil
}

// refuseHop answers a request that is none of a peer, or none that can be read. Nothing runs it.
func (f *Forwarder) refuseHop(w http.ResponseWriter, r *http.Request, err error) {
	status, reason := refusalStatus(err)
	f.logRefused(r, RequestFields{ID: r.Header.Get(f.cfg.Dialect.IdentityHeader())}, status, reason, err)
	f.meters.countRefusal(status, reason)
	w.Header().Set(hopField, hopAnswer{Outcome: hopNotRun, Reason: scheduler.Reason(reason), RetryAfter: formatter.Duration(retryAfter(err))}.encode())
	problemwriter.New(problemwriter.OutcomeNotRun, status, reason, err.Error(), identifier.Request(r.Header.Get(f.cfg.Dialect.IdentityHeader()))).Write(w)
}

// writeHopNotRun tells a peer that its request has not run. The peer answers its caller.
func writeHopNotRun(w http.ResponseWriter, identityHeader, id string, o scheduler.NotRun) {
	if id != "" {
		w.Header().Set(identityHeader, id)
	}
	w.Header().Set(hopField, hopAnswer{Outcome: hopNotRun, Reason: o.Reason, RetryAfter: formatter.Duration(o.RetryAfter)}.encode())
	w.WriteHeader(http.StatusServiceUnavailable)
}
