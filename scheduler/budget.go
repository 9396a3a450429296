package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// retryBudget bounds the retries of this instance by service. Each request adds ratio to the
// service's balance and each retry costs 1. All instances together can accumulate slack
// retries, of which each instance has an equal part.
//
// The operators count retries over a window. A process that does not know what its predecessor
// at this instance spent has no slack until a window has passed since its start.
type retryBudget struct {
	ratio, slack float64
	instances    int
	balances     map[identifier.Service]float64
	window       time.Duration
	slackAt      time.Time // from when the slack may be spent; zero until the first event
	hasSlack     bool
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{
		ratio: cfg.RetryRatio, slack: cfg.RetrySlack, instances: 1, balances: map[identifier.Service]float64{},
		window: cfg.RetryWindow, hasSlack: cfg.FirstStart,
	}
}

// advance adds the slack to the balances once a window has passed since the first event.
func (b *retryBudget) advance(now time.Time) {
	if b.hasSlack {
		return
	}
	if b.slackAt.IsZero() {
		b.slackAt = now.Add(b.window)
	}
	if now.Before(b.slackAt) {
		return
	}
	b.hasSlack = true
	for service := range b.balances {
		b.balances[service] = b.limit()
	}
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
	balance, ok := b.balances[s]
	if !ok && b.hasSlack {
		return b.limit()
	}
	return balance
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
