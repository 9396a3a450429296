package claimer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/stepper"
)

// tickInterval is the time between the ticks of the core.
const tickInterval = time.Second

// Claimer claims keys for one instance. It is safe for concurrent use.
type Claimer struct {
	cfg    Config
	core   *Core
	step   *stepper.Stepper[Event, Action]
	meters meters

	tokenPrefix string // instance and creation time of the Claimer; each token starts with it

	mu          sync.Mutex // guards the fields below; never held while the core steps
	random      *rand.Rand
	lastCall    Call
	decisions   map[Call]chan Decision
	settlements map[Token]chan error
	unsettled   map[Token]bool // claims whose result or removal is retried
}

// New returns a Claimer for cfg. Results that could not be stored are retried only while Run runs.
func New(cfg Config) *Claimer {
	cfg = withDefaults(cfg)
	c := &Claimer{
		cfg:         cfg,
		core:        NewCore(cfg.Instance, cfg.Limits),
		tokenPrefix: fmt.Sprintf("%s/%x", cfg.Instance, cfg.Now().UnixNano()),
		random:      rand.New(cfg.Random),
		decisions:   map[Call]chan Decision{},
		settlements: map[Token]chan error{},
		unsettled:   map[Token]bool{},
	}
	c.meters = newMeters(cfg.Meter, c.Unsettled)
	c.step = stepper.New(stepper.Config[Event, Action]{Core: c.core, Handle: c.handle, Now: cfg.Now})
	return c
}

// Run submits a tick to the core every second until ctx ends, and returns the error of ctx.
func (c *Claimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.step.Submit(Ticked{})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Claim claims key for the request with the given digest. The deadline of ctx is the deadline of
// the request: the call is not sent after it. Only Granted allows a dispatch. If ctx ends before
// the decision, Claim returns Unavailable and the claim is removed.
func (c *Claimer) Claim(ctx context.Context, key Key, digest Digest) Decision {
	call, token, decided := c.newCall()
	defer c.dropCall(call)
	deadline, _ := ctx.Deadline()
	c.step.Submit(Arrived{Call: call, Token: token, Key: key, Digest: digest, Deadline: deadline})
	select {
	case d := <-decided:
		return c.countDecision(ctx, d)
	case <-ctx.Done():
	}
	c.step.Submit(CallerLeft{Call: call, Token: token})
	select {
	case d := <-decided:
		return c.countDecision(ctx, d)
	default:
		return c.countDecision(ctx, Unavailable{RetryAfter: c.core.limits.MaxRetryAfter})
	}
}

// countDecision counts d in the metrics and returns it.
func (c *Claimer) countDecision(ctx context.Context, d Decision) Decision {
	c.meters.countDecision(ctx, d)
	return d
}

// Settle stores the result of the call that was granted token, and returns once the result is
// stored. Its errors are *TokenError; *UnsettledError, after which the write is retried; and the
// error of ctx.
func (c *Claimer) Settle(ctx context.Context, token Token, result Result) error {
	finished := make(chan error, 1)
	c.mu.Lock()
	c.settlements[token] = finished
	c.mu.Unlock()
	defer c.dropSettlement(token)
	c.step.Submit(Settled{Token: token, Result: result})
	select {
	case err := <-finished:
		c.meters.countSettlement(ctx, result, err)
		return eris.Wrap(err, "settle a claim")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newCall returns a new call, its unique token and the channel of its decision. No other instance
// and no other process of this instance creates the same token, even with an equal source of
// randomness.
func (c *Claimer) newCall() (Call, Token, <-chan Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCall++
	decided := make(chan Decision, 1)
	c.decisions[c.lastCall] = decided
	return c.lastCall, Token(fmt.Sprintf("%s/%d/%016x", c.tokenPrefix, c.lastCall, c.random.Uint64())), decided
}

// dropCall removes the channel of the decision on call.
func (c *Claimer) dropCall(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.decisions, call)
}

// dropSettlement removes the channel that waits for the settlement of token.
func (c *Claimer) dropSettlement(token Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.settlements, token)
}

// handle performs a without blocking.
func (c *Claimer) handle(a Action) {
	switch a := a.(type) {
	case Decide:
		c.deliver(a)
	case Finish:
		c.finish(a)
	default:
		go c.perform(a)
	}
}

// deliver sends a decision to the call that waits for it.
func (c *Claimer) deliver(a Decide) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if decided, ok := c.decisions[a.Call]; ok {
		decided <- a.Decision
		delete(c.decisions, a.Call)
	}
}

// finish sends the outcome of a settlement to the caller of Settle.
func (c *Claimer) finish(a Finish) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished, ok := c.settlements[a.Token]; ok {
		finished <- a.Err
		delete(c.settlements, a.Token)
	}
	c.trackUnsettled(a)
}

// trackUnsettled maintains the set of results that are not stored. It logs the first failure of
// each result, and when its retries end without success.
func (c *Claimer) trackUnsettled(a Finish) {
	switch a.Err.(type) {
	case nil:
		delete(c.unsettled, a.Token)
		return
	case *UnsettledError:
		if c.unsettled[a.Token] {
			return
		}
		c.unsettled[a.Token] = true
	case *GivenUpError:
		delete(c.unsettled, a.Token)
	}
	c.cfg.Logger.Warn().Str("token", string(a.Token)).Err(a.Err).Msg("claimer: result not stored")
}

// Unsettled returns the number of claims whose result or removal could not be stored yet.
// If the process ends before they are stored, their results become Unknown.
func (c *Claimer) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsettled)
}
