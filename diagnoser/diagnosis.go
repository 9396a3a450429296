package diagnoser

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// How long before and after a request lines still concern it.
const (
	before = 5 * time.Second
	after  = 2 * time.Second
)

// NotFoundError says that no line has a request.
type NotFoundError struct{ Request string }

// Error says what was looked for and what may hide it.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("diagnoser: no line of request %q; it may not have reached these instances, or its lines were dropped (see \"log lines dropped\")", e.Request)
}

// Diagnosis is what became of a request.
type Diagnosis struct {
	Lines   []Line // of the request and of what it depended on, by time
	Verdict string // the outcome in words
}

// Diagnose finds what became of a request. Its error is *NotFoundError.
func Diagnose(request string, lines []Line) (Diagnosis, error) {
	var own []Line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Diagnosis{}, &NotFoundError{Request: request}
	}
	slices.SortStableFunc(own, compare)
	w := newWindow(own)
	out := slices.Clone(own)
	for _, l := range lines {
		if l.Request == "" && w.concerns(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, compare)
	return Diagnosis{Lines: out, Verdict: verdict(own[len(own)-1])}, nil
}

func compare(a, b Line) int { return a.Time.Compare(b.Time) }

// window is what a request had to do with, and when.
type window struct {
	from, to  time.Time
	instances map[string]bool
	endpoints map[string]bool
	groups    map[string]bool
	model     string // whose groups matter; empty if the request found one
	refused   bool   // by what the configuration says
}

func newWindow(own []Line) window {
	first, last := own[0], own[len(own)-1]
	w := window{
		from: first.Time.Add(-first.Age - before), to: last.Time.Add(after),
		instances: map[string]bool{}, endpoints: map[string]bool{}, groups: map[string]bool{}, refused: last.Message == "refused",
	}
	for _, l := range own {
		w.instances[l.Instance] = true
		w.endpoints[l.Endpoint] = l.Endpoint != ""
		w.groups[l.Group] = l.Group != ""
	}
	if last.Outcome == "notRun" {
		_, w.model, _ = strings.Cut(last.Pool, "/")
	}
	return w
}

// concerns reports whether a line of no request tells of what the request depended on.
func (w window) concerns(l Line) bool {
	if l.Time.Before(w.from) || l.Time.After(w.to) {
		return false
	}
	switch l.Message {
	case "group", "target stands still", "target moves again", "engine does not report", "engine reports", "endpoint gone":
		return w.endpoints[l.Endpoint] || w.groups[l.Group]
	case "groups":
		return w.model != "" && l.Model == w.model
	case "configuration in force":
		return w.refused
	case "store lost", "store regained", "instance runs", "instance ends", "stop begins", "log lines dropped":
		return w.instances[l.Instance]
	default:
		return false
	}
}

// verdicts say what the last line of a request means, by outcome and reason.
var verdicts = []struct{ outcome, reason, text string }{
	{"delivered", "", "the whole answer went to the caller; if it was late, look at queued, at the load in placed and at the pauses"},
	{"passed", "", "an endpoint's own error was passed on"},
	{"notRun", "noTarget", "refused, not run: no group or endpoint served this pool; look at groups and endpoint gone"},
	{"notRun", "full", "refused, not run: its turn would have come too late; look at groups, serving against share"},
	{"notRun", "allRefused", "refused, not run: each target refused it before running it; look at what became of their groups"},
	{"notRun", "", "refused, not run, and no further attempt was left"},
	{"unknown", "answerLost", "it may have run and may run once only, so it was not repeated"},
	{"unknown", "", "an attempt had no whole answer, and the reason kept another one from being made"},
	{"callerGone", "", "the caller hung up"},
}

// verdict says what became of the request whose last line this is.
func verdict(last Line) string {
	switch last.Message {
	case "refused":
		return "refused by what the configuration says (" + last.Reason + "), not run; compare the versions in force at all instances"
	case "ended":
	default:
		return "no line says how it ended: the instance was killed, or the line was dropped"
	}
	for _, v := range verdicts {
		if v.outcome == last.Outcome && (v.reason == "" || v.reason == last.Reason) {
			return v.text
		}
	}
	return last.Outcome + " " + last.Reason
}
