package leaser

import (
	"context"
	"errors"
	"strings"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/stepper"
	"amaranthmill/storeclient"
)

// Platform is the part of the platform's key-value store that a Leaser uses. *storeclient.Client
// implements it.
type Platform interface {
	Get(ctx context.Context, key string) (storeclient.Entry, error)
	Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error)
	Grant(ctx context.Context, ttl time.Duration) (storeclient.LeaseID, error)
	Renew(ctx context.Context, lease storeclient.LeaseID) error
	Revoke(ctx context.Context, lease storeclient.LeaseID) error
	Delete(ctx context.Context, key string, revision uint64) error
}

// Config configures a Leaser. Platform, Key, Token and OnHold are required. The zero value of each
// other field selects the default that its comment states.
type Config struct {
	Platform       Platform
	Key            string
	Token          string        // unique to this process
	Owner          string        // prefix of the tokens of all processes of this instance, which never overlap; empty if processes may overlap
	OnHold         func(Hold)    // receives until when the holder may act; must not block
	TTL            time.Duration // of the lease; 10 s
	Margin         time.Duration // between the end of acting and the earliest expiry of the lease; TTL/4
	PauseThreshold time.Duration // time between two ticks that counts as a pause of the process; TTL/5
	CheckInterval  time.Duration // between two checks of a key that another holder owns; TTL/2
	AcquireDelay   time.Duration // for which the key must be free before the lease is acquired, so that other candidates come first; none
	TickInterval   time.Duration // between two ticks; 200 ms
	ReleaseTimeout time.Duration // how long Run tries to release the lease when it ends; TTL/5
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

// Leaser acquires and renews one lease while Run runs.
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
		l.calls <- a // a core has at most one pending call, so the send does not block
	case Hold:
		l.cfg.OnHold(a)
	case End:
		close(l.ended)
	}
}

// Freed reports that the key was deleted, so that the leaser checks it at once.
func (l *Leaser) Freed() { l.step.Submit(Freed{}) }

// Restored reports that the store was restored from an older copy. It does not block.
func (l *Leaser) Restored() { l.step.Submit(Restored{}) }

// SetCheckInterval replaces Config.CheckInterval from the next check on.
func (l *Leaser) SetCheckInterval(d time.Duration) { l.step.Submit(CheckIntervalSet{Interval: d}) }

// SetCandidate sets whether the leaser may hold the lease. If not, it releases the lease, and acquires it
// only after SetCandidate(true).
func (l *Leaser) SetCandidate(isCandidate bool) {
	l.step.Submit(CandidacySet{IsCandidate: isCandidate})
}

// Run acquires the lease and renews it until ctx ends, then releases it. It returns nil.
func (l *Leaser) Run(ctx context.Context) error {
	// Calls outlive ctx so that the lease can be released.
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.callLoop(callCtx)
	}()
	l.tickLoop(ctx)
	l.step.Submit(Stop{})
	releaseCtx, stop := context.WithTimeout(callCtx, l.cfg.ReleaseTimeout)
	go func() {
		<-done
		stop()
	}()
	l.tickLoop(releaseCtx)
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

// callLoop makes the core's calls until the lease is released or ctx ends.
func (l *Leaser) callLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.ended:
			return
		case request := <-l.calls:
			l.step.Submit(l.call(ctx, request))
		}
	}
}

func (l *Leaser) call(ctx context.Context, request MakeCall) Answered {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.TTL/5)
	defer cancel()
	lease, fence, err := request.Lease, uint64(0), error(nil)
	switch request.Call {
	case CallCheck:
		err = l.checkKey(ctx)
	case CallGrant:
		lease, err = l.cfg.Platform.Grant(ctx, l.cfg.TTL)
	case CallClaim:
		fence, err = l.claimKey(ctx, lease)
	case CallRenew:
		err = l.cfg.Platform.Renew(ctx, lease)
	case CallRevoke:
		err = l.cfg.Platform.Revoke(ctx, lease)
	}
	return Answered{Call: request.Call, Lease: lease, Fence: fence, Result: classifyError(err)}
}

// checkKey returns a conflict if another holder owns the key. It deletes a key that an earlier
// process of this instance left behind, because that process has ended.
func (l *Leaser) checkKey(ctx context.Context) error {
	e, err := l.cfg.Platform.Get(ctx, l.cfg.Key)
	if _, ok := errors.AsType[*storeclient.NotFoundError](err); ok {
		return nil
	}
	if err != nil {
		return err
	}
	if l.cfg.Owner != "" && strings.HasPrefix(string(e.Value), l.cfg.Owner) {
		return l.cfg.Platform.Delete(ctx, e.Key, e.Revision)
	}
	return &storeclient.ConflictError{Key: e.Key, Revision: e.Revision}
}

// claimKey creates the key under lease, or finds that an earlier claim under the same lease created
// it. It returns the key's revision.
func (l *Leaser) claimKey(ctx context.Context, lease storeclient.LeaseID) (uint64, error) {
	value := []byte(l.cfg.Token + " " + string(lease))
	created, err := l.cfg.Platform.Create(ctx, l.cfg.Key, value, lease)
	if _, ok := errors.AsType[*storeclient.ConflictError](err); !ok {
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

// classifyError returns the result that an error of the platform's client stands for.
func classifyError(err error) Result {
	if err == nil {
		return ResultOK
	}
	if _, ok := errors.AsType[*storeclient.NotFoundError](err); ok {
		return ResultRefused
	}
	if _, ok := errors.AsType[*storeclient.ConflictError](err); ok {
		return ResultRefused
	}
	return ResultUnknown
}
