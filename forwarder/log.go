package forwarder

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// addRequest adds the fields that every log line about a request has.
func (x *exchange) addRequest(e *zerolog.Event) *zerolog.Event {
	if x.origin != nil {
		e = e.Str("from", string(x.origin.From))
	}
	return e.Str("request", x.fields.ID).Str("route", x.match.Route.Name).Str("pool", string(x.pool)).Uint64("version", uint64(x.match.Version)).
		Dur("age", time.Since(x.arrivedAt))
}

func (f *Forwarder) logRefused(r *http.Request, fields RequestFields, status int, reason string, err error) {
	f.cfg.Logger.Warn().Str("request", fields.ID).Str("host", truncate(r.Host)).Str("path", truncate(r.URL.Path)).Int("status", status).
		Uint64("version", uint64(f.cfg.Resolver.Version())).Str("reason", reason).AnErr("cause", err).Msg("refused")
}

// maxLoggedBytes bounds a text of a caller in a log line.
const maxLoggedBytes = 200

func truncate(text string) string { return text[:min(len(text), maxLoggedBytes)] }

func (f *Forwarder) logSend(x *exchange, a *attempt) {
	e := f.cfg.Logger.Info()
	if a.Attempt > 1 {
		e = f.cfg.Logger.Warn()
	}
	if a.Hedges != "" {
		e = e.Str("hedges", string(a.Hedges))
	}
	x.addRequest(e).Str("account", string(x.match.Account)).Stringer("fingerprint", x.identity).Int("attempt", a.Attempt)
	if a.Peer != "" {
		e.Str("peer", string(a.Peer)).Int("lastEvent", x.relay.position()).Dur("left", time.Until(x.deadline)).Msg("sent through a peer")
		return
	}
	e.Str("endpoint", string(a.Target.ID)).Str("group", string(a.Target.Group)).Uint64("epoch", uint64(a.Target.Epoch)).Float64("load", a.Load).
		Int("lastEvent", x.relay.position()).Dur("left", time.Until(x.deadline)).Msg("placed")
}

func (f *Forwarder) logWait(x *exchange, a scheduler.Wait) {
	x.addRequest(f.cfg.Logger.Warn()).Str("reason", string(a.Reason)).Dur("patience", time.Until(a.Until)).
		Int("targets", a.Targets).Int("stalled", a.Stalled).Msg("queued")
}

func (f *Forwarder) logAbandon(x *exchange, a scheduler.Abandon) {
	x.addRequest(f.cfg.Logger.Warn()).Int("attempt", a.Attempt).Str("reason", string(a.Reason)).Msg("attempt given up")
}

func (f *Forwarder) logBroken(x *exchange, err error) {
	x.addRequest(f.cfg.Logger.Warn()).AnErr("cause", err).Msg("no whole answer")
}

func (f *Forwarder) logEnded(x *exchange, a *attempt, end scheduler.Ending) {
	if _, ok := end.(scheduler.Completed); ok {
		return
	}
	e := x.addRequest(f.cfg.Logger.Warn()).Stringer("fingerprint", x.identity).Int("attempt", a.Attempt)
	if refused, ok := end.(scheduler.PeerRefused); ok {
		e = e.Str("reason", string(refused.Reason)).Dur("retryAfter", refused.RetryAfter)
	}
	if a.Peer != "" {
		e = e.Str("peer", string(a.Peer))
	} else {
		e = e.Str("endpoint", string(a.Target.ID)).Int64("processStart", int64(a.Target.ProcessStart))
	}
	e.Str("ending", scheduler.EndingName(end)).Int("status", a.held.status).Msg("attempt ended")
}

func (f *Forwarder) logMalformed(x *exchange, a *attempt, p identifier.Process, m MalformedError) {
	x.addRequest(f.cfg.Logger.Warn()).Int("attempt", a.Attempt).Str("endpoint", string(p.Endpoint)).Str("field", m.Field).Str("problem", m.Problem).
		Msg("field of an answer is malformed")
}

// logStatement logs a closure. That a process leaves is logged once, when the scheduler learns it.
func (f *Forwarder) logStatement(x *exchange, a *attempt, p identifier.Process, fields AnswerFields) {
	if fields.ClosedFor > 0 {
		x.addRequest(f.cfg.Logger.Warn()).Int("attempt", a.Attempt).Str("endpoint", string(p.Endpoint)).Int64("processStart", int64(p.Start)).
			Dur("closedFor", fields.ClosedFor).Msg("endpoint wants no requests for a time")
	}
}

// logLimit logs a limit that a process has named, or that it names none any more.
func (f *Forwarder) logLimit(a scheduler.LimitChanged) {
	line := f.cfg.Logger.Info().Str("endpoint", string(a.Process.Endpoint)).Int64("processStart", int64(a.Process.Start))
	if a.PerSecond > 0 {
		line.Float64("perSecond", a.PerSecond).Msg("endpoint names the requests per second that it takes")
		return
	}
	line.Msg("endpoint names no limit any more")
}

func (f *Forwarder) logStalled(a scheduler.Stalled) {
	f.cfg.Logger.Warn().Str("endpoint", string(a.Target.ID)).Str("group", string(a.Target.Group)).
		Uint64("epoch", uint64(a.Target.Epoch)).Dur("still", a.Silence).Msg("target stands still")
}

// logReach logs that this instance has lost its links to most endpoints, or has them again.
func (f *Forwarder) logReach(a scheduler.ReachChanged) {
	e := f.cfg.Logger.Warn().Int("unreachable", a.Unreachable).Int("answering", a.Answering)
	switch {
	case a.Confirmed:
		e.Msg("peers reach endpoints that this instance does not")
	case a.CutOff:
		e.Msg("instance is cut off from endpoints")
	default:
		e.Dur("lasted", a.Lasted).Msg("instance reaches its endpoints again")
	}
}

func (f *Forwarder) logFinished(x *exchange, o scheduler.Outcome) {
	outcome, reason := outcomeName(o)
	e := f.cfg.Logger.Info()
	if outcome != "delivered" {
		e = f.cfg.Logger.Warn()
	}
	e = x.addRequest(e).Str("outcome", outcome).Str("reason", string(reason)).Int("lastEvent", x.relay.lastEventID)
	if reason == scheduler.ReasonSuspected || reason == scheduler.ReasonQuarantined {
		fp, part := x.restrictedBy(o)
		e = e.Stringer("fingerprint", fp)
		if part != "" {
			e = e.Str("part", string(part))
		}
	}
	if !x.relay.firstEventAt.IsZero() {
		e = e.Dur("firstEvent", x.relay.firstEventAt.Sub(x.arrivedAt)).Dur("longestGap", x.relay.longestGap)
	}
	e.Msg("ended")
}

// outcomeName returns the names of an outcome and its reason in logs and metrics.
func outcomeName(o scheduler.Outcome) (string, scheduler.Reason) {
	switch o := o.(type) {
	case scheduler.Delivered:
		return "delivered", ""
	case scheduler.PassedThrough:
		return "passed", scheduler.ReasonEndpointFail
	case scheduler.NotRun:
		return "notRun", o.Reason
	case scheduler.Unknown:
		return "unknown", o.Reason
	case scheduler.CallerGone:
		return "callerGone", scheduler.ReasonCallerGone
	}
	return "", ""
}
