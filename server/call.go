package server

import (
	"net/http"
	"path"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// call takes a call of a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request, c caller) {
	name := identifier.Service(r.PathValue("service"))
	service, ok := c.index.services[name]
	if !ok || !c.mayUse(name) {
		writeProblem(w, c.id, refusal(http.StatusNotFound, "unknownService", "The path names no service of this client account."))
		return
	}
	deadline, bad := deadlineOf(r, service.Deadline.Std())
	if bad != nil {
		writeProblem(w, c.id, *bad)
		return
	}
	kind := kindOf(service, r.Method, r.PathValue("path"))
	if kind == router.KindNonIdempotent && r.Header.Get("Idempotency-Key") == "" {
		writeProblem(w, c.id, refusal(http.StatusBadRequest, "noIdempotencyKey", "This call runs at most once and needs a key of its own in the header Idempotency-Key; use the same key when you ask again."))
		return
	}
	body, bad := s.readBody(w, r)
	if bad != nil {
		writeProblem(w, c.id, *bad)
		return
	}
	req := c.request(r, name, deadline, body)
	req.Kind, req.Pool = kind, identifier.Pool(name)
	req.Path = pathBelow(r, string(name))
	s.serve(w, r, req)
}

// kindOf returns whether the bundle marks the call as repeatable. A call that no rule
// matches runs at most once.
func kindOf(s *bundler.Service, method, below string) router.Kind {
	for _, rule := range s.Repeatable {
		if rule.Method != method {
			continue
		}
		if ok, err := path.Match(rule.Path, "/"+below); err == nil && ok {
			return router.KindRepeatable
		}
	}
	return router.KindNonIdempotent
}

// pathBelow returns the escaped path and query below the service, beginning with "/".
func pathBelow(r *http.Request, name string) string {
	p := r.URL.EscapedPath()[len("/services/"+name):]
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}
