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
	// maxAnswerSize is the number of bytes after which an answer is truncated.
	maxAnswerSize = 16 << 20
	// clientTimeout bounds one call. It is longer than the API's own timeout, so that the
	// client receives the API's answer to a call that timed out.
	clientTimeout = callTimeout + 5*time.Second
)

// ClientConfig configures a Client. All fields but HTTP are required.
type ClientConfig struct {
	Addresses []netip.AddrPort // of instances, tried in order until one is reached
	Token     string
	HTTP      *http.Client // default: a new client with a timeout
}

// Client calls the administration API. It is safe for concurrent use. Its methods return a
// *Problem if the API returned an error and an *UnreachableError if no instance answered.
type Client struct{ cfg ClientConfig }

// NewClient returns a Client for cfg. It makes no call.
func NewClient(cfg ClientConfig) *Client {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Timeout: clientTimeout}
	}
	return &Client{cfg: cfg}
}

// UnreachableError reports that no instance answered. A call that changes something may
// still have been carried out; it is safe to repeat it.
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
	return call[BundleIdentity](ctx, c, http.MethodPut, "bundles/"+formatVersion(v)+"/signature", body)
}

// Bundle returns a bundle's bytes; version is a number or "current".
func (c *Client) Bundle(ctx context.Context, version string) (BundleContent, error) {
	return call[BundleContent](ctx, c, http.MethodGet, "bundles/"+url.PathEscape(version), nil)
}

// Bundles lists the proposals and the latest accepted versions.
func (c *Client) Bundles(ctx context.Context) (BundleList, error) {
	return call[BundleList](ctx, c, http.MethodGet, "bundles", nil)
}

// Rollout returns the version in force on each instance.
func (c *Client) Rollout(ctx context.Context) (Rollout, error) {
	return call[Rollout](ctx, c, http.MethodGet, "status", nil)
}

// FleetStatus returns the status of the instances and endpoints.
func (c *Client) FleetStatus(ctx context.Context) (FleetStatus, error) {
	return call[FleetStatus](ctx, c, http.MethodGet, "instances", nil)
}

// Groups returns the status of the replica groups.
func (c *Client) Groups(ctx context.Context) (GroupList, error) {
	return call[GroupList](ctx, c, http.MethodGet, "groups", nil)
}

// AuditPage returns a page of the audit trail. Number 0 selects the last page.
func (c *Client) AuditPage(ctx context.Context, number uint64) (auditor.Page, error) {
	path := "audit"
	if number > 0 {
		path += "/" + strconv.FormatUint(number, 10)
	}
	return call[auditor.Page](ctx, c, http.MethodGet, path, nil)
}

// call sends a request to the instances in order until one answers, and decodes the answer.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var result T
	var lastErr error
	for _, address := range c.cfg.Addresses {
		status, text, err := c.send(ctx, address, method, path, body)
		if err != nil {
			lastErr = err
			continue
		}
		if status >= http.StatusMultipleChoices {
			return result, problemFrom(status, text)
		}
		return result, json.Unmarshal(text, &result)
	}
	return result, &UnreachableError{Cause: lastErr}
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
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	return resp.StatusCode, text, err
}

// problemFrom decodes a problem. For an answer that is not a problem of the API it returns a
// Problem with the reason "noProblem".
func problemFrom(status int, text []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(text, p); err != nil || p.Reason == "" {
		return &Problem{Status: status, Title: http.StatusText(status), Reason: "noProblem", Detail: "the answer is not of the administration API"}
	}
	return p
}

func formatVersion(v identifier.BundleVersion) string { return strconv.FormatUint(uint64(v), 10) }
