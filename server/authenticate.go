package server

import (
	"net/http"
	"strings"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// noBundleRetryAfter is how long a caller should wait before it retries at an instance that has
// no bundle yet.
const noBundleRetryAfter = 5 * time.Second

// caller holds what is known about a request before its body is read: the request ID, the index
// of the bundle under which the request is admitted, and the client account.
type caller struct {
	id      identifier.Request
	index   *index
	account *bundler.Account
}

// authenticate returns a handler that identifies the client account by the bearer key and then
// calls next. It refuses a request without a valid key.
func (s *Server) authenticate(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := caller{id: s.cfg.NewRequest(), index: s.currentIndex()}
		w.Header().Set(headerRequest, string(c.id))
		if c.index == nil {
			p := newRefusal(http.StatusServiceUnavailable, "noBundle", "The instance has no bundle in force yet.")
			p.RetryAfter = noBundleRetryAfter
			writeProblem(w, c.id, p)
			return
		}
		if len(r.Header.Values("Authorization")) > 1 {
			writeProblem(w, c.id, newRefusal(http.StatusBadRequest, "doubleHeader", "The header field Authorization stands more than once; send it once."))
			return
		}
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if ok {
			c.account = c.index.account(key)
		}
		if c.account == nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, c.id, newRefusal(http.StatusUnauthorized, "unknownKey", "The bearer key is missing or belongs to no client account."))
			return
		}
		next(w, r, c)
	}
}

// mayUse reports whether the client account may use the service.
func (c caller) mayUse(name identifier.Service) bool {
	for _, s := range c.account.Services {
		if s == name {
			return true
		}
	}
	return false
}

// newRequest returns a router.Request with the fields that are common to all kinds of request.
func (c caller) newRequest(r *http.Request, name identifier.Service, deadline time.Time, body []byte) router.Request {
	return router.Request{
		ID:            c.id,
		Account:       c.account.Name,
		Service:       name,
		Priority:      c.account.Priority,
		Deadline:      deadline,
		BundleVersion: c.index.bundle.Version,
		Method:        r.Method,
		Header:        forwardedHeader(r.Header),
		Body:          body,
	}
}
