package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// bucket is the token bucket of one client account.
type bucket struct {
	rate       float64 // tokens per second over all instances
	burst      float64 // tokens over all instances
	share      float64 // share of rate and burst that this instance may admit; zero means an equal share
	tokens     float64 // available at this instance
	refilledAt time.Time
}

func (l *Limiter) setAccounts(now time.Time, accounts []Account) {
	old := l.accounts
	l.accounts = map[identifier.ClientAccount]*bucket{}
	for _, a := range accounts {
		if a.RequestsPerSecond <= 0 {
			continue
		}
		b := &bucket{rate: a.RequestsPerSecond, burst: float64(max(a.Burst, 1)), refilledAt: now}
		b.tokens = b.ownBurst(l.instances)
		if o := old[a.Name]; o != nil {
			o.refill(now, l.instances)
			b.share = o.share
			b.tokens = min(b.tokens, o.tokens)
		}
		l.accounts[a.Name] = b
	}
}

// takeToken takes a token and returns zero. Without a token it returns the time until one is available, within the bounds of a retry delay.
func (b *bucket) takeToken(now time.Time, instances int) time.Duration {
	b.refill(now, instances)
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / (b.rate * b.ownShare(instances)) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// returnToken returns the token of a request that was refused.
func (b *bucket) returnToken() { b.tokens++ }

func (b *bucket) refill(now time.Time, instances int) {
	earned := now.Sub(b.refilledAt).Seconds() * b.rate * b.ownShare(instances)
	b.tokens = min(b.tokens+earned, b.ownBurst(instances))
	b.refilledAt = now
}

// ownShare returns the share of the limit that this instance may admit.
func (b *bucket) ownShare(instances int) float64 {
	if b.share > 0 {
		return b.share
	}
	return 1 / float64(instances)
}

// ownBurst returns this instance's share of the burst, at least one token.
func (b *bucket) ownBurst(instances int) float64 {
	return max(b.burst*b.ownShare(instances), 1)
}
