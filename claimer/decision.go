package claimer

import "time"

// Token names one claimant's claim of one key. It is never used twice.
type Token string

// Decision is the answer to Claim: Granted, Replay, Open, Mismatch, Expired or Unavailable.
type Decision interface{ decision() }

// Granted lets the caller dispatch the call, if MaySend holds right before each send. The
// caller must Settle the token in every case.
type Granted struct {
	Token      Token
	SendBefore time.Time
}

// MaySend reports whether the call may still be sent at now, a reading of time.Now. It
// compares both the monotonic and the wall clock, since the first may stop while an instance is suspended.
func (g Granted) MaySend(now time.Time) bool {
	return now.Before(g.SendBefore) && now.Round(0).Before(g.SendBefore.Round(0))
}

// Replay gives the result of an earlier call with the same key.
type Replay struct{ Result Result }

// Open says that an earlier call with the same key may still be running. This one was not run.
type Open struct{ RetryAfter time.Duration }

// Mismatch says that the key was used for another request. This one was not run.
type Mismatch struct{}

// Expired says that the key was made outside the time in which keys are accepted, or, where
// Config.RequireDated is set, that it does not say when it was made. This call was not run.
type Expired struct{}

// Unavailable says that the key could not be claimed. This call was not run.
type Unavailable struct{ RetryAfter time.Duration }

func (Granted) decision()     {}
func (Replay) decision()      {}
func (Open) decision()        {}
func (Mismatch) decision()    {}
func (Expired) decision()     {}
func (Unavailable) decision() {}
