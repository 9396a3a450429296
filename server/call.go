package server

import (
	"net/http"
	"path"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// serveCall handles a call of a plain service.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request, c caller) {
	name := identifier.Service(r.PathValue("service"))
	service, ok := c.index.services[name]
	if !ok || !c.mayUse(name) {
		writeProblem(w, c.id, newRefusal(http.StatusNotFound, "unknownService", "The path names no service of this client account."))
		return
	}
	deadline, refusal := requestDeadline(r, service.Deadline.Std())
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	kind := requestKind(service, r.Method, r.PathValue("path"))
	if kind == router.KindNonIdempotent && r.Header.Get("Idempotency-Key") == "" {
		writeProblem(w, c.id, newRefusal(http.StatusBadRequest, "noIdempotencyKey", "This call runs at most once and needs a key of its own in the header Idempotency-Key; use the same key when you ask again."))
		return
	}
	body, memory, refusal := s.readBody(w, r, deadline)
	if refusal != nil {
		writeProblem(w, c.id, *refusal)
		return
	}
	defer memory.Release()
	req := c.newRequest(r, name, deadline, body)
	req.Kind, req.Pool = kind, identifier.Pool(name)
	req.Path = subpathOf(r, string(name))
	s.serve(w, r, req)
}

// requestKind returns router.KindRepeatable if a rule of the service matches the method and the
// path below the service. Any other call runs at most once.
func requestKind(s *bundler.Service, method, subpath string) router.Kind {
	for _, rule := range s.Repeatable {
		if rule.Method != method {
			continue
		}
		if ok, err := path.Match(rule.Path, "/"+subpath); err == nil && ok {
			return router.KindRepeatable
		}
	}
	return router.KindNonIdempotent
}

// subpathOf returns the escaped path and the query below the service. The result begins with "/".
func subpathOf(r *http.Request, name string) string {
	p := r.URL.EscapedPath()[len("/services/"+name):]
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}
