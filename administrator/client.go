package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"amaranthmill/auditor"
	"amaranthmill/internal/identifier"
)

const (
	// answerLimit bounds the bytes read of one answer.
	answerLimit = 16 << 20
	// clientTimeout bounds one call, longer than the API does.
	clientTimeout = callTimeout + 5*time.Second
)

// ClientConfig configures a Client. All fields but HTTP are required.
type ClientConfig struct {
	Addresses []netip.AddrPort // of any instances, asked in order until one is reached
	Token     string
	HTTP      *http.Client // default: a client of its own
}

// Client calls the administration API. It is safe for concurrent use. Its methods return
// a *Problem for what the API refused and an *UnreachableError if no instance answered.
type Client struct{ cfg ClientConfig }

// NewClient returns a Client for cfg. It makes no call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: clientTimeout}
	}
	return &Client{cfg: cfg}
}

// UnreachableError says that no instance answered. The call may have been carried out if
// it changes something; to repeat it is safe.
type UnreachableError struct{ Cause error }

// Error returns the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("administrator: no instance answered: %v", e.Cause)
}

// Unwrap returns the last cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Check validates a bundle against the fleet and stores nothing.
func (c *Client) Check(ctx context.Context, content []byte) (BundleIdentity, error) {
	return call[BundleIdentity](ctx, c, http.MethodPost, "checks", content)
}

// Propose stores a bundle for sign-off.
func (c *Client) Propose(ctx context.Context, content []byte) (BundleIdentity, error) {
	return call[BundleIdentity](ctx, c, http.MethodPost, "bundles", content)
}

// Sign accepts a proposed bundle with the operator's signature.
func (c *Client) Sign(ctx context.Context, v identifier.BundleVersion, signature []byte) (BundleIdentity, error) {
	body, err := json.Marshal(signatureWire{Signature: signature})
	if err != nil {
		return BundleIdentity{}, err
	}
	return call[BundleIdentity](ctx, c, http.MethodPut, "bundles/"+versionText(v)+"/signature", body)
}

// Bundle returns a bundle's bytes; version is a number or "current".
func (c *Client) Bundle(ctx context.Context, version string) (BundleContent, error) {
	return call[BundleContent](ctx, c, http.MethodGet, "bundles/"+url.PathEscape(version), nil)
}

// Bundles lists the proposals and the latest accepted versions.
func (c *Client) Bundles(ctx context.Context) (BundleList, error) {
	return call[BundleList](ctx, c, http.MethodGet, "bundles", nil)
}

// Rollout says which instance has which version in force.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	return call[Rollout](ctx, c, http.MethodGet, "status", nil)
}

// FleetStatus returns the instances and endpoints.
func (c *Client) FleetStatus(ctx context.Context) (FleetStatus, error) {
	return call[FleetStatus](ctx, c, http.MethodGet, "instances", nil)
}

// Groups returns the replica groups.
func (c *Client) Groups(ctx context.Context) (GroupList, error) {
	return call[GroupList](ctx, c, http.MethodGet, "groups", nil)
}

// AuditPage returns a page of the audit trail; 0 asks for the last.
func (c *Client) AuditPage(ctx context.Context, number uint64) (auditor.Page, error) {
	path := "audit"
	if number > 0 {
		path += "/" + strconv.FormatUint(number, 10)
	}
	return call[auditor.Page](ctx, c, http.MethodGet, path, nil)
}

// call asks the instances in order until one is reached, and decodes its answer.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var result T
	var last error
	for _, address := range c.cfg.Addresses {
		status, text, err := c.send(ctx, address, method, path, body)
		if err != nil {
			last = err
			continue
		}
		if status >= http.StatusMultipleChoices {
			return result, problemFrom(status, text)
		}
		return result, json.Unmarshal(text, &result)
	}
	return result, &UnreachableError{Cause: last}
}

func (c *Client) send(ctx context.Context, address netip.AddrPort, method, path string, body []byte) (int, []byte, error) {
	target := "http://" + address.String() + "/admin/v1/" + path
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	return resp.StatusCode, text, err
}

// problemFrom reads a problem; an answer that is none becomes one.
func problemFrom(status int, text []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(text, p); err != nil || p.Reason == "" {
		return &Problem{Status: status, Title: http.StatusText(status), Reason: "noProblem", Detail: "the answer is not of the administration API"}
	}
	return p
}

func versionText(v identifier.BundleVersion) string { return strconv.FormatUint(uint64(v), 10) }
