package auditor_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/auditor"
	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
)

// session runs the trails of several instances on one platform from a script.
type session struct {
	t        *testing.T
	platform *faker.Platform
	trails   map[string]*auditor.Trail
	now      time.Time
	anchors  []auditor.Anchor
}

// Handle applies one event of a script.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	s.now = now
	switch ev.Name {
	case "append":
		r := auditor.Record{ID: ev.Str("id"), Actor: ev.Str("by"), Action: ev.Str("action"), From: identifier.BundleVersion(ev.Int("from")), To: identifier.BundleVersion(ev.Int("to"))}
		e, err := s.trail(ev.Str("at")).Append(s.t.Context(), r)
		if err != nil {
			return []string{err.Error()}, nil
		}
		return []string{fmt.Sprintf("entry %d", e.Sequence)}, nil
	case "last":
		p, err := s.trail(ev.Str("at")).Last(s.t.Context())
		return []string{fmt.Sprintf("page %d", p.Number)}, err
	case "lose":
		s.platform.LoseAnswers("audit/", ev.Int("answers"), ev.Bool("effect"))
	case "down":
		s.platform.SetDown(true)
	case "up":
		s.platform.SetDown(false)
	case "backup":
		s.platform.Backup()
	case "setBack":
		s.platform.Restore()
	case "replace":
		return nil, s.replace(ev.Str("page"), ev.Str("old"), ev.Str("new"))
	case "verify":
		return s.verify(), nil
	case "show":
		return s.show(), nil
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	return nil, nil
}

func (s *session) trail(instance string) *auditor.Trail {
	if s.trails[instance] == nil {
		s.trails[instance] = auditor.New(auditor.Config{
			Platform: s.platform, Instance: identifier.Instance(instance), PageSize: 1200, Now: func() time.Time { return s.now },
		})
	}
	return s.trails[instance]
}

// replace modifies the text of a stored page directly, as an attacker could.
func (s *session) replace(page, oldText, newText string) error {
	entry, err := s.platform.Get(s.t.Context(), "audit/"+page)
	if err != nil {
		return err
	}
	_, err = s.platform.Swap(s.t.Context(), entry.Key, entry.Revision, []byte(strings.ReplaceAll(string(entry.Value), oldText, newText)))
	return err
}

// pages reads the whole trail.
func (s *session) pages() []auditor.Page {
	var pages []auditor.Page
	for n := uint64(1); ; n++ {
		p, err := s.trail("reader").Page(s.t.Context(), n)
		if err != nil {
			return pages
		}
		pages = append(pages, p)
	}
}

// verify checks the trail against the anchors of all earlier successful verifications.
func (s *session) verify() []string {
	v := auditor.Verifier{Anchors: s.anchors}
	for _, p := range s.pages() {
		v.Add(p)
	}
	end := v.Finish()
	lines := []string{fmt.Sprintf("%d entries, %d faults", end.Sequence, len(v.Faults))}
	for _, f := range v.Faults {
		lines = append(lines, fmt.Sprintf("entry %d: %s", f.Sequence, f.Message))
	}
	if len(v.Faults) == 0 {
		s.anchors = append(s.anchors, end)
	}
	return lines
}

func (s *session) show() []string {
	var lines []string
	for _, p := range s.pages() {
		for _, e := range p.Entries {
			lines = append(lines, fmt.Sprintf("page %d entry %d %s at %s: %s from=%d to=%d", p.Number, e.Sequence, e.Actor, e.Instance, e.Action, e.From, e.To))
		}
	}
	return lines
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata", func(t *testing.T) scripter.Session {
		return &session{t: t, platform: &faker.Platform{}, trails: map[string]*auditor.Trail{}}
	})
}

// TestAppendConcurrently checks that concurrent writers on several instances lose and
// duplicate no entry, and that pages stay within their size limit.
func TestAppendConcurrently(t *testing.T) {
	is := is.New(t)
	const writers, entries, pageSize = 4, 25, 4000
	platform := &faker.Platform{}
	var wg sync.WaitGroup
	for w := range writers {
		trail := auditor.New(auditor.Config{Platform: platform, Instance: "entry", PageSize: pageSize})
		wg.Go(func() {
			for i := range entries {
				r := auditor.Record{ID: fmt.Sprintf("%d/%d", w, i), Actor: "ada", Action: auditor.ActionProposed}
				for _, err := trail.Append(t.Context(), r); err != nil; { // repeat until the append succeeds
					_, err = trail.Append(t.Context(), r)
				}
			}
		})
	}
	wg.Wait()
	s := &session{t: t, platform: platform, trails: map[string]*auditor.Trail{}}
	is.Equal(s.verify(), []string{fmt.Sprintf("%d entries, 0 faults", writers*entries)})
	ids := map[string]bool{}
	for _, p := range s.pages() {
		text, err := json.Marshal(p)
		is.NoErr(err)
		is.True(len(text) <= pageSize)
		for _, e := range p.Entries {
			ids[e.ID] = true
		}
	}
	is.Equal(len(ids), writers*entries)
}
