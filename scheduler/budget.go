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
	requests     map[identifier.Service]*rate // rates of the requests that add to the balances
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{
		ratio: cfg.RetryRatio, slack: cfg.RetrySlack, instances: 1, balances: map[identifier.Service]float64{},
		window: cfg.RetryWindow, hasSlack: cfg.FirstStart, requests: map[identifier.Service]*rate{},
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
func (b *retryBudget) credit(now time.Time, s identifier.Service) {
	b.balances[s] = min(b.available(s)+b.ratio, b.limit())
	if b.requests[s] == nil {
		b.requests[s] = &rate{}
	}
	b.requests[s].count(now)
}

// expectedWait returns the expected time until n retries are allowed for a service at the rate of its
// requests, or false if that rate is unknown.
func (b *retryBudget) expectedWait(now time.Time, s identifier.Service, n int) (time.Duration, bool) {
	missing := float64(n) - b.available(s)
	r := b.requests[s]
	if missing <= 0 || r == nil {
		return 0, missing <= 0
	}
	perSecond := b.ratio * r.valueAt(now)
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration(missing / perSecond * float64(time.Second)), true
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
