package router_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/router"
)

// session applies a script to the Routers of several instances. The argument "in" names the
// instance. Suspicions reach the other instances at once unless the script cut the links.
type session struct {
	cores   map[string]*router.Router
	order   []string
	targets []router.Target
	cut     bool
}

func (s *session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	switch ev.Name {
	case "cut":
		s.cut = true
		return nil, nil
	case "target":
		s.report(now, ev)
		return s.stepAll(now, router.TargetsSet{Targets: s.targets}), nil
	}
	e, err := parseEvent(now, ev)
	if err != nil {
		return nil, err
	}
	return s.step(now, ev.Str("in"), e), nil
}

// report adds or replaces the target that an event describes.
func (s *session) report(now time.Time, ev scripter.Event) {
	t := router.Target{
		ID: ev.Str("id"), Pool: "guides", Epoch: identifier.Epoch(ev.Int("epoch")), Adapters: ev.List("adapters"),
		Ready: !ev.Bool("down"), Leaving: ev.Bool("leaving"), Slow: ev.Bool("slow"),
		InFlight: ev.Int("inFlight"), Capacity: ev.Int("capacity"), ReportedAt: now.Add(-ev.Duration("lag")),
	}
	s.targets = slices.DeleteFunc(slices.Clone(s.targets), func(o router.Target) bool { return o.ID == t.ID })
	s.targets = append(s.targets, t)
}

func (s *session) stepAll(now time.Time, e router.Event) []string {
	var out []string
	s.core("")
	for _, in := range s.order {
		out = append(out, s.step(now, in, e)...)
	}
	return out
}

func (s *session) step(now time.Time, in string, e router.Event) []string {
	var out []string
	for _, a := range slices.Clone(s.core(in).Step(now, e)) {
		if line := describe(a); line != "" {
			out = append(out, strings.TrimSpace(in+" "+line))
		}
		if suspect, ok := a.(router.Suspect); ok && !s.cut {
			for _, other := range s.order {
				if other != in {
					s.core(other).Step(now, router.SuspicionReceived(suspect))
				}
			}
		}
	}
	return out
}

func (s *session) core(in string) *router.Router {
	if s.cores[in] == nil {
		s.cores[in] = router.New(router.Config{RetryBurst: 2})
		s.order = append(s.order, in)
	}
	return s.cores[in]
}

var endings = map[string]router.Ending{
	"whole": router.Completed{}, "notSent": router.NotSent{}, "refused": router.Refused{Status: 503}, "broken": router.Broken{},
	"failed": router.Failed{Status: 500}, "mismatched": router.Mismatched{}, "callerGone": router.CallerGone{}, "expired": router.Expired{},
}

var kinds = map[string]router.Kind{"": router.KindModel, "repeatable": router.KindRepeatable, "nonIdempotent": router.KindNonIdempotent}

func parseEvent(now time.Time, ev scripter.Event) (router.Event, error) {
	ref := router.Ref(ev.Int("ref"))
	switch ev.Name {
	case "request":
		within := ev.Duration("within")
		if !ev.Has("within") {
			within = time.Minute
		}
		req := &router.Request{Pool: "guides", Kind: kinds[ev.Str("kind")], Adapter: ev.Str("adapter"), Deadline: now.Add(within), Hops: ev.Int("hops")}
		var prefix []uint64
		for i := range ev.Int("blocks") {
			prefix = append(prefix, uint64(ev.Int("prompt")*1000+i))
		}
		return router.Arrived{Ref: ref, Request: req, Fingerprint: uint64(ev.Int("fingerprint")), Prefix: prefix}, nil
	case "end":
		delivered := ev.Int("delivered")
		return router.Ended{
			Ref: ref, Attempt: ev.Int("attempt"), Ending: endings[ev.Str("as")],
			Delivered: delivered, Started: delivered > 0, Unresumable: ev.Bool("fixed"),
		}, nil
	case "wake":
		return router.WaitElapsed{Ref: ref}, nil
	case "gone":
		return router.WaitCanceled{Ref: ref}, nil
	case "instances":
		return router.InstanceCountSet{Count: ev.Int("count")}, nil
	case "remote":
		pool := router.RemotePool{Pool: "guides", Free: ev.Int("free"), Capacity: ev.Int("capacity")}
		return router.RemoteSet{Instance: identifier.Instance(ev.Str("id")), Pools: []router.RemotePool{pool}}, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

func describe(a router.Action) string {
	switch a := a.(type) {
	case router.Dispatch:
		return fmt.Sprintf("dispatch ref=%d attempt=%d to=%s resume=%d", a.Ref, a.Attempt, a.Target.ID, a.ResumeFrom)
	case router.Forward:
		return fmt.Sprintf("forward ref=%d attempt=%d to=%s", a.Ref, a.Attempt, a.Instance)
	case router.Wait:
		return fmt.Sprintf("wait ref=%d until=%v", a.Ref, a.Until.Sub(scripter.Start))
	case router.Suspect:
		return fmt.Sprintf("suspect fingerprint=%d lost=%v", a.Suspicion.Fingerprint, a.Suspicion.LostTargets)
	case router.Finish:
		return fmt.Sprintf("finish ref=%d %s", a.Ref, describeOutcome(a.Outcome))
	}
	return ""
}

func describeOutcome(o router.Outcome) string {
	switch o := o.(type) {
	case router.NotRun:
		return fmt.Sprintf("notRun status=%d reason=%s retryAfter=%v", o.Status, o.Reason, o.RetryAfter)
	case router.Unknown:
		return fmt.Sprintf("unknown status=%d reason=%s retryAfter=%v", o.Status, o.Reason, o.RetryAfter)
	}
	return "answered"
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return &session{cores: map[string]*router.Router{}}
	})
}
