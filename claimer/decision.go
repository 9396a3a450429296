package claimer

import "time"

// Token identifies one attempt of one claimant to claim one key. It is never reused.
type Token string

// Decision is the result of Claim: Granted, Replay, Open, Mismatch, Expired or Unavailable.
type Decision interface{ decision() }

// Granted allows the caller to dispatch the call if MaySend holds immediately before each send.
// The caller must Settle the token in every case.
type Granted struct {
	Token      Token
	SendBefore time.Time
}

// MaySend reports whether the call may still be sent at now, a reading of time.Now. It compares
// both the monotonic and the wall clock, because the monotonic clock may stop while an instance
// is suspended.
func (g Granted) MaySend(now time.Time) bool {
	return now.Before(g.SendBefore) && now.Round(0).Before(g.SendBefore.Round(0))
}

// Replay holds the result of an earlier call with the same key. This call was not run.
type Replay struct{ Result Result }

// Open means that an earlier call with the same key may still be running. This call was not run.
type Open struct{ RetryAfter time.Duration }

// Mismatch means that the key was used for a different request. This call was not run.
type Mismatch struct{}

// Expired means that the key was created outside the time in which keys are accepted or, with
// Limits.RequireDated, that the key contains no creation time. This call was not run.
type Expired struct{}

// Unavailable means that the key could not be claimed. This call was not run.
type Unavailable struct{ RetryAfter time.Duration }

func (Granted) decision()     {}
func (Replay) decision()      {}
func (Open) decision()        {}
func (Mismatch) decision()    {}
func (Expired) decision()     {}
func (Unavailable) decision() {}
