package dispatcher

import (
	"net/http"

	"amaranthmill/internal/identifier"
	"amaranthmill/limiter"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Outcomes that the dispatcher itself decides.
var (
	deadlineExceeded = router.NotRun{
		Status: http.StatusGatewayTimeout, Reason: "deadlineExceeded", Detail: "The deadline passed before the request could start.",
	}
	claimExpired = router.NotRun{
		Status: http.StatusServiceUnavailable, Reason: "claimLapsed", Detail: "The call was not made because its claim lapsed before.",
	}
)

// handleAction passes an action of the router to the goroutine of its request.
func (d *Dispatcher) handleAction(a router.Action) {
	switch a := a.(type) {
	case router.Dispatch:
		d.findCall(uint64(a.Ref)).actions <- a
	case router.Forward:
		d.findCall(uint64(a.Ref)).actions <- a
	case router.Wait:
		d.findCall(uint64(a.Ref)).actions <- a
	case router.Finish:
		d.findCall(uint64(a.Ref)).actions <- a
	case router.Suspect:
		d.announceSuspicion(a.Suspicion)
	case router.SetSlots:
		d.limiter.Submit(limiter.SlotsSet{Pool: a.Pool, Slots: a.Slots})
	}
}

// announceSuspicion announces a suspicion to the peers.
func (d *Dispatcher) announceSuspicion(s router.Suspicion) {
	lost := make([]identifier.Group, len(s.LostTargets))
	for i, name := range s.LostTargets {
		lost[i] = identifier.Group(name)
	}
	d.cfg.Logger.Warn().Uint64("fingerprint", s.Fingerprint).Strs("lost", s.LostTargets).Msg("suspicion announced to peers")
	if d.cfg.OnSuspicion != nil {
		d.cfg.OnSuspicion(linker.Suspicion{Fingerprint: s.Fingerprint, Crashes: len(lost), GroupsLost: lost, TTL: s.TTL})
	}
}

// handleAdmission passes an action of the limiter to the goroutine of its request.
func (d *Dispatcher) handleAdmission(a limiter.Action) {
	switch a := a.(type) {
	case limiter.Admit:
		d.findCall(uint64(a.Ref)).admission <- a
	case limiter.Refuse:
		d.findCall(uint64(a.Ref)).admission <- a
	case limiter.WakeAt:
		d.wakeTimer.Reset(a.At.Sub(d.cfg.Now()))
	}
}

// refusalOutcome returns the outcome of a refused request, or nil for an admitted one.
func refusalOutcome(a limiter.Action) router.Outcome {
	refuse, ok := a.(limiter.Refuse)
	if !ok {
		return nil
	}
	o := router.NotRun{Reason: string(refuse.Reason), RetryAfter: refuse.RetryAfter}
	switch refuse.Reason {
	case limiter.ReasonAccountLimit:
		o.Status, o.Detail = http.StatusTooManyRequests, "The client account is over its limit."
	case limiter.ReasonOverloaded:
		o.Status, o.Detail = http.StatusServiceUnavailable, "The answer would come after the deadline."
	}
	return o
}
