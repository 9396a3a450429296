package router

// retryBudget limits retries to a fraction of first attempts, so that an outage does not
// multiply the load. In any interval there are at most ratio times the first attempts
// plus burst retries.
type retryBudget struct {
	ratio, burst, saved float64
}

func newRetryBudget(ratio float64, burst int) retryBudget {
	return retryBudget{ratio: ratio, burst: float64(burst), saved: float64(burst)}
}

// earn adds the fraction of a retry that one first attempt allows.
func (b *retryBudget) earn() { b.saved = min(b.saved+b.ratio, b.burst) }

// spend reports whether a retry is allowed and, if so, deducts it.
func (b *retryBudget) spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
