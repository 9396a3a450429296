package leaser_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/internal/scripter"
	"amaranthmill/leaser"
	"amaranthmill/storeclient"
)

// session runs a Core by a script and shows its calls and the deadlines of its lease.
type session struct{ core *leaser.Core }

var calls = map[string]leaser.Call{
	"check": leaser.CallCheck, "grant": leaser.CallGrant, "claim": leaser.CallClaim, "renew": leaser.CallRenew, "revoke": leaser.CallRevoke,
}

var results = map[string]leaser.Result{"ok": leaser.ResultOK, "refused": leaser.ResultRefused, "unknown": leaser.ResultUnknown}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	var e leaser.Event
	switch ev.Name {
	case "tick":
		e = leaser.Tick{Wall: now.Add(ev.Duration("suspended"))}
	case "start": // with a delay, so that other candidates come first
		s.core = leaser.NewCore(leaser.Config{TTL: 10 * time.Second, AcquireDelay: ev.Duration("acquireDelay")})
		return nil, nil
	case "stop":
		e = leaser.Stop{}
	case "candidate":
		e = leaser.CandidacySet{IsCandidate: ev.Bool("is")}
	case "restored":
		e = leaser.Restored{}
	case "freed":
		e = leaser.Freed{}
	case "checkInterval":
		e = leaser.CheckIntervalSet{Interval: ev.Duration("to")}
	default:
		call, ok := calls[ev.Name]
		if !ok {
			return nil, fmt.Errorf("unknown event %q", ev.Name)
		}
		e = leaser.Answered{Call: call, Lease: storeclient.LeaseID(ev.Str("lease")), Result: results[ev.Str("result")]}
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		out = append(out, show(now, a))
	}
	return out, nil
}

func show(now time.Time, a leaser.Action) string {
	switch a := a.(type) {
	case leaser.MakeCall:
		for name, call := range calls {
			if call == a.Call {
				return fmt.Sprintf("%s: call %s %s", now.Sub(scripter.Start), name, a.Lease)
			}
		}
	case leaser.Hold:
		if a.Until.IsZero() {
			return fmt.Sprintf("%s: hold nothing", now.Sub(scripter.Start))
		}
		return fmt.Sprintf("%s: hold until %s", now.Sub(scripter.Start), a.Until.Sub(scripter.Start))
	}
	return fmt.Sprintf("%s: end", now.Sub(scripter.Start))
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata", func(*testing.T) scripter.Session {
		return &session{leaser.NewCore(leaser.Config{TTL: 10 * time.Second})}
	})
}
