package administrator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// callTimeout bounds the processing of one API call.
const callTimeout = 30 * time.Second

// handler serves the API.
type handler struct {
	cfg       Config
	operators map[string]Operator // by token digest
}

// Handler returns the API's handler. Its paths begin with /admin/v1/.
func Handler(cfg Config) http.Handler {
	h := &handler{cfg: cfg, operators: map[string]Operator{}}
	for _, o := range cfg.Operators {
		h.operators[o.TokenDigest] = o
	}
	mux := http.NewServeMux()
	mux.Handle("POST /admin/v1/checks", h.newCallHandler(RoleReader, h.checkBundle))
	mux.Handle("GET /admin/v1/bundles", h.newCallHandler(RoleReader, h.listBundles))
	mux.Handle("POST /admin/v1/bundles", h.newCallHandler(RoleAuthor, h.proposeBundle))
	mux.Handle("GET /admin/v1/bundles/{version}", h.newCallHandler(RoleReader, h.getBundle))
	mux.Handle("PUT /admin/v1/bundles/{version}/signature", h.newCallHandler(RoleSigner, h.signBundle))
	mux.Handle("GET /admin/v1/status", h.newCallHandler(RoleReader, h.getRollout))
	mux.Handle("GET /admin/v1/instances", h.newCallHandler(RoleReader, h.getFleetStatus))
	mux.Handle("GET /admin/v1/groups", h.newCallHandler(RoleReader, h.getGroups))
	mux.Handle("GET /admin/v1/audit", h.newCallHandler(RoleReader, h.getLastAuditPage))
	mux.Handle("GET /admin/v1/audit/{page}", h.newCallHandler(RoleReader, h.getAuditPage))
	return mux
}

// request is a request by an authorised operator.
type request struct {
	*http.Request
	operator Operator
}

// operation carries out a call and returns the status code and the body to encode.
type operation func(ctx context.Context, r request) (int, any, error)

// newCallHandler returns the handler of op, which operators with the role may call.
func (h *handler) newCallHandler(role Role, op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		operator, err := h.authorise(r, role)
		if err != nil {
			h.writeProblem(w, r, "", err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, bundler.MaxContentSize)
		status, body, err := op(ctx, request{Request: r, operator: operator})
		if err != nil {
			h.writeProblem(w, r, operator.Name, err)
			return
		}
		if r.Method != http.MethodGet {
			h.cfg.Logger.Info().Str("operator", operator.Name).Str("method", r.Method).Str("path", r.URL.Path).Msg("administrator: call done")
		}
		writeJSON(w, status, "application/json", body)
	})
}

// authorise returns the operator whose token digest matches the bearer token, if the operator
// has the role. The error is a *Problem.
func (h *handler) authorise(r *http.Request, role Role) (Operator, error) {
	token, ok := parseBearer(r.Header.Get("Authorization"))
	if !ok {
		return Operator{}, &Problem{Status: http.StatusUnauthorized, Reason: "noToken", Detail: "send an operator's token as \"Authorization: Bearer ...\""}
	}
	o, ok := h.operators[bundler.DigestOf([]byte(token)).String()]
	if !ok {
		return Operator{}, &Problem{Status: http.StatusUnauthorized, Reason: "unknownToken", Detail: "the token is not one of the settings' operators"}
	}
	if role != RoleReader && !slices.Contains(o.Roles, role) {
		return Operator{}, &Problem{Status: http.StatusForbidden, Reason: "missingRole", Detail: fmt.Sprintf("operator %q needs the role %q", o.Name, role)}
	}
	return o, nil
}

func (h *handler) checkBundle(ctx context.Context, r request) (int, any, error) {
	content, err := readBody(r)
	if err != nil {
		return 0, nil, err
	}
	b, err := h.cfg.Registrar.Check(ctx, content)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, BundleIdentity{Version: b.Version, Digest: bundler.DigestOf(content).String()}, nil
}

func (h *handler) proposeBundle(ctx context.Context, r request) (int, any, error) {
	content, err := readBody(r)
	if err != nil {
		return 0, nil, err
	}
	b, err := h.cfg.Registrar.Propose(ctx, r.operator.Name, content)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusCreated, BundleIdentity{Version: b.Version, Digest: bundler.DigestOf(content).String()}, nil
}

func (h *handler) listBundles(ctx context.Context, _ request) (int, any, error) {
	proposals, err := h.cfg.Registrar.Proposals(ctx)
	if err != nil {
		return 0, nil, err
	}
	last, err := h.cfg.Trail.Last(ctx)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, newBundleList(h.cfg.Store.CurrentDocument(), proposals, last), nil
}

// getBundle returns the exact bytes of a bundle that is in force, accepted or proposed.
func (h *handler) getBundle(ctx context.Context, r request) (int, any, error) {
	if r.PathValue("version") == "current" {
		d := h.cfg.Store.CurrentDocument()
		if d == nil {
			return 0, nil, &Problem{Status: http.StatusNotFound, Reason: "noBundle", Detail: "no bundle is in force on this instance"}
		}
		return http.StatusOK, newBundleContent(d), nil
	}
	v, err := parseVersion(r)
	if err != nil {
		return 0, nil, err
	}
	d, err := h.cfg.Registrar.Accepted(ctx, v)
	if err == nil {
		return http.StatusOK, newBundleContent(d), nil
	}
	if !errors.As(err, new(*bundler.NotFoundError)) {
		return 0, nil, err
	}
	content, err := h.cfg.Registrar.Proposal(ctx, v)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, BundleContent{Version: v, Digest: bundler.DigestOf(content).String(), Bytes: content}, nil
}

func (h *handler) signBundle(ctx context.Context, r request) (int, any, error) {
	v, err := parseVersion(r)
	if err != nil {
		return 0, nil, err
	}
	content, err := readBody(r)
	if err != nil {
		return 0, nil, err
	}
	var wire signatureWire
	if err := json.Unmarshal(content, &wire); err != nil {
		return 0, nil, &Problem{Status: http.StatusBadRequest, Reason: "badBody", Detail: "want {\"signature\": base64 text}: " + err.Error()}
	}
	d, err := h.cfg.Registrar.SignOff(ctx, v, r.operator.Name, wire.Signature)
	if err != nil {
		return 0, nil, err
	}
	return http.StatusOK, BundleIdentity{Version: v, Digest: d.Digest.String()}, nil
}

func readBody(r request) ([]byte, error) {
	content, err := io.ReadAll(r.Body)
	if errors.As(err, new(*http.MaxBytesError)) {
		return nil, &Problem{Status: http.StatusRequestEntityTooLarge, Reason: "tooLarge", Detail: fmt.Sprintf("the body exceeds %d bytes", bundler.MaxContentSize)}
	}
	if err != nil {
		return nil, &Problem{Status: http.StatusBadRequest, Reason: "badBody", Detail: "the body was cut off"}
	}
	return content, nil
}

func parseVersion(r request) (identifier.BundleVersion, error) {
	v, err := strconv.ParseUint(r.PathValue("version"), 10, 64)
	if err != nil || v == 0 {
		return 0, &Problem{Status: http.StatusBadRequest, Reason: "badVersion", Detail: fmt.Sprintf("%q is no version; want a number from 1 or \"current\"", r.PathValue("version"))}
	}
	return identifier.BundleVersion(v), nil
}

// isNotFound reports whether err states that a key does not exist on the platform.
func isNotFound(err error) bool { return errors.As(err, new(*storeclient.NotFoundError)) }
