package replicator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"amaranthmill/internal/scripter"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// session runs a Core by a script. It delivers each tick at the time that the Core requested.
type session struct {
	core    *replicator.Core
	wakeAt  time.Time
	call    replicator.Call // the last one
	queries []replicator.QueryPeers
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{core: replicator.NewCore(replicator.Config{MinInterval: 100 * time.Millisecond})}
	})
}

// Handle applies ev at time now and returns the actions.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	var out []string
	for !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		at := s.wakeAt
		s.wakeAt = time.Time{}
		out = append(out, s.step(at, replicator.Ticked{})...)
	}
	var e replicator.Event
	switch ev.Name {
	case "start":
		e = replicator.Started{}
	case "listed":
		e = replicator.Listed{Snapshot: snapshot(ev), Call: s.callOf(ev)}
	case "watched":
		e = replicator.Watched{Changes: changes(ev), References: references(ev), Call: s.callOf(ev)}
	case "value":
		e = replicator.ValueFetched{Number: uint64(ev.Int("number")), Version: replicator.Version{Entry: storeclient.Entry{Key: ev.Str("key"), Revision: uint64(ev.Int("revision"))}, Era: era(ev)}}
	case "noValue":
		e = replicator.ValueFailed{Number: uint64(ev.Int("number")), Key: ev.Str("key")}
	case "failed":
		e = replicator.Failed{Compacted: ev.Bool("compacted"), NotSent: ev.Bool("notSent"), Call: s.callOf(ev)}
	case "peer":
		e = replicator.PeerAnswered{Query: s.queryOf(ev), Update: replicator.Update{Era: era(ev), Revision: uint64(ev.Int("revision")), Complete: !ev.Bool("changes"), Entries: entries(ev), References: references(ev), IsInContact: ev.Has("contact"), ContactTime: ev.Duration("contact"), AnswerAge: ev.Duration("age")}}
	case "pass":
		return out, nil
	case "update":
		return append(out, s.update(uint64(ev.Int("revision")))), nil
	case "updateWithReferences":
		u := s.core.UpdateWithReferences(uint64(ev.Int("revision")))
		return append(out, fmt.Sprintf("update: %s references %s at %d complete=%t", describe(u.Entries), describeReferences(u.References), u.Revision, u.Complete)), nil
	case "referencesSince":
		ch, refs, _ := s.core.ReferencesSince(uint64(ev.Int("revision")))
		return append(out, fmt.Sprintf("since: %s references %s at %d", describe(ch.Entries), describeReferences(refs), ch.Revision)), nil
	case "contact":
		return append(out, s.contact(now)), nil
	case "since":
		return append(out, s.since(uint64(ev.Int("revision")))), nil
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	return append(out, s.step(now, e)...), nil
}

// callOf returns the call that an event answers: the last one, unless the event answers one of an
// earlier round.
func (s *session) callOf(ev scripter.Event) replicator.Call {
	call := s.call
	call.Round -= uint64(ev.Int("roundsAgo"))
	return call
}

// queryOf returns the query that an event answers: the last one, unless the event answers an earlier one.
func (s *session) queryOf(ev scripter.Event) replicator.QueryPeers {
	i := len(s.queries) - 1 - ev.Int("queriesAgo")
	if i < 0 {
		return replicator.QueryPeers{}
	}
	return s.queries[i]
}

// contact describes the contact that a peer would be told of.
func (s *session) contact(now time.Time) string {
	c, ok := s.core.Contact(now)
	if !ok {
		return "told: no contact"
	}
	return fmt.Sprintf("told: contact from %s to %s", c.Since.Sub(scripter.Start), c.Until.Sub(scripter.Start))
}

// since describes the changes that a peer that follows the replica would receive.
func (s *session) since(revision uint64) string {
	ch, ok := s.core.ChangesSince(revision)
	if !ok {
		return "since: not known"
	}
	return fmt.Sprintf("since: %s at %d", describe(ch.Entries), ch.Revision)
}

