package runner

import (
	"context"
	"net/http"

	"amaranthmill/claimer"
	"amaranthmill/dispatcher"
	"amaranthmill/router"
)

// claimerAdapter adapts a claimer.Claimer to the dispatcher.Claimer interface.
type claimerAdapter struct {
	claimer *claimer.Claimer
}

// Claim claims an idempotency key for a call whose content has the given digest.
func (c claimerAdapter) Claim(ctx context.Context, key dispatcher.ClaimKey, digest [32]byte) dispatcher.ClaimDecision {
	scoped := claimer.Key{Account: key.Account, IdempotencyKey: key.Key}
	switch d := c.claimer.Claim(ctx, scoped, digest).(type) {
	case claimer.Granted:
		return dispatcher.ClaimGranted{Token: string(d.Token), SendBefore: d.SendBefore}
	case claimer.Replay:
		return replay(d.Result)
	case claimer.Open:
		return deny(router.Unknown{Status: http.StatusConflict, Reason: "keyInUse", Detail: "An earlier call with this Idempotency-Key may still be running.", RetryAfter: d.RetryAfter})
	case claimer.Mismatch:
		return deny(router.NotRun{Status: http.StatusUnprocessableEntity, Reason: "keyMismatch", Detail: "This Idempotency-Key was used for another request; use a new key."})
	case claimer.Expired:
		return deny(router.NotRun{Status: http.StatusUnprocessableEntity, Reason: "keyExpired", Detail: "This Idempotency-Key is older than keys are accepted for; use a new key only if the call is known not to have run."})
	case claimer.Unavailable:
		return deny(router.NotRun{Status: http.StatusServiceUnavailable, Reason: "claimUnavailable", Detail: "The call was not made because its key could not be claimed at the platform's service.", RetryAfter: d.RetryAfter})
	}
	panic("runner: unknown claim decision")
}

func deny(o router.Outcome) dispatcher.ClaimDecision { return dispatcher.ClaimDenied{Outcome: o} }

// replay converts the stored result of an earlier call with the same key into the decision on
// this call.
func replay(r claimer.Result) dispatcher.ClaimDecision {
	switch r := r.(type) {
	case claimer.Answered:
		if r.Truncated {
			return deny(router.Unknown{Status: http.StatusConflict, Reason: "answerNotKept", Detail: "An earlier call with this Idempotency-Key ran; its answer was too large to be kept."})
		}
		return dispatcher.ClaimSettled{Result: dispatcher.ClaimResult{Outcome: router.Answered{}, Status: r.Status, Header: r.Header, Body: r.Body}}
	case claimer.NotRun:
		return deny(router.NotRun{Status: http.StatusConflict, Reason: "keyNotRun", Detail: "The call with this Idempotency-Key did not run and never will; use a new key."})
	default:
		return deny(router.Unknown{Status: http.StatusConflict, Reason: "keyUnknown", Detail: "An earlier call with this Idempotency-Key may have run, and its answer is lost. Ask the service itself."})
	}
}

// Settle stores the result of the claimed call.
func (c claimerAdapter) Settle(ctx context.Context, token string, result dispatcher.ClaimResult) error {
	return c.claimer.Settle(ctx, claimer.Token(token), newClaimerResult(result))
}

func newClaimerResult(r dispatcher.ClaimResult) claimer.Result {
	switch r.Outcome.(type) {
	case router.Answered:
		return claimer.Answered{Status: r.Status, Header: r.Header, Body: r.Body}
	case router.NotRun:
		return claimer.NotRun{}
	default:
		return claimer.Unknown{}
	}
}
