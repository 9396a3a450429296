package dispatcher

import (
	"context"
	"time"

	"amaranthmill/claimer"
	"amaranthmill/router"
)

// settleTimeout bounds the wait for a claim's result to be stored.
const settleTimeout = 2 * time.Second

// idempotencyKey returns the Idempotency-Key of a non-idempotent call that a caller sent to this instance, or "".
func idempotencyKey(req *router.Request) string {
	if req.Kind != router.KindNonIdempotent || req.Hops > 0 {
		return ""
	}
	return req.Header.Get("Idempotency-Key")
}

// serveClaimed claims the key, makes the call, settles the claim and writes the answer. A
// claimed call continues if its caller hangs up, so that the caller's next call with the
// same key gets the stored answer.
func (d *Dispatcher) serveClaimed(ctx context.Context, c *call, key string) router.Outcome {
	req, w := c.req, c.sink.w
	scoped := ClaimKey{Account: req.Account, Service: req.Service, Key: key}
	switch decision := d.cfg.Claimer.Claim(ctx, scoped, callDigest(req)).(type) {
	case ClaimSettled:
		return writeResult(decision.Result, w)
	case ClaimDenied:
		return decision.Outcome
	case ClaimGranted:
		callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
		defer cancel()
		buffered := &answerBuffer{}
		c.sink.w, c.sendBefore = buffered, decision.SendBefore
		result := ClaimResult{Outcome: d.runAttempts(callCtx, c)}
		if _, ok := result.Outcome.(router.Answered); ok {
			result.Status, result.Header, result.Body = buffered.status, buffered.header, buffered.body
		}
		d.settle(ctx, decision.Token, result)
		return writeResult(result, w)
	}
	panic("dispatcher: unknown claim decision")
}

func (d *Dispatcher) settle(ctx context.Context, token string, result ClaimResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := d.cfg.Claimer.Settle(ctx, token, result); err != nil {
		d.cfg.Logger.Error().Err(err).Str("token", token).Msg("claim not settled")
	}
}

// writeResult writes the answer of a settled call to w, if the call was answered, and returns the outcome.
func writeResult(r ClaimResult, w router.Writer) router.Outcome {
	if _, ok := r.Outcome.(router.Answered); !ok {
		return r.Outcome
	}
	s := &sink{w: w}
	if err := s.writeAnswer(r.Status, r.Header, r.Body); err != nil {
		return router.CallerGoneOutcome()
	}
	return router.Answered{}
}

// callDigest returns the digest of what the endpoint would run.
func callDigest(req *router.Request) [32]byte {
	return claimer.DigestOf(req.Method, string(req.Service)+req.Path, req.Body)
}
