package bundler

import (
	"context"
	"errors"
	"time"

	"amaranthmill/storeclient"
)

const (
	tickEvery = 250 * time.Millisecond
	// readAgain is the mean wait before a failed read of the platform is repeated.
	readAgain = 500 * time.Millisecond
)

// Run follows the platform's current bundle until ctx ends, and then returns its error.
// It may be called once. A platform that cannot be reached is asked again; meanwhile
// the bundle in force stays, and peers may bring a newer one.
func (s *Store) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.tick(ctx)
	}()
	s.follow(ctx)
	<-done
	return ctx.Err()
}

// tick steps the core at intervals and carries out its restores.
func (s *Store) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = s.submit(Ticked{}) // time is never refused
		case r := <-s.restore:
			s.writeBack(ctx, r)
		}
	}
}

// follow reads the current bundle and then watches it. Each watch that ends without a
// change is followed by a read, which also finds a service that was set back to an
// older state, where the watch would wait in vain.
func (s *Store) follow(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := s.read(ctx)
		if err != nil {
			s.cfg.Logger.Warn().Err(err).Msg("bundler: current bundle not read from the platform")
			pause(ctx, s.spread(readAgain))
			continue
		}
		s.watch(ctx, after)
	}
}

// read takes up the platform's current value and returns its revision.
func (s *Store) read(ctx context.Context) (uint64, error) {
	entry, err := s.cfg.Platform.Get(ctx, CurrentKey)
	var missing *storeclient.NotFoundError
	switch {
	case errors.As(err, &missing):
		_ = s.submit(PlatformRead{}) // the refusal is logged
		return 0, nil
	case err != nil:
		return 0, err
	}
	_ = s.submit(PlatformRead{Revision: entry.Revision, Document: entry.Value}) // the refusal is logged
	return entry.Revision, nil
}

// watch takes up changes after revision after until a watch fails or brings none.
func (s *Store) watch(ctx context.Context, after uint64) {
	for {
		changes, err := s.cfg.Platform.Watch(ctx, CurrentKey, after)
		if err != nil {
			pause(ctx, s.spread(readAgain))
			return
		}
		if len(changes.Entries) == 0 || changes.Revision < after {
			return
		}
		for _, c := range changes.Entries {
			s.takeUp(c)
		}
		after = changes.Revision
	}
}

func (s *Store) takeUp(c storeclient.Change) {
	switch {
	case c.Key != CurrentKey:
	case c.Deleted:
		_ = s.submit(PlatformRead{}) // the refusal is logged
	default:
		_ = s.submit(PlatformRead{Revision: c.Revision, Document: c.Value}) // the refusal is logged
	}
}

// writeBack writes the bundle in force over an older one. Losing against another
// instance is as good; the watch shows which it was.
func (s *Store) writeBack(ctx context.Context, r Restore) {
	var err error
	if r.Revision == 0 {
		_, err = s.cfg.Platform.Create(ctx, CurrentKey, r.Document.Encoded, "")
	} else {
		_, err = s.cfg.Platform.Swap(ctx, CurrentKey, r.Revision, r.Document.Encoded)
	}
	log := s.cfg.Logger.Error().Uint64("was", uint64(r.ReplacedVersion)).Uint64("version", uint64(r.Document.Bundle.Version))
	if err != nil {
		log.Err(err).Msg("bundler: bundle in force not written back to the platform")
		return
	}
	log.Msg("bundler: bundle in force written back to the platform, which held an older one")
	s.meters.restored(ctx)
	if s.cfg.OnRestore != nil {
		s.cfg.OnRestore(ctx, r)
	}
}

// spread varies d evenly over half to one and a half of it. Only follow may call it.
func (s *Store) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.jitter.Float64()))
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
