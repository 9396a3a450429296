package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Time bounds of the guarantees.
const (
	stableTime         = 4 * time.Second        // without disruption, after which an instance must keep time bounds
	configurationDelay = 2 * time.Second        // from the store's answer to the write until a configuration must be in force
	answerSlack        = 500 * time.Millisecond // after a request's deadline, within which its answer must end
)

// findViolations returns the violations that were recorded, and those that follow from the
// requests and from how often engines ran each request (runs).
func (r *record) findViolations(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.violations)
	known := map[string]bool{}
	for _, s := range r.requests {
		known[s.id] = true
		if violation := r.checkRequest(s, runs[s.id]); violation != "" {
			out = append(out, fmt.Sprintf("request %s at instance %d, sent %s: %s", s.id, s.instance, s.sentAt.Format("05.000"), violation))
		}
	}
	for id := range runs {
		if !known[id] {
			out = append(out, fmt.Sprintf("an engine ran %q, which no caller sent", id))
		}
	}
	return out
}

// checkRequest describes the guarantee that was broken for a request, or returns "".
func (r *record) checkRequest(s sentRequest, runs int) string {
	switch {
	case s.defect != "":
		return s.defect
	case s.plain && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case s.plain && guaranteesNotRun(s.status) && runs > 0:
		return fmt.Sprintf("answered %d, and ran", s.status)
	case guaranteesNotRun(s.status) && s.retryAfter == "":
		return fmt.Sprintf("answered %d without a time to come back", s.status)
	case s.status == http.StatusUnauthorized && !s.withSecondKey:
		return "refused with a key that was always valid"
	case !s.silenced && s.endedAt.Sub(s.sentAt) > deadline+answerSlack && r.isStable(s.instance, s.sentAt.Add(-stableTime), s.endedAt):
		return fmt.Sprintf("answered after %s", s.endedAt.Sub(s.sentAt))
	case s.withSecondKey && runs > 0 && r.hadRevokedKey(s):
		return "ran with a key that was taken away"
	}
	return ""
}

// guaranteesNotRun reports whether a status guarantees that the request was not run.
func guaranteesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// hadRevokedKey reports whether the second key had been invalid for more than
// configurationDelay when s was sent, at an instance that had been stable for stableTime.
func (r *record) hadRevokedKey(s sentRequest) bool {
	valid, since := false, time.Time{}
	for _, k := range r.keyChanges {
		if k.at.Before(s.sentAt) {
			valid, since = k.valid, k.at
		}
	}
	return !valid && s.sentAt.Sub(since) > configurationDelay && r.isStable(s.instance, s.sentAt.Add(-stableTime), s.sentAt)
}
