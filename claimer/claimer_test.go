package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthmill/claimer"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// store is an in-memory Store that answers after a millisecond and can be made unavailable.
type store struct {
	mu       sync.Mutex
	entries  map[string]storeclient.Entry
	revision uint64
	down     bool
}

func (s *store) do(ctx context.Context, f func() error) error {
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return &storeclient.UnavailableError{Call: "any", Cause: ctx.Err()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &storeclient.UnavailableError{Call: "any", Cause: errors.New("down")}
	}
	return f()
}

func (s *store) Get(ctx context.Context, key string) (e storeclient.Entry, err error) {
	err = s.do(ctx, func() error {
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return &storeclient.NotFoundError{Key: key}
		}
		return nil
	})
	return e, err
}

func (s *store) Create(ctx context.Context, key string, value []byte, _ storeclient.LeaseID) (storeclient.Entry, error) {
	return s.SwapLeased(ctx, key, 0, value, "")
}

func (s *store) SwapLeased(ctx context.Context, key string, revision uint64, value []byte, _ storeclient.LeaseID) (e storeclient.Entry, err error) {
	err = s.do(ctx, func() error {
		if s.entries[key].Revision != revision {
			return &storeclient.ConflictError{Key: key, Revision: s.entries[key].Revision}
		}
		s.revision++
		e = storeclient.Entry{Key: key, Value: value, Revision: s.revision}
		s.entries[key] = e
		return nil
	})
	return e, err
}

func (s *store) Delete(ctx context.Context, key string, revision uint64) error {
	return s.do(ctx, func() error {
		if s.entries[key].Revision != revision {
			return &storeclient.ConflictError{Key: key, Revision: s.entries[key].Revision}
		}
		delete(s.entries, key)
		return nil
	})
}

func (s *store) Grant(ctx context.Context, _ time.Duration) (storeclient.LeaseID, error) {
	return "lease", s.do(ctx, func() error { return nil })
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// start starts n claimers with the same store and the same random seed, which a careless operator may configure.
func start(ctx context.Context, s *store, n int) []*claimer.Claimer {
	var all []*claimer.Claimer
	for i := range n {
		c := claimer.New(claimer.Config{
			Store: s, Instance: identifier.Instance(fmt.Sprintf("entry-%d", i)), Random: rand.NewPCG(7, 7),
		})
		go func() { _ = c.Run(ctx) }()
		all = append(all, c)
	}
	return all
}

var (
	key    = claimer.Key{Account: "family", IdempotencyKey: "renewal-4711"}
	digest = claimer.DigestOf("POST", "/renewals", []byte("one year"))
	paid   = claimer.Answered{Status: 201, Body: []byte("paid")}
)

func TestOneOfManyIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := start(ctx, &store{entries: map[string]storeclient.Entry{}}, 4)
		decisions := make(chan claimer.Decision, 20)
		for i := range 20 {
			go func() { decisions <- all[i%4].Claim(ctx, key, digest) }()
		}
		var granted []claimer.Granted
		for range 20 {
			if g, ok := (<-decisions).(claimer.Granted); ok {
				granted = append(granted, g)
			}
		}
		is.Equal(len(granted), 1) // only one call at all instances
		stored := 0
		for _, c := range all {
			if c.Settle(ctx, granted[0].Token, paid) == nil {
				stored++
			}
		}
		is.Equal(stored, 1) // by the claimant only
		for _, c := range all {
			is.Equal(c.Claim(ctx, key, digest), claimer.Replay{Result: paid})
		}
	})
}

func TestServiceDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &store{entries: map[string]storeclient.Entry{}}
		all := start(ctx, s, 2)
		g, ok := all[0].Claim(ctx, key, digest).(claimer.Granted)
		is.True(ok)
		s.setDown(true)
		var unsettled *claimer.UnsettledError
		is.True(errors.As(all[0].Settle(ctx, g.Token, claimer.Unknown{}), &unsettled)) // the result is kept in memory
		is.Equal(all[0].Unsettled(), 1)
		other := claimer.Key{Account: "family", IdempotencyKey: "renewal-4712"}
		_, unavailable := all[1].Claim(ctx, other, digest).(claimer.Unavailable)
		is.True(unavailable) // a call with a new key is rejected as not run
		s.setDown(false)
		time.Sleep(3 * time.Second) // of the synthetic clock: ticks store the result
		is.Equal(all[0].Unsettled(), 0)
		is.Equal(all[1].Claim(ctx, key, digest), claimer.Replay{Result: claimer.Unknown{}})
		_, granted := all[1].Claim(ctx, other, digest).(claimer.Granted)
		is.True(granted)
	})
}

func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		all := start(ctx, &store{entries: map[string]storeclient.Entry{}}, 1)
		cancelled, cancelCall := context.WithCancel(ctx)
		cancelCall()
		_, unavailable := all[0].Claim(cancelled, key, digest).(claimer.Unavailable)
		is.True(unavailable)
		time.Sleep(time.Second) // of the synthetic clock: the claim is removed
		_, granted := all[0].Claim(ctx, key, digest).(claimer.Granted)
		is.True(granted) // the key is free again
	})
}

func TestGrantedMaySend(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := claimer.Granted{SendBefore: now.Add(time.Second)}
	is.True(g.MaySend(now))
	is.True(!g.MaySend(now.Add(time.Second)))
	is.True(!g.MaySend(now.Add(time.Second).Round(0))) // the wall clock advanced while the monotonic clock stood
}

// unknownCreates is a store whose Create takes effect but returns an *UnknownError caused by a
// *NotFoundError, as if reading the key back had found nothing.
type unknownCreates struct{ *store }

func (u unknownCreates) Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error) {
	_, _ = u.store.Create(ctx, key, value, lease)
	return storeclient.Entry{}, &storeclient.UnknownError{Call: "create", Key: key, Cause: &storeclient.NotFoundError{Key: key}}
}

func TestUnknownCreateIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := claimer.New(claimer.Config{Store: unknownCreates{&store{entries: map[string]storeclient.Entry{}}}, Instance: "entry-0"})
		_, granted := c.Claim(t.Context(), key, digest).(claimer.Granted)
		is.New(t).True(granted) // by its own token
	})
}
