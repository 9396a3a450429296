package scheduler_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/scheduler"
)

// session drives a Scheduler by a script. A tick that the Scheduler requested is delivered
// before the first event at or after its time.
type session struct {
	core    *scheduler.Scheduler
	targets []scheduler.Target
	refs    map[string]scheduler.Ref
	names   map[scheduler.Ref]string
	wakeAt  time.Time
	probed  map[string]*scheduler.Target // by endpoint
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{
			core: scheduler.New(scheduler.Config{Instance: "a1", FailureDomain: "here", RetryRatio: 0.2, RetrySlack: 4, FirstStart: true, ColdExcess: 1.5, ColdSlack: 5}),
			refs: map[string]scheduler.Ref{}, names: map[scheduler.Ref]string{}, probed: map[string]*scheduler.Target{},
		}
	})
}

// Handle applies ev at now and returns the actions.
func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	var out []string
	for !s.wakeAt.IsZero() && !s.wakeAt.After(now) {
		at := s.wakeAt
		s.wakeAt = time.Time{}
		out = append(out, s.step(at, scheduler.Ticked{})...)
	}
	e, err := s.event(now, ev)
	if err != nil || e == nil {
		return out, err
	}
	return append(out, s.step(now, e)...), nil
}

func (s *session) event(now time.Time, ev scripter.Event) (scheduler.Event, error) {
	ref := s.ref(ev.Str("id"))
	load := scheduler.Load{Running: ev.Int("running"), Waiting: ev.Int("waiting"), Slots: ev.Int("slots")}
	switch ev.Name {
	case "target":
		s.setTarget(now, ev)
		return scheduler.TargetsChanged{Complete: true, Changed: slices.Clone(s.targets)}, nil
	case "removed":
		s.targets = slices.DeleteFunc(s.targets, func(t scheduler.Target) bool { return string(t.ID) == ev.Str("endpoint") })
		return scheduler.TargetsChanged{Complete: true, Changed: slices.Clone(s.targets)}, nil
	case "arrived":
		return scheduler.Arrived{Ref: ref, Request: request(now, ev)}, nil
	case "event":
		return scheduler.Progressed{Ref: ref, Attempt: attempt(ev), Event: true, Load: load}, nil
	case "ended":
		end, err := ending(ev)
		return scheduler.Ended{Ref: ref, Attempt: attempt(ev), Ending: end, Load: load}, err
	case "stated":
		process := identifier.Process{Endpoint: identifier.Endpoint(ev.Str("endpoint")), Start: identifier.ProcessStart(ev.Int("processStart"))}
		return scheduler.ProcessStated{Process: process, Leaving: ev.Bool("leaving"), ClosedFor: ev.Duration("closedFor"), Limit: limitStatement(ev), ColdFor: ev.Duration("coldFor"), SentAt: now.Add(-ev.Duration("sentAgo"))}, nil
	case "processEnded":
		return scheduler.ProcessEnded{Process: identifier.Process{Endpoint: identifier.Endpoint(ev.Str("endpoint")), Start: identifier.ProcessStart(ev.Int("processStart"))}}, nil
	case "instances":
		var instances []scheduler.Instance
		for _, name := range ev.List("names") {
			instances = append(instances, scheduler.Instance{Name: identifier.Instance(name), FailureDomain: identifier.FailureDomain(name[:1])})
		}
		return scheduler.InstancesSet{Instances: instances}, nil
	case "news":
		perSecond, err := strconv.ParseFloat(ev.Str("limit"), 64)
		process := identifier.Process{Endpoint: identifier.Endpoint(ev.Str("endpoint"))}
		news := scheduler.LimitNews{Process: process, PerSecond: perSecond, Age: ev.Duration("age"), ColdFor: ev.Duration("coldFor")}
		if news.ColdFor > 0 {
			news.Source = scheduler.LimitColdAnswer
		}
		return scheduler.LimitsReported{News: []scheduler.LimitNews{news}}, err
	case "restricted":
		return restriction(now, ev)
	case "peerAnswered":
		return scheduler.PeerAnswered{Process: identifier.Process{Endpoint: identifier.Endpoint(ev.Str("endpoint"))}}, nil
	case "probed":
		t := s.probed[ev.Str("endpoint")]
		if t == nil {
			return nil, fmt.Errorf("endpoint %q is not being probed", ev.Str("endpoint"))
		}
		delete(s.probed, ev.Str("endpoint"))
		return scheduler.Probed{Target: t, Answered: ev.Bool("answered")}, nil
	case "callerLeft":
		return scheduler.CallerLeft{Ref: ref}, nil
	case "stopping":
		return scheduler.Stopping{At: now.Add(ev.Duration("in"))}, nil
	case "pass":
		return nil, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

// limitStatement returns what the answer of a script's line says about a limit: that there is none if it
// says limit=none, and nothing if it does not mention one.
func limitStatement(ev scripter.Event) scheduler.LimitStatement {
	perSecond, err := strconv.ParseFloat(ev.Str("limit"), 64)
	return scheduler.LimitStatement{IsKnown: err == nil || ev.Str("limit") == "none", PerSecond: perSecond}
}

func restriction(now time.Time, ev scripter.Event) (scheduler.Event, error) {
	e := scheduler.RestrictionSet{Fingerprint: identifier.Fingerprint(ev.Int("fingerprint")), Tied: ev.Int("tied")}
	for r := scheduler.Unrestricted; r <= scheduler.Quarantined; r++ {
		if r.String() != ev.Str("to") {
			continue
		}
		e.Restriction = r
		if r == scheduler.Quarantined || r == scheduler.OnTrial {
			e.Until = now.Add(ev.Duration("for"))
		}
		return e, nil
	}
	return nil, fmt.Errorf("unknown restriction %q", ev.Str("to"))
}

func (s *session) ref(name string) scheduler.Ref {
	if name != "" && s.refs[name] == 0 {
		s.refs[name] = scheduler.Ref(len(s.refs) + 1)
		s.names[s.refs[name]] = name
	}
	return s.refs[name]
}

func attempt(ev scripter.Event) int { return max(ev.Int("attempt"), 1) }

// setTarget adds or replaces a target.
func (s *session) setTarget(now time.Time, ev scripter.Event) {
	t := scheduler.Target{
		ID: identifier.Endpoint(ev.Str("endpoint")), Pool: "guides", FailureDomain: "here", Slots: 4,
		ProcessStart: identifier.ProcessStart(ev.Int("processStart")), Group: identifier.Group(ev.Str("group")), Epoch: identifier.Epoch(ev.Int("epoch")), MemberMissing: ev.Bool("memberMissing"), SpansFabricDomains: ev.Bool("spansFabricDomains"), Evacuated: ev.Bool("evacuated"),
	}
	if ev.Has("coldLimit") {
		t.ColdLimit, t.ColdUntil = float64(ev.Int("coldLimit")), now.Add(ev.Duration("coldFor"))
	}
	if ev.Has("domain") {
		t.FailureDomain = identifier.FailureDomain(ev.Str("domain"))
	}
	s.targets = slices.DeleteFunc(slices.Clone(s.targets), func(o scheduler.Target) bool { return o.ID == t.ID })
	s.targets = append(s.targets, t)
}

// request returns the request of an arrival: a resumable stream unless the script's line sets another kind.
func request(now time.Time, ev scripter.Event) scheduler.Request {
	q := scheduler.Request{
		Fingerprint: identifier.Fingerprint(ev.Int("fingerprint")), Service: "guides", Pool: "guides", Repeatable: true, Stream: true, ArrivedAt: now, LatencyGoal: 400 * time.Millisecond,
		GapGoal: 200 * time.Millisecond, Deadline: now.Add(8 * time.Second), MaxAttempts: 2, Priority: ev.Int("priority"), PromptTokens: ev.Int("prompt"),
		ViaPeer: ev.Bool("viaPeer"), MinRunDelay: ev.Duration("minRunDelay"),
	}
	for _, id := range ev.List("avoid") {
		q.Avoid = append(q.Avoid, identifier.Endpoint(id))
	}
	for _, part := range ev.List("parts") {
		fp, _ := strconv.Atoi(part) // a malformed part is zero
		q.Parts = append(q.Parts, identifier.Fingerprint(fp))
	}
	switch ev.Str("kind") {
	case "nonIdempotent":
		q.Repeatable, q.Stream, q.MaxAttempts = false, false, 1
	case "idempotent":
		q.Stream = false
	}
	if ev.Has("pool") {
		q.Pool = identifier.Pool(ev.Str("pool"))
	}
	if ev.Has("timeout") {
		q.Deadline = now.Add(ev.Duration("timeout"))
	}
	return q
}

func ending(ev scripter.Event) (scheduler.Ending, error) {
	switch name := ev.Str("as"); name {
	case "completed":
		return scheduler.Completed{}, nil
	case "notSent":
		return scheduler.NotSent{}, nil
	case "refused":
		return scheduler.Refused{Status: 503, Misdirected: ev.Bool("misdirected")}, nil
	case "failed":
		return scheduler.Failed{Status: 500}, nil
	case "peerRefused":
		return scheduler.PeerRefused{Reason: scheduler.Reason(ev.Str("reason")), RetryAfter: ev.Duration("after")}, nil
	case "broken":
		return scheduler.Broken{}, nil
	case "abandoned":
		return scheduler.Abandoned{}, nil
	case "expired":
		return scheduler.Expired{}, nil
	default:
		return nil, fmt.Errorf("unknown ending %q", name)
	}
}

func (s *session) step(now time.Time, e scheduler.Event) []string {
	var out []string
	for _, a := range s.core.Step(now, e) {
		if w, ok := a.(scheduler.WakeAt); ok {
			s.wakeAt = w.At
		} else if line := s.describe(a); line != "" {
			out = append(out, fmt.Sprintf("%s: %s", now.Sub(scripter.Start), line))
		}
	}
	return out
}

func (s *session) describe(a scheduler.Action) string {
	switch a := a.(type) {
	case scheduler.Send:
		if a.Peer != "" {
			return fmt.Sprintf("send %s attempt=%d through %s", s.names[a.Ref], a.Attempt, a.Peer)
		}
		return fmt.Sprintf("send %s attempt=%d to %s", s.names[a.Ref], a.Attempt, a.Target.ID)
	case scheduler.Abandon:
		return fmt.Sprintf("abandon %s attempt=%d %s", s.names[a.Ref], a.Attempt, a.Reason)
	case scheduler.Wait:
		return fmt.Sprintf("wait %s %s until %s", s.names[a.Ref], a.Reason, a.Until.Sub(scripter.Start))
	case scheduler.Finish:
		return fmt.Sprintf("finish %s %s", s.names[a.Ref], describeOutcome(a.Outcome))
	case scheduler.Stalled:
		return fmt.Sprintf("stalled %s", a.Target.ID)
	case scheduler.ReachChanged:
		if a.Confirmed {
			return "cutOff=confirmed"
		}
		return fmt.Sprintf("cutOff=%t unreachable=%d answering=%d", a.CutOff, a.Unreachable, a.Answering)
	case scheduler.Probe:
		s.probed[string(a.Target.ID)] = a.Target
		return fmt.Sprintf("probe %s", a.Target.ID)
	case scheduler.LeavingStated:
		return fmt.Sprintf("leaving %s", a.Process.Endpoint)
	case scheduler.LimitChanged:
		return fmt.Sprintf("limit of %s is %v", a.Process.Endpoint, a.PerSecond)
	case scheduler.ColdChanged:
		if a.PerSecond == 0 {
			return fmt.Sprintf("warm %s", a.Process.Endpoint)
		}
		return fmt.Sprintf("cold %s limit=%v until %s from %s", a.Process.Endpoint, a.PerSecond, a.Until.Sub(scripter.Start), a.Source)
	case scheduler.ColdSkipped:
		return fmt.Sprintf("cold limits skip %d", a.Targets)
	case scheduler.LimitReport:
		line := "limits"
		for _, n := range a.News {
			line += fmt.Sprintf(" %s=%v(%s)", n.Process.Endpoint, n.PerSecond, n.Age)
			if n.ColdFor > 0 {
				line += fmt.Sprintf("[%s %s]", n.Source, n.ColdFor)
			}
		}
		return line
	case scheduler.Recovered:
		return fmt.Sprintf("recovered %s", a.Target.ID)
	}
	return ""
}

func describeOutcome(o scheduler.Outcome) string {
	switch o := o.(type) {
	case scheduler.Delivered:
		return "delivered"
	case scheduler.PassedThrough:
		return fmt.Sprintf("passed %d", o.Status)
	case scheduler.NotRun:
		return strings.TrimSpace(fmt.Sprintf("notRun %s after %s", o.Reason, o.RetryAfter))
	case scheduler.Unknown:
		return fmt.Sprintf("unknown %s", o.Reason)
	case scheduler.CallerGone:
		return "callerGone"
	}
	return ""
}
