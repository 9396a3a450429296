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

	"amaranthmill/internal/limitreader"
)

// Largest numbers of bytes read from one answer.
const (
	maxReadAnswerSize  = 16 << 20 // a page of a list, or changes with several versions of a large value
	maxWriteAnswerSize = 4 << 20  // the result, or the entry that is in conflict
)

// Client calls the platform's store. It is safe for concurrent use.
type Client struct {
	cfg      Config
	reads    *rate.Limiter
	writes   *rate.Limiter
	meters   meters
	list     listCache
	clientID uint64 // hash of the instance and the creation time of the Client; each write's name starts with it

	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	circuit circuit
	era     eraTracker
}

// New returns a Client for cfg. It makes no call.
func New(cfg Config) *Client {
	cfg = withDefaults(cfg)
	c := &Client{
		cfg:      cfg,
		reads:    rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.Burst),
		writes:   rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.Burst),
		clientID: xxhash.Sum64String(fmt.Sprintf("%s/%d", cfg.Instance, cfg.Now().UnixNano())),
		random:   rand.New(cfg.Random),
		circuit:  circuit{threshold: cfg.CircuitFailures, delayBase: cfg.TrialDelayBase, delayMax: cfg.TrialDelayMax},
	}
	c.meters = newMeters(cfg.Meter, c.circuitOpen)
	registerEraGauge(cfg.Meter, c.Era)
	return c
}

// answer is a reply of the store with its HTTP status and ETag.
type answer struct {
	Reply
	status int
	etag   string
	era    Era // zero if the result does not show the store's state
}

// attempt sends call once. It returns *UnavailableError or, for a write that may have an effect,
// *UnknownError.
func (c *Client) attempt(ctx context.Context, call Call) (answer, error) {
	if err := c.checkEra(call); err != nil {
		return answer{}, &UnavailableError{Call: call.Operation, Cause: err}
	}
	if err := c.admit(ctx, call); err != nil {
		c.meters.count(ctx, call.Operation, "refused", 0)
		return answer{}, &UnavailableError{Call: call.Operation, Cause: err}
	}
	start := c.cfg.Now()
	a, err := c.exchange(ctx, call)
	ok := err == nil && a.Result != ResultBusy && a.Result != ResultFailed
	c.recordOutcome(ctx, call, ok || isUnusable(err), err)
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

// isUnusable reports whether the store has answered, with an answer that can't be used.
func isUnusable(err error) bool {
	var malformed *MalformedError
	var foreign *EraError
	return errors.As(err, &malformed) || errors.As(err, &foreign) || isEnded(err)
}

// admit waits for the budget and checks the circuit. If the circuit blocks calls, admit does not wait.
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

// recordOutcome records the outcome of a call in the circuit. A call that its caller canceled does
// not count as a failure.
func (c *Client) recordOutcome(ctx context.Context, call Call, ok bool, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ok && errors.Is(ctx.Err(), context.Canceled) {
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

// SetTrialDelayMax replaces Config.TrialDelayMax. A longest delay below Config.TrialDelayBase counts as
// that.
func (c *Client) SetTrialDelayMax(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.circuit.delayMax = max(d, c.circuit.delayBase)
}

// circuitBlocked reports whether the circuit blocks all calls now.
func (c *Client) circuitBlocked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.isBlocked(c.cfg.Now())
}

// circuitOpen reports whether the circuit is open.
func (c *Client) circuitOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.open
}

// isFailing reports whether the store's last answer was a failure or missing.
func (c *Client) isFailing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.circuit.failures > 0
}

// exchange sends call over HTTP and decodes the answer. It returns a *MalformedError if the body of
// the answer cannot be decoded, and an *EraError or *EndedEraError if it and
// the call do not belong to the current era.
func (c *Client) exchange(ctx context.Context, call Call) (answer, error) {
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
	limit := int64(maxReadAnswerSize)
	if call.Operation.isWrite() {
		limit = maxWriteAnswerSize
	}
	text, err := io.ReadAll(limitreader.New(resp.Body, "answer of the store", limit))
	if err != nil {
		return answer{}, err
	}
	reply, err := c.cfg.Dialect.Decode(call, resp.StatusCode, text)
	if err != nil {
		return answer{}, &MalformedError{Status: resp.StatusCode, Cause: err}
	}
	out := answer{Reply: reply, status: resp.StatusCode, etag: resp.Header.Get("ETag")}
	if reply.Result.showsState() {
		if out.era, err = c.acceptEra(call, resp.Header); err != nil {
			return answer{}, err
		}
	}
	return out, nil
}

// newRequest returns the HTTP request of call in the configured dialect.
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

// callWithRetries sends call until it is answered, the circuit is open, the attempts are used up or
// ctx ends. mayHaveApplied reports that an attempt that failed may have had an effect; if no attempt
// is answered, the error is then *UnknownError.
func (c *Client) callWithRetries(ctx context.Context, call Call) (a answer, mayHaveApplied bool, err error) {
	var unknown *UnknownError
	for attempt := range c.cfg.Attempts {
		if attempt > 0 && c.backOff(ctx, attempt) != nil {
			break
		}
		a, err = c.attempt(ctx, call)
		if err == nil {
			return a, unknown != nil, nil
		}
		errors.As(err, &unknown)
		var circuitErr *CircuitError
		if errors.As(err, &circuitErr) || isEnded(err) {
			break
		}
	}
	if unknown != nil {
		return answer{}, true, unknown
	}
	return answer{}, false, err
}

// backOff waits before a repeated attempt, where attempt counts the attempts made so far. It returns
// the error of ctx if ctx ends first.
func (c *Client) backOff(ctx context.Context, attempt int) error {
	wait := min(c.cfg.BackoffBase<<(attempt-1), c.cfg.BackoffMax)
	c.mu.Lock()
	wait = addJitter(wait, c.random.Float64())
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

// newWriteName returns a new name for a write. No other instance and no other process of this
// instance creates the same name, even with an equal source of randomness.
func (c *Client) newWriteName() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x%016x", c.clientID, c.random.Uint64())
}

// unexpectedAnswer returns the error for an answer that its call does not allow for.
func unexpectedAnswer(call Call, a answer) error {
	err := &StatusError{Status: a.status}
	if call.Operation.isWrite() && a.Result == ResultOK {
		return &UnknownError{Call: call.Operation, Key: call.Key, Cause: err}
	}
	return &UnavailableError{Call: call.Operation, Cause: err}
}
