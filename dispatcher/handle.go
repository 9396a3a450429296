package dispatcher

import (
	"net/http"

	"amaranthmill/internal/identifier"
	"amaranthmill/limiter"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Outcomes that the shell itself knows of.
var (
	tooLate = router.NotRun{
		Status: http.StatusGatewayTimeout, Reason: "deadlineExceeded", Detail: "The deadline passed before the request could start.",
	}
	claimLapsed = router.NotRun{
		Status: http.StatusServiceUnavailable, Reason: "claimLapsed", Detail: "The call was not made because its claim lapsed before.",
	}
)

// handle hands an action of the router to the goroutine of its request.
func (d *Dispatcher) handle(a router.Action) {
	switch a := a.(type) {
	case router.Dispatch:
		d.find(uint64(a.Ref)).actions <- a
	case router.Forward:
		d.find(uint64(a.Ref)).actions <- a
	case router.Wait:
		d.find(uint64(a.Ref)).actions <- a
	case router.Finish:
		d.find(uint64(a.Ref)).actions <- a
	case router.Suspect:
		d.tell(a.Suspicion)
	case router.SetSlots:
		d.admit.Submit(limiter.SlotsSet{Pool: a.Pool, Slots: a.Slots})
	}
}

// tell hands a suspicion to the peers.
func (d *Dispatcher) tell(s router.Suspicion) {
	lost := make([]identifier.Group, len(s.LostTargets))
	for i, name := range s.LostTargets {
		lost[i] = identifier.Group(name)
	}
	d.cfg.Logger.Warn().Uint64("fingerprint", s.Fingerprint).Strs("lost", s.LostTargets).Msg("request suspected")
	if d.cfg.OnSuspicion != nil {
		d.cfg.OnSuspicion(linker.Suspicion{Fingerprint: s.Fingerprint, Crashes: len(lost), GroupsLost: lost, For: s.TTL})
	}
}

// handleAdmission hands an action of the limiter to the goroutine of its request.
func (d *Dispatcher) handleAdmission(a limiter.Action) {
	switch a := a.(type) {
	case limiter.Admit:
		d.find(uint64(a.Ref)).admission <- a
	case limiter.Refuse:
		d.find(uint64(a.Ref)).admission <- a
	case limiter.WakeAt:
		d.tick.Reset(a.At.Sub(d.cfg.Now()))
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
