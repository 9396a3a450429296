package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// Problem is an error as the caller gets it, in the form of RFC 9457.
type Problem struct {
	Title   string                   `json:"title"`
	Status  int                      `json:"status"`
	Reason  string                   `json:"reason"` // a code in camel case
	Detail  string                   `json:"detail"`
	Errors  []bundler.Problem        `json:"errors,omitempty"`
	InForce identifier.BundleVersion `json:"inForce,omitempty"` // the version that won a conflict
}

// Error returns the reason and the detail.
func (p *Problem) Error() string { return fmt.Sprintf("administrator: %s: %s", p.Reason, p.Detail) }

// problemOf turns the errors of the slices into problems.
func problemOf(err error) *Problem {
	var (
		known       *Problem
		invalid     *bundler.InvalidError
		conflict    *bundler.ConflictError
		reused      *bundler.ReusedVersionError
		signOff     *bundler.SignOffError
		document    *bundler.DocumentError
		noBundle    *bundler.NotFoundError
		unsettled   *bundler.UnsettledError
		unavailable *storeclient.UnavailableError
		unknown     *storeclient.UnknownError
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &invalid):
		return &Problem{Status: http.StatusUnprocessableEntity, Reason: "invalidBundle", Detail: fmt.Sprintf("the bundle has %d faults", len(invalid.Problems)), Errors: invalid.Problems}
	case errors.As(err, &conflict):
		return &Problem{Status: http.StatusConflict, Reason: "conflict", Detail: plain(conflict), InForce: conflict.InForce}
	case errors.As(err, &reused):
		return &Problem{Status: http.StatusConflict, Reason: "versionReused", Detail: plain(reused)}
	case errors.As(err, &signOff):
		return &Problem{Status: http.StatusForbidden, Reason: "signOffRefused", Detail: plain(signOff)}
	case errors.As(err, &document):
		return &Problem{Status: http.StatusUnprocessableEntity, Reason: "badDocument", Detail: plain(document)}
	case errors.As(err, &noBundle):
		return &Problem{Status: http.StatusNotFound, Reason: "noBundle", Detail: plain(noBundle)}
	case errors.As(err, &unsettled):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "unsettled", Detail: plain(unsettled)}
	case errors.As(err, &unknown):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "unsettled", Detail: "the platform's answer was lost; repeat the call, which is safe"}
	case errors.As(err, &unavailable):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "platformUnavailable", Detail: "nothing was changed; try again once the platform's service answers"}
	}
	return &Problem{Status: http.StatusInternalServerError, Reason: "internal", Detail: "see the instance's log"}
}

// plain returns err's text without the package's prefix.
func plain(err error) string {
	_, text, _ := strings.Cut(err.Error(), ": ")
	return text
}

// fail answers with the problem of err.
func (h *handler) fail(w http.ResponseWriter, r *http.Request, operator string, err error) {
	p := problemOf(err)
	p.Title = http.StatusText(p.Status)
	level := h.cfg.Logger.Info()
	if p.Status >= http.StatusInternalServerError {
		level = h.cfg.Logger.Error()
	}
	level.Str("operator", operator).Str("method", r.Method).Str("path", r.URL.Path).Int("status", p.Status).
		Str("reason", p.Reason).Err(err).Msg("administrator: call failed")
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "5")
	}
	writeJSON(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "not encodable", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(text, '\n')) // a caller that has gone needs no answer
}

// bearer returns the token of an Authorization header.
func bearer(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}
