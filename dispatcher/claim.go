package dispatcher

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"amaranthmill/router"
)

// settleTimeout bounds the wait for a claim's result to be stored.
const settleTimeout = 2 * time.Second

// idempotencyKey returns the caller's key of a non-idempotent call that starts here, or "".
func idempotencyKey(req *router.Request) string {
	if req.Kind != router.KindNonIdempotent || req.Hops > 0 {
		return ""
	}
	return req.Header.Get("Idempotency-Key")
}

// serveClaimed claims the key, makes the call, settles the claim and writes the
// answer. A caller that hangs up does not stop a claimed call, so that its next try
// with the same key gets the stored answer.
func (d *Dispatcher) serveClaimed(ctx context.Context, req *router.Request, key string, w router.Writer) router.Outcome {
	scoped := ClaimKey{Account: req.Account, Service: req.Service, Key: key}
	switch c := d.cfg.Claims.Claim(ctx, scoped, callDigest(req)).(type) {
	case ClaimSettled:
		return writeResult(c.Result, w)
	case ClaimDenied:
		return c.Outcome
	case ClaimGranted:
		callCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
		defer cancel()
		held := &holder{}
		result := ClaimResult{Outcome: d.route(callCtx, req, &sink{w: held})}
		if _, ok := result.Outcome.(router.Answered); ok {
			result.Status, result.Header, result.Body = held.status, held.header, held.body
		}
		d.settle(ctx, c.Token, result)
		return writeResult(result, w)
	}
	panic("dispatcher: unknown claim decision")
}

func (d *Dispatcher) settle(ctx context.Context, token string, result ClaimResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	if err := d.cfg.Claims.Settle(ctx, token, result); err != nil {
		d.cfg.Logger.Error().Err(err).Msg("claim is not settled")
	}
}

// writeResult writes the answer of a settled call, if it has one.
func writeResult(r ClaimResult, w router.Writer) router.Outcome {
	if _, ok := r.Outcome.(router.Answered); !ok {
		return r.Outcome
	}
	s := &sink{w: w}
	if err := s.whole(r.Status, r.Header, r.Body); err != nil {
		return router.Unknown{Status: 499, Reason: "callerGone", Detail: "The caller hung up."}
	}
	return router.Answered{}
}

// callDigest returns the digest of what the endpoint would run.
func callDigest(req *router.Request) [32]byte {
	h := sha256.New()
	for _, part := range []string{req.Method, string(req.Service), req.Path} {
		_, _ = io.WriteString(h, part+"\x00")
	}
	_, _ = h.Write(req.Body)
	return [32]byte(h.Sum(nil))
}

// holder is a Writer that holds the answer in memory.
type holder struct {
	status int
	header http.Header
	body   []byte
}

// Start holds the status and header. It returns no error.
func (h *holder) Start(status int, header http.Header) error {
	h.status, h.header = status, header
	return nil
}

// Write holds a part of the body. It returns no error.
func (h *holder) Write(part []byte) error {
	h.body = append(h.body, part...)
	return nil
}
