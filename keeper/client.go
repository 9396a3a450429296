package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// answerLimit bounds the bytes read of one answer.
const answerLimit = 64 << 20

// Client calls the platform's service. It is safe for concurrent use.
type Client struct {
	cfg    Config
	reads  *rate.Limiter
	writes *rate.Limiter
	meters meters
	list   list
	life   uint64 // of the instance and when this process made the Client; begins each write's name

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	circuit circuit
}

// New returns a Client for cfg. It makes no call.
func New(cfg Config) *Client {
	cfg = withDefaults(cfg)
	c := &Client{
		cfg:     cfg,
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.Burst),
		writes:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.Burst),
		life:    xxhash.Sum64String(fmt.Sprintf("%s/%d", cfg.Instance, cfg.Now().UnixNano())),
		random:  rand.New(cfg.Random),
		circuit: circuit{threshold: cfg.CircuitFailures, base: cfg.CircuitOpen},
	}
	c.meters = newMeters(cfg.Meter, c.circuitOpen)
	return c
}

// request is one call before it is sent.
type request struct {
	kind   string // the call's kind in metrics and errors
	key    string // the key or lease that it is about
	method string
	path   string
	query  url.Values
	body   any
	write  bool
	extra  time.Duration // added to the call timeout, for a watch
	etag   string        // of the answer that is known already; empty for none
}

// answer is what the service said.
type answer struct {
	status int
	body   []byte
	etag   string
}

// decode reads the body into v.
func (a answer) decode(v any) error {
	return json.Unmarshal(a.body, v)
}

// try sends r once. Its errors are *UnavailableError and, for writes, *UnknownError.
func (c *Client) try(ctx context.Context, r request) (answer, error) {
	if err := c.admit(ctx, r); err != nil {
		c.meters.count(ctx, r.kind, "refused", 0)
		return answer{}, &UnavailableError{Call: r.kind, Cause: err}
	}
	start := c.cfg.Now()
	a, err := c.send(ctx, r)
	ok := err == nil && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests
	c.record(ctx, r, ok, err)
	c.meters.count(ctx, r.kind, resultName(a, err), c.cfg.Now().Sub(start))
	if ok {
		return a, nil
	}
	if err == nil {
		err = &StatusError{Status: a.status}
	}
	if !r.write || neverSent(err) || a.status == http.StatusTooManyRequests {
		return answer{}, &UnavailableError{Call: r.kind, Cause: err}
	}
	return answer{}, &UnknownError{Call: r.kind, Key: r.key, Cause: err}
}

// admit waits for the budget and asks the circuit. Where that is open, it does not wait.
func (c *Client) admit(ctx context.Context, r request) error {
	if c.circuitBlocked() {
		return &CircuitError{}
	}
	budget := c.reads
	if r.write {
		budget = c.writes
	}
	if err := budget.Wait(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.circuit.allow(c.cfg.Now()) {
		return &CircuitError{}
	}
	return nil
}

// record tells the circuit how a call ended.
func (c *Client) record(ctx context.Context, r request, ok bool, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok && errors.Is(ctx.Err(), context.Canceled) {
		c.circuit.abandon()
		return
	}
	if !c.circuit.record(c.cfg.Now(), ok, c.random.Float64()) {
		return
	}
	if ok {
		c.cfg.Logger.Info().Msg("keeper: circuit closed")
		return
	}
	c.cfg.Logger.Warn().Str("call", r.kind).AnErr("cause", cause).Msg("keeper: circuit opened")
}

// circuitBlocked reports whether no call can be sent now.
func (c *Client) circuitBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.blocked(c.cfg.Now())
}

// circuitOpen reports whether the circuit is open.
func (c *Client) circuitOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.open
}

// send makes the HTTP exchange of r.
func (c *Client) send(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout+r.extra)
	defer cancel()
	var body io.Reader
	if r.body != nil {
		text, err := json.Marshal(r.body)
		if err != nil {
			return answer{}, err
		}
		body = bytes.NewReader(text)
	}
	target := url.URL{Scheme: "http", Host: c.cfg.Address.String(), Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), body)
	if err != nil {
		return answer{}, err
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, answerLimit))
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, body: text, etag: resp.Header.Get("ETag")}, nil
}

// neverSent reports whether err shows that no byte of the request left this process.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// retry sends r until it is answered, the attempts are used up or ctx ends. The error is
// *UnknownError if any attempt may have had an effect.
func (c *Client) retry(ctx context.Context, r request) (a answer, unsure bool, err error) {
	var unknown *UnknownError
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.pause(ctx, attempt) != nil {
			break
		}
		a, err = c.try(ctx, r)
		if err == nil {
			return a, unknown != nil, nil
		}
		errors.As(err, &unknown)
		var open *CircuitError
		if errors.As(err, &open) {
			break
		}
	}
	if unknown != nil {
		return answer{}, true, unknown
	}
	return answer{}, false, err
}

// pause waits before the given attempt, counted from 1, and returns the error of ctx if that ends first.
func (c *Client) pause(ctx context.Context, attempt int) error {
	wait := min(c.cfg.BackoffBase<<(attempt-1), c.cfg.BackoffMax)
	c.mu.Lock()
	wait = jittered(wait, c.random.Float64())
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeName returns a new name for a write. Another instance or run of this one has other
// names, even with an equal source of randomness.
func (c *Client) writeName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.life, c.random.Uint64())
}

// unexpected is the error of an answer whose status or body makes no sense for r. A
// status of 400 to 499 says that r was refused and had no effect.
func unexpected(r request, a answer, err error) error {
	if err == nil {
		err = &StatusError{Status: a.status}
	}
	refused := a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError
	if r.write && !refused {
		return &UnknownError{Call: r.kind, Key: r.key, Cause: err}
	}
	return &UnavailableError{Call: r.kind, Cause: err}
}
