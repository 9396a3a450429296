package runner

import (
	"context"
	"net/http"

	"amaranthmill/claimer"
	"amaranthmill/dispatcher"
	"amaranthmill/router"
)

// claims lets the dispatcher claim keys at the claimer.
type claims struct {
	claimer *claimer.Claimer
}

// Claim claims key for a call with this digest.
func (c claims) Claim(ctx context.Context, key dispatcher.ClaimKey, digest [32]byte) dispatcher.ClaimDecision {
	scoped := claimer.Key{Account: key.Account, IdempotencyKey: key.Key}
	switch d := c.claimer.Claim(ctx, scoped, digest).(type) {
	case claimer.Granted:
		return dispatcher.ClaimGranted{Token: string(d.Token), SendBefore: d.SendBefore}
	case claimer.Replay:
		return replayed(d.Result)
	case claimer.Open:
		return denied(router.Unknown{Status: http.StatusConflict, Reason: "keyInUse", Detail: "An earlier call with this Idempotency-Key may still be running.", RetryAfter: d.RetryAfter})
	case claimer.Mismatch:
		return denied(router.NotRun{Status: http.StatusUnprocessableEntity, Reason: "keyMismatch", Detail: "This Idempotency-Key was used for another request; use a new key."})
	case claimer.Expired:
		return denied(router.NotRun{Status: http.StatusUnprocessableEntity, Reason: "keyExpired", Detail: "This Idempotency-Key is older than keys are accepted for; use a new key only if the call is known not to have run."})
	case claimer.Unavailable:
		return denied(router.NotRun{Status: http.StatusServiceUnavailable, Reason: "claimUnavailable", Detail: "The call was not made because its key could not be claimed at the platform's service.", RetryAfter: d.RetryAfter})
	}
	panic("runner: unknown claim decision")
}

func denied(o router.Outcome) dispatcher.ClaimDecision { return dispatcher.ClaimDenied{Outcome: o} }

// replayed turns the stored result of an earlier call into the answer to this one.
func replayed(r claimer.Result) dispatcher.ClaimDecision {
	switch r := r.(type) {
	case claimer.Answered:
		if r.Truncated {
			return denied(router.Unknown{Status: http.StatusConflict, Reason: "answerNotKept", Detail: "An earlier call with this Idempotency-Key ran; its answer was too large to be kept."})
		}
		return dispatcher.ClaimSettled{Result: dispatcher.ClaimResult{Outcome: router.Answered{}, Status: r.Status, Header: r.Header, Body: r.Body}}
	case claimer.NotRun:
		return denied(router.NotRun{Status: http.StatusConflict, Reason: "keyNotRun", Detail: "The call with this Idempotency-Key did not run and never will; use a new key."})
	default:
		return denied(router.Unknown{Status: http.StatusConflict, Reason: "keyUnknown", Detail: "An earlier call with this Idempotency-Key may have run, and its answer is lost. Ask the service itself."})
	}
}

// Settle records how the claimed call ended.
func (c claims) Settle(ctx context.Context, token string, result dispatcher.ClaimResult) error {
	return c.claimer.Settle(ctx, claimer.Token(token), settled(result))
}

func settled(r dispatcher.ClaimResult) claimer.Result {
	switch r.Outcome.(type) {
	case router.Answered:
		return claimer.Answered{Status: r.Status, Header: r.Header, Body: r.Body}
	case router.NotRun:
		return claimer.NotRun{}
	default:
		return claimer.Unknown{}
	}
}
