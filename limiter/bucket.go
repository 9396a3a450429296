package limiter

import (
	"time"

	"amaranthmill/internal/identifier"
)

// bucket is the token bucket of one client account.
type bucket struct {
	rate   float64 // tokens a second over all instances
	burst  float64 // tokens over all instances
	part   float64 // of both that this instance may admit; zero for an equal part
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
		b.tokens = b.ownBurst(l.instances)
		if o := old[a.Name]; o != nil {
			o.refill(now, l.instances)
			b.part = o.part
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
	wait := time.Duration((1 - b.tokens) / (b.rate * b.ownPart(instances)) * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// giveBack returns the token of a request that was refused.
func (b *bucket) giveBack() { b.tokens++ }

func (b *bucket) refill(now time.Time, instances int) {
	earned := now.Sub(b.at).Seconds() * b.rate * b.ownPart(instances)
	b.tokens = min(b.tokens+earned, b.ownBurst(instances))
	b.at = now
}

// ownPart returns the part of the limit that this instance may admit.
func (b *bucket) ownPart(instances int) float64 {
	if b.part > 0 {
		return b.part
	}
	return 1 / float64(instances)
}

// ownBurst returns this instance's part of the burst, at least one token.
func (b *bucket) ownBurst(instances int) float64 {
	return max(b.burst*b.ownPart(instances), 1)
}
