package linker

import (
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
	"amaranthmill/router"
)

// requestToWire returns the head of req for the next hop. It contains the remaining time in
// place of the deadline, because the clocks of instances differ.
func requestToWire(req router.Request, now time.Time) *wire.RequestHead {
	head := &wire.RequestHead{
		Id:            string(req.ID),
		Account:       string(req.Account),
		Service:       string(req.Service),
		Kind:          uint32(req.Kind),
		Priority:      int64(req.Priority),
		BundleVersion: uint64(req.BundleVersion),
		Hops:          uint32(req.Hops + 1),
		Pool:          string(req.Pool),
		Adapter:       req.Adapter,
		Method:        req.Method,
		Path:          req.Path,
		Header:        headerToWire(req.Header),
		Stream:        req.Stream,
	}
	if !req.Deadline.IsZero() {
		// Zero means no deadline on the wire, so the minimum of 1 keeps an expired deadline expired.
		head.RemainingNanoseconds = max(int64(req.Deadline.Sub(now)), 1)
	}
	return head
}

func requestFromWire(head *wire.RequestHead, now time.Time) (router.Request, error) {
	if head.GetId() == "" || head.GetHops() != 1 || head.GetKind() > uint32(router.KindNonIdempotent) {
		return router.Request{}, &FrameError{Expected: "a request with an ID, a known kind and a hop count of 1"}
	}
	req := router.Request{
		ID:            identifier.Request(head.GetId()),
		Account:       identifier.ClientAccount(head.GetAccount()),
		Service:       identifier.Service(head.GetService()),
		Kind:          router.Kind(head.GetKind()),
		Priority:      int(head.GetPriority()),
		BundleVersion: identifier.BundleVersion(head.GetBundleVersion()),
		Hops:          1,
		Pool:          identifier.Pool(head.GetPool()),
		Adapter:       head.GetAdapter(),
		Method:        head.GetMethod(),
		Path:          head.GetPath(),
		Header:        headerFromWire(head.GetHeader()),
		Stream:        head.GetStream(),
	}
	if remaining := head.GetRemainingNanoseconds(); remaining != 0 {
		req.Deadline = now.Add(time.Duration(remaining))
	}
	return req, nil
}

func outcomeToWire(outcome router.Outcome) *wire.Outcome {
	switch o := outcome.(type) {
	case router.Answered:
		return &wire.Outcome{Kind: wire.Outcome_ANSWERED}
	case router.NotRun:
		return &wire.Outcome{
			Kind:                  wire.Outcome_NOT_RUN,
			Status:                uint32(o.Status),
			Reason:                o.Reason,
			Detail:                o.Detail,
			RetryAfterNanoseconds: int64(o.RetryAfter),
		}
	case router.Unknown:
		return &wire.Outcome{
			Kind:                  wire.Outcome_UNKNOWN,
			Status:                uint32(o.Status),
			Reason:                o.Reason,
			Detail:                o.Detail,
			RetryAfterNanoseconds: int64(o.RetryAfter),
		}
	default:
		return outcomeToWire(unknown("noOutcome", "the other instance gave no outcome"))
	}
}

// outcomeFromWire returns the outcome in an end mark. Answered is valid only after the start
// of the answer, and NotRun only without one.
func outcomeFromWire(w *wire.Outcome, answerStarted bool) (router.Outcome, error) {
	status := int(w.GetStatus())
	retryAfter := time.Duration(w.GetRetryAfterNanoseconds())
	switch kind := w.GetKind(); {
	case kind == wire.Outcome_ANSWERED && answerStarted:
		return router.Answered{}, nil
	case kind == wire.Outcome_NOT_RUN && !answerStarted:
		return router.NotRun{Status: status, Reason: w.GetReason(), Detail: w.GetDetail(), RetryAfter: retryAfter}, nil
	case kind == wire.Outcome_UNKNOWN:
		return router.Unknown{Status: status, Reason: w.GetReason(), Detail: w.GetDetail(), RetryAfter: retryAfter}, nil
	default:
		return nil, &FrameError{Expected: "an outcome consistent with the frames before it"}
	}
}
