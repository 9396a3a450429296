package quarantiner_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
)

// session drives a Quarantiner by a script. A tick that the Quarantiner requested is delivered
// before the first event at or after its time.
type session struct {
	core      *quarantiner.Quarantiner
	endpoints []endpointlister.Endpoint
	wakeAt    time.Time
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{core: quarantiner.New(quarantiner.Config{})}
	})
}

// Handle applies ev at now and returns the actions.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	var out []string
	for !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		at := s.wakeAt
		s.wakeAt = time.Time{}
		out = append(out, s.step(at, quarantiner.Ticked{})...)
	}
	e, err := s.event(ev)
	if err != nil || e == nil {
		return out, err
	}
	return append(out, s.step(now, e)...), nil
}

func (s *session) event(ev scripter.Event) (quarantiner.Event, error) {
	fp, kind := identifier.Fingerprint(ev.Int("request")), quarantiner.KindRequest
	if ev.Has("part") {
		fp, kind = identifier.Fingerprint(ev.Int("part")), quarantiner.KindPart
	}
	process := processOf(ev.Str("process"))
	switch ev.Name {
	case "listed", "draining", "delisted":
		s.setEndpoint(ev.Name, process)
		return quarantiner.EndpointsChanged{Complete: true, Changed: slices.Clone(s.endpoints)}, nil
	case "started":
		return quarantiner.AttemptStarted{Fingerprint: fp, Parts: partsOf(ev.List("parts")), Process: process}, nil
	case "ended":
		result, err := resultOf(ev.Str("as"))
		return quarantiner.AttemptEnded{Fingerprint: fp, Parts: partsOf(ev.List("parts")), Process: process, Result: result}, err
	case "checked":
		return quarantiner.ConnectionChecked{Process: process, Accepted: ev.Bool("accepted")}, nil
	case "report":
		r := quarantiner.Report{Fingerprint: fp, Kind: kind, Cleared: ev.Bool("cleared")}
		for _, p := range ev.List("losses") {
			r.Losses = append(r.Losses, processOf(p))
		}
		return quarantiner.ReportReceived{Report: r}, nil
	case "stored":
		return quarantiner.LossStored{Fingerprint: fp, Kind: kind, Process: process, Revision: uint64(ev.Int("revision"))}, nil
	case "deleted":
		return quarantiner.LossDeleted{Fingerprint: fp, Kind: kind, Process: process}, nil
	case "unacknowledged":
		return quarantiner.AnnouncementFailed{Fingerprint: fp}, nil
	case "refused":
		return quarantiner.RequestRefused{Fingerprint: fp}, nil
	case "lifted":
		return quarantiner.QuarantineLifted{Fingerprint: fp}, nil
	case "store":
		return quarantiner.StoreHealthSet{Lost: ev.Bool("lost")}, nil
	case "pass":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

// partsOf returns the parts with the given fingerprints.
func partsOf(fingerprints []string) []quarantiner.Part {
	var out []quarantiner.Part
	for _, text := range fingerprints {
		fp, _ := strconv.Atoi(text) // a malformed fingerprint is zero
		out = append(out, quarantiner.Part{Fingerprint: identifier.Fingerprint(fp), ID: identifier.Part("id" + text)})
	}
	return out
}

// processOf parses "<endpoint>/<start>".
func processOf(text string) identifier.Process {
	id, start, _ := strings.Cut(text, "/")
	var p identifier.Process
	p.Endpoint = identifier.Endpoint(id)
	_, _ = fmt.Sscan(start, &p.Start) // an absent start is zero
	return p
}

func resultOf(name string) (quarantiner.Result, error) {
	results := map[string]quarantiner.Result{
		"answered": quarantiner.ResultAnswered, "undelimited": quarantiner.ResultUndelimited, "notRun": quarantiner.ResultNotRun,
		"unanswered": quarantiner.ResultUnanswered, "broken": quarantiner.ResultBroken,
	}
	r, ok := results[name]
	if !ok {
		return 0, fmt.Errorf("unknown result %q", name)
	}
	return r, nil
}

func (s *session) setEndpoint(state string, p identifier.Process) {
	s.endpoints = slices.DeleteFunc(slices.Clone(s.endpoints), func(e endpointlister.Endpoint) bool { return e.ID == p.Endpoint })
	if state != "delisted" {
		s.endpoints = append(s.endpoints, endpointlister.Endpoint{
			ID: p.Endpoint, ProcessStart: p.Start, Draining: state == "draining", Address: netip.MustParseAddrPort("10.1.0.7:9000"),
		})
	}
	slices.SortFunc(s.endpoints, func(a, b endpointlister.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *session) step(now time.Time, e quarantiner.Event) []string {
	var out []string
	for _, a := range s.core.Step(now, e) {
		if w, ok := a.(quarantiner.WakeAt); ok {
			s.wakeAt = w.At
		} else {
			out = append(out, fmt.Sprintf("%s: %s", now.Sub(scripter.Start), describe(a)))
		}
	}
	return out
}

func describe(a quarantiner.Action) string {
	switch a := a.(type) {
	case quarantiner.CheckConnection:
		return "check " + nameOf(a.Process)
	case quarantiner.Restrict:
		line := fmt.Sprintf("restrict %d %s", a.Fingerprint, a.Restriction)
		if !a.Until.IsZero() {
			line += fmt.Sprintf(" until %s", a.Until.Sub(scripter.Start))
		}
		return line
	case quarantiner.Announce:
		if a.Report.Cleared {
			return fmt.Sprintf("announce %d cleared", a.Report.Fingerprint)
		}
		var losses []string
		for _, p := range a.Report.Losses {
			losses = append(losses, nameOf(p))
		}
		return fmt.Sprintf("announce %d %s", a.Report.Fingerprint, strings.Join(losses, " "))
	case quarantiner.StoreLoss:
		return fmt.Sprintf("store %d %s", a.Fingerprint, nameOf(a.Process))
	case quarantiner.DeleteLoss:
		return fmt.Sprintf("delete %d %s revision=%d", a.Fingerprint, nameOf(a.Process), a.Revision)
	case quarantiner.LogDecision:
		return strings.TrimSpace(fmt.Sprintf("%s %d %s %s", a.Decision, a.Fingerprint, nameOf(a.Process), a.Source))
	}
	return ""
}

func nameOf(p identifier.Process) string {
	if p.Endpoint == "" {
		return ""
	}
	return fmt.Sprintf("%s/%d", p.Endpoint, p.Start)
}
