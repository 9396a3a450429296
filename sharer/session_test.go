package sharer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/sharer"
)

// session is one core, of the instance "own", under a script.
type session struct{ core *sharer.Core }

func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	peer, account := identifier.Instance(ev.Str("peer")), identifier.ClientAccount(ev.Str("account"))
	var events []sharer.Event
	switch ev.Name {
	case "accounts":
		var set sharer.AccountsSet
		for i, name := range ev.List("names") {
			set.Accounts = append(set.Accounts, sharer.Account{Name: identifier.ClientAccount(name), RequestsPerSecond: float64(ev.Int("limit") * (i + 1))})
		}
		events = append(events, set)
	case "requests":
		for range ev.Int("count") {
			events = append(events, sharer.RequestArrived{Account: account})
		}
	case "seen":
		events = append(events, sharer.PeerSeen{Instance: peer})
	case "removed":
		events = append(events, sharer.PeerRemoved{Instance: peer})
	case "announced":
		demand := sharer.Demand{Account: account, RequestsPerSecond: float64(ev.Int("demand"))}
		an := sharer.Announcement{Sequence: uint64(ev.Int("sequence")), Demands: []sharer.Demand{demand}}
		events = append(events, sharer.AnnouncementReceived{From: peer, Announcement: an})
	case "tick":
		events = append(events, sharer.Ticked{})
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

func describe(a sharer.Action) string {
	switch a := a.(type) {
	case sharer.SetRate:
		return fmt.Sprintf("rate account=%s perSecond=%.2f part=%.3f", a.Account, a.RequestsPerSecond, a.Part)
	case sharer.Announce:
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
		return session{sharer.New(sharer.Config{Instance: "own"})}
	})
}

// TestRestartedPeerIsHeard replaces a peer's process between two announcements, unseen by the receiver.
func TestRestartedPeerIsHeard(t *testing.T) {
	is := is.New(t)
	own := sharer.New(sharer.Config{Instance: "own"})
	set := sharer.AccountsSet{Accounts: []sharer.Account{{Name: "post", RequestsPerSecond: 40}}}
	own.Step(scripter.Start, set)
	own.Step(scripter.Start, sharer.PeerSeen{Instance: "a"})
	for life := range 2 {
		from := scripter.Start.Add(time.Duration(life) * time.Minute)
		peer := sharer.New(sharer.Config{Instance: "a"})
		peer.Step(from, set)
		peer.Step(from, sharer.Ticked{})
		heard := 0
		for second := range 3 - 2*life { // the first life announces more often than the second
			for range 100 {
				peer.Step(from, sharer.RequestArrived{Account: "post"})
			}
			for _, a := range peer.Step(from.Add(time.Duration(second+1)*time.Second), sharer.Ticked{}) {
				if an, ok := a.(sharer.Announce); ok {
					heard += len(own.Step(from, sharer.AnnouncementReceived{From: "a", Announcement: an.Announcement}))
				}
			}
		}
		is.True(heard > 0) // the share here changes by the peer's announcements
	}
}
