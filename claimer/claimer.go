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

// tickEvery is the time between the ticks of the core.
const tickEvery = time.Second

// Claimer claims keys for one instance. It is safe for concurrent use.
type Claimer struct {
	cfg    Config
	core   *Core
	step   *stepper.Stepper[Event, Action]
	meters meters

	life string // the instance and when this process made the Claimer; begins each token

	mu        sync.Mutex // guards the fields below; never held while the core steps
	random    *rand.Rand
	calls     Call
	decisions map[Call]chan Decision
	finishes  map[Token]chan error
	unsettled map[Token]bool // claims whose result or removal is tried anew
}

// New returns a Claimer for cfg. Run must run for results to be tried anew.
func New(cfg Config) *Claimer {
	cfg = withDefaults(cfg)
	c := &Claimer{
		cfg:       cfg,
		core:      NewCore(cfg.Instance, cfg.Limits),
		life:      fmt.Sprintf("%s/%x", cfg.Instance, cfg.Now().UnixNano()),
		random:    rand.New(cfg.Random),
		decisions: map[Call]chan Decision{},
		finishes:  map[Token]chan error{},
		unsettled: map[Token]bool{},
	}
	c.meters = newMeters(cfg.Meter, c.Unsettled)
	c.step = stepper.New(stepper.Config[Event, Action]{Core: c.core, Handle: c.handle, Now: cfg.Now})
	return c
}

// Run lets time pass for the claims until ctx ends, and returns the error of ctx.
func (c *Claimer) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
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

// Claim asks for key on behalf of the request with the given digest. The deadline of ctx
// is the request's own: the call is not sent after it. Only Granted allows a dispatch. A
// caller whose ctx ends first gets Unavailable, and the claim is removed.
func (c *Claimer) Claim(ctx context.Context, key Key, digest Digest) Decision {
	call, token, decided := c.newCall()
	defer c.dropCall(call)
	deadline, _ := ctx.Deadline()
	c.step.Submit(Arrived{Call: call, Token: token, Key: key, Digest: digest, Deadline: deadline})
	select {
	case d := <-decided:
		return c.counted(ctx, d)
	case <-ctx.Done():
	}
	c.step.Submit(Left{Call: call, Token: token})
	select {
	case d := <-decided:
		return c.counted(ctx, d)
	default:
		return c.counted(ctx, Unavailable{RetryAfter: c.core.limits.RetryAfter})
	}
}

// counted counts d and returns it.
func (c *Claimer) counted(ctx context.Context, d Decision) Decision {
	c.meters.decided(ctx, d)
	return d
}

// Settle stores how the call that holds token ended, and returns once that is stored. Its
// errors are *TokenError; *UnsettledError, after which the result is tried anew; and the error of ctx.
func (c *Claimer) Settle(ctx context.Context, token Token, result Result) error {
	finished := make(chan error, 1)
	c.mu.Lock()
	c.finishes[token] = finished
	c.mu.Unlock()
	defer c.dropFinish(token)
	c.step.Submit(Settled{Token: token, Result: result})
	select {
	case err := <-finished:
		c.meters.settled(ctx, result, err)
		return eris.Wrap(err, "settle a claim")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newCall returns a new call with a token of its own and the channel of its decision. No
// other instance or run of this one has such a token, even with an equal source of randomness.
func (c *Claimer) newCall() (Call, Token, <-chan Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	decided := make(chan Decision, 1)
	c.decisions[c.calls] = decided
	return c.calls, Token(fmt.Sprintf("%s/%d/%016x", c.life, c.calls, c.random.Uint64())), decided
}

// dropCall forgets who waits for the decision of call.
func (c *Claimer) dropCall(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.decisions, call)
}

// dropFinish forgets who waits for the settlement of token.
func (c *Claimer) dropFinish(token Token) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.finishes, token)
}

// handle carries out a. It does not block.
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

// deliver hands a decision to the call that waits for it.
func (c *Claimer) deliver(a Decide) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if decided, ok := c.decisions[a.Call]; ok {
		decided <- a.Decision
		delete(c.decisions, a.Call)
	}
}

// finish hands the end of a settlement to who waits for it.
func (c *Claimer) finish(a Finish) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if finished, ok := c.finishes[a.Token]; ok {
		finished <- a.Err
		delete(c.finishes, a.Token)
	}
	c.note(a)
}

// note keeps count of the results that are not stored, and logs the first failure of each and its giving up.
func (c *Claimer) note(a Finish) {
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
// Those that are left when the process ends become unknown.
func (c *Claimer) Unsettled() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsettled)
}
