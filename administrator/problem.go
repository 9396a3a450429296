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

// Problem is an error in the form of RFC 9457 that callers receive.
type Problem struct {
	Title   string                   `json:"title"`
	Status  int                      `json:"status"`
	Reason  string                   `json:"reason"` // error code in camel case
	Detail  string                   `json:"detail"`
	Errors  []bundler.Problem        `json:"errors,omitempty"`
	InForce identifier.BundleVersion `json:"inForce,omitempty"` // the version in force, if it caused a conflict
}

// Error returns the reason and the detail.
func (p *Problem) Error() string { return fmt.Sprintf("administrator: %s: %s", p.Reason, p.Detail) }

// newProblem converts an error of packages bundler and storeclient to a Problem. Another error
// becomes an internal error without detail.
func newProblem(err error) *Problem {
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
		return &Problem{Status: http.StatusConflict, Reason: "conflict", Detail: trimPackage(conflict), InForce: conflict.InForce}
	case errors.As(err, &reused):
		return &Problem{Status: http.StatusConflict, Reason: "versionReused", Detail: trimPackage(reused)}
	case errors.As(err, &signOff):
		return &Problem{Status: http.StatusForbidden, Reason: "signOffRefused", Detail: trimPackage(signOff)}
	case errors.As(err, &document):
		return &Problem{Status: http.StatusUnprocessableEntity, Reason: "badDocument", Detail: trimPackage(document)}
	case errors.As(err, &noBundle):
		return &Problem{Status: http.StatusNotFound, Reason: "noBundle", Detail: trimPackage(noBundle)}
	case errors.As(err, &unsettled):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "unsettled", Detail: trimPackage(unsettled)}
	case errors.As(err, &unknown):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "unsettled", Detail: "the platform's answer was lost; repeat the call, which is safe"}
	case errors.As(err, &unavailable):
		return &Problem{Status: http.StatusServiceUnavailable, Reason: "platformUnavailable", Detail: "nothing was changed; try again once the platform's service answers"}
	}
	return &Problem{Status: http.StatusInternalServerError, Reason: "internal", Detail: "see the instance's log"}
}

// trimPackage returns err's text without the package's prefix.
func trimPackage(err error) string {
	_, text, _ := strings.Cut(err.Error(), ": ")
	return text
}

// writeProblem logs err and writes the Problem for it as the response.
func (h *handler) writeProblem(w http.ResponseWriter, r *http.Request, operator string, err error) {
	p := newProblem(err)
	p.Title = http.StatusText(p.Status)
	logEvent := h.cfg.Logger.Info()
	if p.Status >= http.StatusInternalServerError {
		logEvent = h.cfg.Logger.Error()
	}
	logEvent.Str("operator", operator).Str("method", r.Method).Str("path", r.URL.Path).Int("status", p.Status).
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
	_, _ = w.Write(append(text, '\n')) // the write fails only if the caller disconnected
}

// parseBearer returns the token of an Authorization header, and whether the header holds a
// bearer token.
func parseBearer(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	token = strings.TrimSpace(token)
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}