// update describes the update that a peer that has lost the store would receive.
func (s *session) update(revision uint64) string {
	u := s.core.UpdateSince(revision)
	return fmt.Sprintf("update: %s at %d complete=%t", describe(u.Entries), u.Revision, u.Complete)
}

// era returns the era of an answer, or zero if the event names none.
func era(ev scripter.Event) storeclient.Era { return storeclient.Era(ev.Int("era")) }

// entries parses "key@revision" words joined by "+". A word that begins with "-" is a removal.
func entries(ev scripter.Event) []storeclient.Change {
	var out []storeclient.Change
	for word := range strings.SplitSeq(ev.Str("keys"), "+") {
		if word == "" {
			continue
		}
		name, revision, _ := strings.Cut(word, "@")
		key, deleted := strings.CutPrefix(name, "-")
		var n uint64
		_, _ = fmt.Sscan(revision, &n)
		out = append(out, storeclient.Change{Entry: storeclient.Entry{Key: key, Revision: n}, Deleted: deleted})
	}
	return out
}

// references parses "key@revision" words joined by "+".
func references(ev scripter.Event) []replicator.Reference {
	var out []replicator.Reference
	for word := range strings.SplitSeq(ev.Str("references"), "+") {
		key, revision, ok := strings.Cut(word, "@")
		if !ok {
			continue
		}
		r := replicator.Reference{Key: key, Size: 1 << 20}
		_, _ = fmt.Sscan(revision, &r.Revision)
		out = append(out, r)
	}
	return out
}

func describeReferences(references []replicator.Reference) string {
	var out []string
	for _, r := range references {
		out = append(out, fmt.Sprintf("%s@%d", r.Key, r.Revision))
	}
	return strings.Join(out, " ")
}

func snapshot(ev scripter.Event) storeclient.Snapshot {
	s := storeclient.Snapshot{Era: era(ev), Revision: uint64(ev.Int("revision"))}
	for _, ch := range entries(ev) {
		s.Entries = append(s.Entries, ch.Entry)
	}
	return s
}

func changes(ev scripter.Event) storeclient.Changes {
	return storeclient.Changes{Era: era(ev), Revision: uint64(ev.Int("revision")), Entries: entries(ev)}
}

func (s *session) step(now time.Time, e replicator.Event) []string {
	var out []string
	for _, a := range s.core.Step(now, e) {
		line := ""
		switch a := a.(type) {
		case replicator.List:
			line, s.call = "list", a.Call
		case replicator.Watch:
			line, s.call = fmt.Sprintf("watch after %d", a.After), a.Call
			if a.Poll {
				line = fmt.Sprintf("poll after %d", a.After)
			}
		case replicator.FetchValue:
			line = fmt.Sprintf("fetch %d %s@%d base %d", a.Number, a.Key, a.Revision, a.Base)
		case replicator.QueryPeers:
			line, s.queries = fmt.Sprintf("query peers after %d", a.After), append(s.queries, a)
		case replicator.NotifyChanges:
			line = "change " + describe(a.Changes)
		case replicator.Restored:
			line = fmt.Sprintf("restored to %d in era %d, was at %d", a.Revision, a.Era, a.OldRevision)
		case replicator.Ignored:
			line = fmt.Sprintf("ignored %s at %d of era %d, %s, first %q", a.Origin.Kind, a.Revision, a.Origin.Era, a.Reason, a.Key)
		case replicator.Health:
			line = fmt.Sprintf("health lost=%t", a.Lost)
		case replicator.Contact:
			line = fmt.Sprintf("contact from %s to %s", a.Since.Sub(scripter.Start), a.Until.Sub(scripter.Start))
		case replicator.WakeAt:
			s.wakeAt = a.At
			continue
		}
		out = append(out, fmt.Sprintf("%s: %s", now.Sub(scripter.Start), line))
	}
	return out
}

func describe(changes []storeclient.Change) string {
	var out []string
	for _, ch := range changes {
		sign := ""
		if ch.Deleted {
			sign = "-"
		}
		out = append(out, fmt.Sprintf("%s%s@%d", sign, ch.Key, ch.Revision))
	}
	return strings.Join(out, " ")
}
