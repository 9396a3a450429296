package diagnoser

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Log lines are relevant to a request from marginBefore its arrival to marginAfter its last line.
const (
	marginBefore = 5 * time.Second
	marginAfter  = 2 * time.Second
)

// NotFoundError reports that no log line names Request.
type NotFoundError struct{ Request string }

// Error names the request and the reasons why its lines can be missing.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("diagnoser: no line of request %q; it may not have reached these instances, or its lines were dropped (see \"log lines dropped\")", e.Request)
}

// Diagnosis explains the outcome of a request.
type Diagnosis struct {
	Lines   []Line // lines of the request and of what it depended on, in order of time
	Verdict string // explanation of the outcome
}

// Diagnose explains the outcome of a request. The error is a *NotFoundError if no line names
// the request.
func Diagnose(request string, lines []Line) (Diagnosis, error) {
	var requestLines []Line
	for _, l := range lines {
		if l.Request == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return Diagnosis{}, &NotFoundError{Request: request}
	}
	slices.SortStableFunc(requestLines, compareTime)
	s := newScope(requestLines)
	out := slices.Clone(requestLines)
	for _, l := range lines {
		if l.Request == "" && s.isRelevant(l) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, compareTime)
	return Diagnosis{Lines: out, Verdict: findVerdict(lastOfCaller(requestLines))}, nil
}

// lastOfCaller returns the last line of the instance that accepted the request, which answered its caller, or the last line if there
// are lines of its peer only.
func lastOfCaller(requestLines []Line) Line {
	for _, l := range slices.Backward(requestLines) {
		if l.From == "" {
			return l
		}
	}
	return requestLines[len(requestLines)-1]
}

func compareTime(a, b Line) int { return a.Time.Compare(b.Time) }

// scope selects the log lines without a request that are relevant to one request: its time
// span, and the instances, endpoints, groups and fingerprints that its lines name.
type scope struct {
	from, to      time.Time
	instances     map[string]bool
	endpoints     map[string]bool
	groups        map[string]bool
	fingerprints  map[string]bool
	model         string // model whose group counts are relevant; empty unless the request was not run
	configRefused bool   // the configuration caused the refusal
}

func newScope(requestLines []Line) scope {
	first, last := requestLines[0], lastOfCaller(requestLines)
	s := scope{
		from: first.Time.Add(-first.Age - marginBefore), to: requestLines[len(requestLines)-1].Time.Add(marginAfter),
		instances: map[string]bool{}, endpoints: map[string]bool{}, groups: map[string]bool{}, fingerprints: map[string]bool{}, configRefused: last.Message == "refused",
	}
	for _, l := range requestLines {
		s.instances[l.Instance] = true
		s.endpoints[l.Endpoint] = l.Endpoint != ""
		s.groups[l.Group] = l.Group != ""
		s.fingerprints[l.Fingerprint] = l.Fingerprint != ""
	}
	if last.Outcome == "notRun" {
		_, s.model, _ = strings.Cut(last.Pool, "/")
	}
	return s
}

// isRelevant reports whether l, a line that names no request, is about something that the
// request depended on.
func (s scope) isRelevant(l Line) bool {
	if l.Time.After(s.to) {
		return false
	}
	if l.Message == "request under which endpoints ended" { // may date from an earlier try
		return s.fingerprints[l.Fingerprint]
	}
	if l.Time.Before(s.from) {
		return false
	}
	switch l.Message {
	case "group", "target stands still", "target moves again", "engine does not report", "engine reports", "endpoint gone":
		return s.endpoints[l.Endpoint] || s.groups[l.Group]
	case "groups":
		return s.model != "" && l.Model == s.model
	case "configuration in force":
		return s.configRefused
	case "store lost", "store regained", "instance runs", "instance ends", "stop begins", "log lines dropped",
		"instance is cut off from endpoints", "peers reach endpoints that this instance does not", "instance reaches its endpoints again":
		return s.instances[l.Instance]
	default:
		return false
	}
}

// verdicts maps the outcome and reason in the last line of a request to an explanation. The
// first match applies; an empty reason matches any reason.
var verdicts = []struct{ outcome, reason, text string }{
	{"delivered", "", "the whole answer went to the caller; if it was late, look at queued, at the load in placed and at the pauses"},
	{"passed", "", "an endpoint's own error was passed on"},
	{"notRun", "noTarget", "refused, not run: no group or endpoint served this pool; look at groups and endpoint gone"},
	{"notRun", "cutOff", "refused, not run: the instance had lost its links to most endpoints, and no peer that it asked reached one; look at instance is cut off from endpoints, at all instances"},
	{"notRun", "full", "refused, not run: its turn would have come too late; look at groups, serving against share"},
	{"notRun", "allRefused", "refused, not run: each target refused it before running it; look at what became of their groups"},
	{"notRun", "quarantined", "refused, not run: two endpoints ended while they ran this request, and it is held back for an hour; look at request under which endpoints ended"},
	{"notRun", "suspected", "refused, not run: an endpoint ended while it ran this request, and another copy ran or a second endpoint was being checked"},
	{"notRun", "", "refused, not run, and no further attempt was left"},
	{"unknown", "answerLost", "it may have run and may run once only, so it was not repeated"},
	{"unknown", "quarantined", "endpoints ended while they ran this request, so it was not sent to another one"},
	{"unknown", "", "an attempt had no whole answer, and the reason kept another one from being made"},
	{"callerGone", "", "the caller hung up"},
}

// findVerdict explains the outcome of the request whose last line is last.
func findVerdict(last Line) string {
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
