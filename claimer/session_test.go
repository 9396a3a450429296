package claimer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/storeclient"
)

// session drives one core from a script, whose events include the answers of the platform's store.
type session struct {
	core  *Core
	calls Call
}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	e, err := s.event(now, ev)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		out = append(out, describe(now, a))
	}
	return out, nil
}

func (s *session) event(now time.Time, ev scripter.Event) (Event, error) {
	token := Token(ev.Str("token"))
	switch ev.Name {
	case "arrive":
		s.calls++
		e := Arrived{Call: s.calls, Token: token, Key: sessionKey(ev), Digest: sessionDigest(ev)}
		if ev.Has("deadline") {
			e.Deadline = now.Add(ev.Duration("deadline"))
		}
		return e, nil
	case "leave":
		return CallerLeft{Call: Call(ev.Int("call")), Token: token}, nil
	case "settle":
		return Settled{Token: token, Result: sessionResult(ev)}, nil
	case "leaseGranted":
		return LeaseGranted{Lease: storeclient.LeaseID(ev.Str("lease"))}, nil
	case "leaseFailed":
		return LeaseFailed{}, nil
	case "leaseExpired":
		return LeaseExpired{Token: token}, nil
	case "stored":
		return Stored{Token: token, Revision: uint64(ev.Int("revision"))}, nil
	case "conflicted":
		return Conflicted{Token: token}, nil
	case "failed":
		return Failed{Token: token, MayApply: ev.Bool("mayApply")}, nil
	case "absent":
		return Absent{Token: token}, nil
	case "found":
		r := Record{
			Token: Token(ev.Str("owner")), Instance: "other", Digest: sessionDigest(ev), Lease: storeclient.LeaseID(ev.Str("lease")),
			ClosesAt: scripter.Start.Add(ev.Duration("closesAt")), Result: sessionResult(ev),
		}
		return Found{Token: token, Record: r, Revision: uint64(ev.Int("revision"))}, nil
	case "tick":
		return Ticked{}, nil
	}
	return nil, fmt.Errorf("no event %q", ev.Name)
}

// sessionKey returns the key of an event. If the event has "made", the key is a version 7 UUID
// created at that offset from the start.
func sessionKey(ev scripter.Event) Key {
	account := identifier.ClientAccount("family-" + ev.Str("account"))
	if !ev.Has("made") {
		return Key{Account: account, IdempotencyKey: ev.Str("key")}
	}
	ms := scripter.Start.Add(ev.Duration("made")).UnixMilli()
	return Key{Account: account, IdempotencyKey: fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, len(ev.Str("key")))}
}

func sessionDigest(ev scripter.Event) Digest {
	return DigestOf("POST", "/holds", []byte(ev.Str("body")))
}

func sessionResult(ev scripter.Event) Result {
	switch ev.Str("result") {
	case "answered":
		return Answered{Status: 200, Body: []byte(strings.Repeat("x", ev.Int("size")))}
	case "notRun":
		return NotRun{}
	case "unknown":
		return Unknown{}
	}
	return nil
}

func describe(now time.Time, a Action) string {
	switch a := a.(type) {
	case GrantLease:
		return fmt.Sprintf("grantLease ttl=%s", a.TTL)
	case CreateClaim:
		return fmt.Sprintf("create token=%s closesAt=%s lease=%s", a.Token, a.Record.ClosesAt.Sub(scripter.Start), a.Record.Lease)
	case ReadClaim:
		return fmt.Sprintf("read token=%s", a.Token)
	case SwapClaim:
		return fmt.Sprintf("swap token=%s owner=%s revision=%d result=%s lease=%s", a.Token, a.Record.Token, a.Revision, resultText(a.Record.Result), a.Record.Lease)
	case RemoveClaim:
		return fmt.Sprintf("remove token=%s revision=%d", a.Token, a.Revision)
	case Finish:
		return fmt.Sprintf("finish token=%s err=%v", a.Token, a.Err)
	case Decide:
		return fmt.Sprintf("decide call=%d %s", a.Call, decisionText(now, a.Decision))
	}
	return fmt.Sprintf("%T", a)
}

func decisionText(now time.Time, d Decision) string {
	switch d := d.(type) {
	case Granted:
		return fmt.Sprintf("granted token=%s sendWithin=%s", d.Token, d.SendBefore.Sub(now))
	case Open:
		return fmt.Sprintf("open retryAfter=%s", d.RetryAfter)
	case Unavailable:
		return fmt.Sprintf("unavailable retryAfter=%s", d.RetryAfter)
	case Replay:
		return "replay " + resultText(d.Result)
	}
	return decisionName(d)
}

func resultText(r Result) string {
	if a, ok := r.(Answered); ok {
		return fmt.Sprintf("answered,bytes=%d,truncated=%t", len(a.Body), a.Truncated)
	}
	return resultName(r)
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{core: NewCore("own", Limits{MaxBodySize: 10})}
	})
}
