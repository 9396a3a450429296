package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Bounds of the promises.
const (
	calmTime   = 4 * time.Second        // without trouble, after which an instance has to keep bounds of time
	configTime = 2 * time.Second        // from the store's answer until a configuration is in force
	answerSlip = 500 * time.Millisecond // beyond a request's deadline until its last byte
)

// verdict holds the record against the promises, with how often engines ran each request.
func (r *record) verdict(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.wrong)
	known := map[string]bool{}
	for _, s := range r.all {
		known[s.id] = true
		if why := r.judge(s, runs[s.id]); why != "" {
			out = append(out, fmt.Sprintf("request %s at instance %d, sent %s: %s", s.id, s.instance, s.at.Format("05.000"), why))
		}
	}
	for id := range runs {
		if !known[id] {
			out = append(out, fmt.Sprintf("an engine ran %q, which no caller sent", id))
		}
	}
	return out
}

// judge returns which promise was broken for a request, or "".
func (r *record) judge(s sent, runs int) string {
	switch {
	case s.wrong != "":
		return s.wrong
	case s.plain && runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case s.plain && saysNotRun(s.status) && runs > 0:
		return fmt.Sprintf("answered %d, and ran", s.status)
	case saysNotRun(s.status) && s.retry == "":
		return fmt.Sprintf("answered %d without a time to come back", s.status)
	case s.status == http.StatusUnauthorized && !s.second:
		return "refused with a key that was always valid"
	case s.end.Sub(s.at) > deadline+answerSlip && r.isCalm(s.instance, s.at.Add(-calmTime), s.end):
		return fmt.Sprintf("answered after %s", s.end.Sub(s.at))
	case s.second && runs > 0 && r.isRevoked(s):
		return "ran with a key that was taken away"
	}
	return ""
}

// saysNotRun reports whether a status promises that the request has not run.
func saysNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isRevoked reports whether the second key was out of force for long when s was sent, at an
// instance that was not in trouble.
func (r *record) isRevoked(s sent) bool {
	valid, since := false, time.Time{}
	for _, k := range r.keys {
		if k.at.Before(s.at) {
			valid, since = k.valid, k.at
		}
	}
	return !valid && s.at.Sub(since) > configTime && r.isCalm(s.instance, s.at.Add(-calmTime), s.at)
}
