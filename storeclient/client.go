package storeclient

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
		circuit: circuit{threshold: cfg.CircuitFailures, base: cfg.TrialDelayBase, longest: cfg.TrialDelayMax},
	}
	c.meters = newMeters(cfg.Meter, c.circuitOpen)
	return c
}

// answer is a reply of the service with the ETag that names it.
type answer struct {
	Reply
	status int
	etag   string
}

// try sends call once. Its errors are *UnavailableError and, for writes, *UnknownError.
func (c *Client) try(ctx context.Context, call Call) (answer, error) {
	if err := c.admit(ctx, call); err != nil {
		c.meters.count(ctx, call.Operation, "refused", 0)
		return answer{}, &UnavailableError{Call: call.Operation, Cause: err}
	}
	start := c.cfg.Now()
	a, err := c.send(ctx, call)
	ok := err == nil && a.Result != ResultBusy && a.Result != ResultFailed
	var form *MalformedError
	c.record(ctx, call, ok || errors.As(err, &form), err)
	c.meters.count(ctx, call.Operation, resultName(a, err), c.cfg.Now().Sub(start))
	if ok {
		return a, nil
	}
	if err == nil {
		err = &StatusError{Status: a.status}
	}
	if !call.Operation.isWrite() || neverSent(err) || a.Result == ResultBusy {
		return answer{}, &UnavailableError{Call: call.Operation, Cause: err}
	}
	return answer{}, &UnknownError{Call: call.Operation, Key: call.Key, Cause: err}
}

// admit waits for the budget and asks the circuit. Where that is open, it does not wait.
func (c *Client) admit(ctx context.Context, call Call) error {
	if c.circuitBlocked() {
		return &CircuitError{}
	}
	budget := c.reads
	if call.Operation.isWrite() {
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
func (c *Client) record(ctx context.Context, call Call, ok bool, cause error) {
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
		c.cfg.Logger.Info().Msg("storeclient: circuit closed")
		return
	}
	c.cfg.Logger.Warn().Str("call", string(call.Operation)).AnErr("cause", cause).Msg("storeclient: circuit opened")
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

// send makes the HTTP exchange of call. It returns a *MalformedError for a body that makes no sense.
func (c *Client) send(ctx context.Context, call Call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout+call.Wait)
	defer cancel()
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return answer{}, err
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
	reply, err := c.cfg.Dialect.Decode(call, resp.StatusCode, text)
	if err != nil {
		return answer{}, &MalformedError{Status: resp.StatusCode, Cause: err}
	}
	return answer{Reply: reply, status: resp.StatusCode, etag: resp.Header.Get("ETag")}, nil
}

// newRequest puts call into the form of the dialect.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	x := c.cfg.Dialect.Encode(call)
	var body io.Reader
	if x.Body != nil {
		text, err := json.Marshal(x.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(text)
	}
	target := url.URL{Scheme: "http", Host: c.cfg.Address.String(), Path: x.Path, RawQuery: x.Query.Encode()}
	req, err := http.NewRequestWithContext(ctx, x.Method, target.String(), body)
	if err != nil {
		return nil, err
	}
	if x.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if call.ETag != "" {
		req.Header.Set("If-None-Match", call.ETag)
	}
	return req, nil
}

// neverSent reports whether err shows that no byte of the request left this process.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// retry sends call until it is answered, the attempts are used up or ctx ends. The error is
// *UnknownError if any attempt may have had an effect.
func (c *Client) retry(ctx context.Context, call Call) (a answer, unsure bool, err error) {
	var unknown *UnknownError
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.pause(ctx, attempt) != nil {
			break
		}
		a, err = c.try(ctx, call)
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

// unexpected is the error of an answer that no case of its call expects.
func unexpected(call Call, a answer) error {
	err := &StatusError{Status: a.status}
	if call.Operation.isWrite() && a.Result == ResultOK {
		return &UnknownError{Call: call.Operation, Key: call.Key, Cause: err}
	}
	return &UnavailableError{Call: call.Operation, Cause: err}
}
