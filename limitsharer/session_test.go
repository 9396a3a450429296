package limitsharer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/limitsharer"
)

// session drives the core of the instance "own" from a script.
type session struct{ core *limitsharer.Core }

func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	peer, account := identifier.Instance(ev.Str("peer")), identifier.ClientAccount(ev.Str("account"))
	var events []limitsharer.Event
	switch ev.Name {
	case "accounts":
		var set limitsharer.AccountsSet
		for i, name := range ev.List("names") {
			set.Accounts = append(set.Accounts, limitsharer.Account{Name: identifier.ClientAccount(name), RequestsPerSecond: float64(ev.Int("limit") * (i + 1))})
		}
		events = append(events, set)
	case "requests":
		for range ev.Int("count") {
			events = append(events, limitsharer.RequestArrived{Account: account})
		}
	case "seen":
		events = append(events, limitsharer.PeerReachable{Instance: peer})
	case "removed":
		events = append(events, limitsharer.PeerRemoved{Instance: peer})
	case "announced":
		demand := limitsharer.Demand{Account: account, RequestsPerSecond: float64(ev.Int("demand"))}
		an := limitsharer.Announcement{Sequence: uint64(ev.Int("sequence")), Demands: []limitsharer.Demand{demand}}
		events = append(events, limitsharer.AnnouncementReceived{From: peer, Announcement: an})
	case "tick":
		events = append(events, limitsharer.Ticked{})
	default:
		return nil, fmt.Errorf("no event %q", ev.Name)
	}
	var out []string
	for _, e := range events {
		for _, a := range s.core.Step(now, e) {
			out = append(out, describe(a))
		}
	}
	return out, nil
}

func describe(a limitsharer.Action) string {
	switch a := a.(type) {
	case limitsharer.SetRate:
		return fmt.Sprintf("rate account=%s perSecond=%.2f part=%.3f", a.Account, a.RequestsPerSecond, a.Share)
	case limitsharer.Announce:
		var demands []string
		for _, d := range a.Announcement.Demands {
			demands = append(demands, fmt.Sprintf("%s:%.2f", d.Account, d.RequestsPerSecond))
		}
		return fmt.Sprintf("announce to=%s sequence=%d %s", a.To, int64(a.Announcement.Sequence)-scripter.Start.UnixMilli(), strings.Join(demands, ","))
	}
	return fmt.Sprintf("%T", a)
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return session{limitsharer.New(limitsharer.Config{Instance: "own"})}
	})
}

// TestRestartedPeerIsAccepted restarts a peer's process between two announcements, and the receiver
// does not notice the restart. The announcements of the new process must not be ignored as old.
func TestRestartedPeerIsAccepted(t *testing.T) {
	is := is.New(t)
	own := limitsharer.New(limitsharer.Config{Instance: "own"})
	set := limitsharer.AccountsSet{Accounts: []limitsharer.Account{{Name: "post", RequestsPerSecond: 40}}}
	own.Step(scripter.Start, set)
	own.Step(scripter.Start, limitsharer.PeerReachable{Instance: "a"})
	for process := range 2 {
		from := scripter.Start.Add(time.Duration(process) * time.Minute)
		peer := limitsharer.New(limitsharer.Config{Instance: "a"})
		peer.Step(from, set)
		peer.Step(from, limitsharer.Ticked{})
		changes := 0
		for second := range 3 - 2*process { // the first process announces more often than the second
			for range 100 {
				peer.Step(from, limitsharer.RequestArrived{Account: "post"})
			}
			for _, a := range peer.Step(from.Add(time.Duration(second+1)*time.Second), limitsharer.Ticked{}) {
				if an, ok := a.(limitsharer.Announce); ok {
					changes += len(own.Step(from, limitsharer.AnnouncementReceived{From: "a", Announcement: an.Announcement}))
				}
			}
		}
		is.True(changes > 0) // the peer's announcements change the share of the receiver
	}
}
