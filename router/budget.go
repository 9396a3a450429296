package router

// retryBudget bounds retries to a share of first attempts, so that an outage does not
// multiply the load. Over any time the retries are at most share times the first
// attempts plus burst.
type retryBudget struct {
	share, burst, saved float64
}

func newRetryBudget(share float64, burst int) retryBudget {
	return retryBudget{share: share, burst: float64(burst), saved: float64(burst)}
}

// earn counts a first attempt.
func (b *retryBudget) earn() { b.saved = min(b.saved+b.share, b.burst) }

// spend reports whether a retry is allowed, and counts it.
func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
