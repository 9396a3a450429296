package leaser

import (
	"context"
	"errors"
	"strings"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/stepper"
	"amaranthmill/keeper"
)

// Platform is what a Leaser needs of the platform's service. *keeper.Client has it.
type Platform interface {
	Get(ctx context.Context, key string) (keeper.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease keeper.LeaseID) (keeper.Entry, error)
	Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error)
	Renew(ctx context.Context, lease keeper.LeaseID) error
	Revoke(ctx context.Context, lease keeper.LeaseID) error
	Delete(ctx context.Context, key string, revision uint64) error
}

// Config configures a Leaser. Platform, Key, Token and OnHold are required; the zero value of
// each other field takes the default named.
type Config struct {
	Platform       Platform
	Key            string
	Token          string        // unique to this process's run
	Owner          string        // begins the token of every run at this instance, one at a time; empty if runs may overlap
	OnHold         func(Hold)    // until when the holder may act. It must not block.
	TTL            time.Duration // of the lease; 10 s
	Margin         time.Duration // by which the holder stops before the lease can lapse; TTL/4
	PauseThreshold time.Duration // between two ticks that counts as a pause; TTL/5
	CheckInterval  time.Duration // between two looks at a key that another holder has; TTL/2
	TickInterval   time.Duration // between two ticks; 200 ms
	ReleaseTimeout time.Duration // for which a run that ends tries to give the lease back; TTL/5
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.TTL, 10*time.Second)
	defaulter.Set(&c.Margin, c.TTL/4)
	defaulter.Set(&c.PauseThreshold, c.TTL/5)
	defaulter.Set(&c.CheckInterval, c.TTL/2)
	defaulter.Set(&c.TickInterval, 200*time.Millisecond)
	defaulter.Set(&c.ReleaseTimeout, c.TTL/5)
	return c
}

// Leaser keeps one lease while it runs.
type Leaser struct {
	cfg   Config
	step  *stepper.Stepper[Event, Action]
	calls chan MakeCall
	ended chan struct{}
}

// New returns a Leaser for cfg.
func New(cfg Config) *Leaser {
	l := &Leaser{cfg: cfg.withDefaults(), calls: make(chan MakeCall, 1), ended: make(chan struct{})}
	l.step = stepper.New(stepper.Config[Event, Action]{Core: NewCore(l.cfg), Handle: l.handle})
	return l
}

func (l *Leaser) handle(a Action) {
	switch a := a.(type) {
	case MakeCall:
		l.calls <- a // a core has one call under way, so the channel has room
	case Hold:
		l.cfg.OnHold(a)
	case End:
		close(l.ended)
	}
}

// Freed tells the leaser that the key was seen to go.
func (l *Leaser) Freed() { l.step.Submit(Freed{}) }

// Run asks for the lease and renews it until ctx ends, then gives it back. It returns nil.
func (l *Leaser) Run(ctx context.Context) error {
	// Calls outlive ctx, so that the lease can be given back.
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.callLoop(calls)
	}()
	l.tickLoop(ctx)
	l.step.Submit(Stop{})
	last, stop := context.WithTimeout(calls, l.cfg.ReleaseTimeout)
	go func() {
		<-done
		stop()
	}()
	l.tickLoop(last)
	cancel()
	<-done
	return nil
}

func (l *Leaser) tickLoop(ctx context.Context) {
	t := time.NewTicker(l.cfg.TickInterval)
	defer t.Stop()
	for {
		l.step.Submit(Tick{Wall: time.Now().Round(0)})
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// callLoop makes the core's calls until the lease was given back or ctx ends.
func (l *Leaser) callLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case ask := <-l.calls:
			l.step.Submit(l.call(ctx, ask))
		}
	}
}

func (l *Leaser) call(ctx context.Context, ask MakeCall) Answered {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.TTL/5)
	defer cancel()
	lease, fence, err := ask.Lease, uint64(0), error(nil)
	switch ask.Call {
	case CallCheck:
		err = l.look(ctx)
	case CallGrant:
		lease, err = l.cfg.Platform.Grant(ctx, l.cfg.TTL)
	case CallClaim:
		fence, err = l.claim(ctx, lease)
	case CallRenew:
		err = l.cfg.Platform.Renew(ctx, lease)
	case CallRevoke:
		err = l.cfg.Platform.Revoke(ctx, lease)
	}
	return Answered{Call: ask.Call, Lease: lease, Fence: fence, Result: result(err)}
}

// look returns a conflict if another holder has the key. A key that an earlier run at this
// instance left behind is taken away, since that run has ended.
func (l *Leaser) look(ctx context.Context) error {
	e, err := l.cfg.Platform.Get(ctx, l.cfg.Key)
	if _, ok := errors.AsType[*keeper.NotFoundError](err); ok {
		return nil
	}
	if err != nil {
		return err
	}
	if l.cfg.Owner != "" && strings.HasPrefix(string(e.Value), l.cfg.Owner) {
		return l.cfg.Platform.Delete(ctx, e.Key, e.Revision)
	}
	return &keeper.ConflictError{Key: e.Key, Revision: e.Revision}
}

// claim creates the key under lease, or finds that an earlier claim under the same lease
// did. It returns the key's revision.
func (l *Leaser) claim(ctx context.Context, lease keeper.LeaseID) (uint64, error) {
	value := []byte(l.cfg.Token + " " + string(lease))
	created, err := l.cfg.Platform.Create(ctx, l.cfg.Key, value, lease)
	if _, ok := errors.AsType[*keeper.ConflictError](err); !ok {
		return created.Revision, err
	}
	e, readErr := l.cfg.Platform.Get(ctx, l.cfg.Key)
	if readErr != nil {
		return 0, readErr
	}
	if string(e.Value) != string(value) {
		return 0, err
	}
	return e.Revision, nil
}

// result sorts the errors of the platform's client.
func result(err error) Result {
	if err == nil {
		return ResultOK
	}
	if _, ok := errors.AsType[*keeper.NotFoundError](err); ok {
		return ResultRefused
	}
	if _, ok := errors.AsType[*keeper.ConflictError](err); ok {
		return ResultRefused
	}
	return ResultUnknown
}
