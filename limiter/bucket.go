package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// bucket is the token bucket of one client account.
type bucket struct {
	rate   float64 // tokens a second over all instances
	burst  float64 // tokens over all instances
	tokens float64 // of this instance
	at     time.Time
}

func (l *Limiter) setAccounts(now time.Time, accounts []Account) {
	old := l.accounts
	l.accounts = map[identifier.ClientAccount]*bucket{}
	for _, a := range accounts {
		if a.RequestsPerSecond <= 0 {
			continue
		}
		b := &bucket{rate: a.RequestsPerSecond, burst: float64(max(a.Burst, 1)), at: now}
		b.tokens = b.share(b.burst, l.instances)
		if o := old[a.Name]; o != nil {
			o.refill(now, l.instances)
			b.tokens = min(b.tokens, o.tokens)
		}
		l.accounts[a.Name] = b
	}
}

// take takes a token, or returns the time until there is one.
func (b *bucket) take(now time.Time, instances int) time.Duration {
	b.refill(now, instances)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / (b.rate / float64(instances)) * float64(time.Second))
	return max(wait, minRetryAfter)
}

// giveBack returns the token of a request that was refused.
func (b *bucket) giveBack() { b.tokens++ }

func (b *bucket) refill(now time.Time, instances int) {
	earned := now.Sub(b.at).Seconds() * b.rate / float64(instances)
	b.tokens = min(b.tokens+earned, b.share(b.burst, instances))
	b.at = now
}

// share returns an equal share of a burst, at least one token.
func (b *bucket) share(burst float64, instances int) float64 {
	return max(burst/float64(instances), 1)
}
