package scheduler

import "amaranthmill/internal/identifier"

// retryBudget bounds the retries of this instance by service. Each request adds ratio to the
// service's balance and each retry costs 1. All instances together can accumulate slack
// retries, of which each instance has an equal part.
type retryBudget struct {
	ratio, slack float64
	instances    int
	balances     map[identifier.Service]float64
}

func newRetryBudget(ratio, slack float64) retryBudget {
	return retryBudget{ratio: ratio, slack: slack, instances: 1, balances: map[identifier.Service]float64{}}
}

// limit returns the number of retries that one instance can accumulate for a service.
func (b *retryBudget) limit() float64 { return b.slack / float64(b.instances) }

func (b *retryBudget) setInstances(n int) {
	b.instances = max(n, 1)
	for service, balance := range b.balances {
		b.balances[service] = min(balance, b.limit())
	}
}

func (b *retryBudget) available(s identifier.Service) float64 {
	if balance, ok := b.balances[s]; ok {
		return balance
	}
	return b.limit()
}

// credit adds the retries that a request allows.
func (b *retryBudget) credit(s identifier.Service) {
	b.balances[s] = min(b.available(s)+b.ratio, b.limit())
}

// trySpend reports whether a retry is allowed, and deducts it if it is.
func (b *retryBudget) trySpend(s identifier.Service) bool {
	available := b.available(s)
	if available < 1 {
		return false
	}
	b.balances[s] = available - 1
	return true
}
