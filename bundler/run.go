package bundler

import (
	"context"
	"errors"
	"time"

	"amaranthmill/storeclient"
)

const (
	tickInterval = 250 * time.Millisecond
	// retryDelay is the wait before a failed call to the platform is retried. Reads and watches
	// of a Store vary it with addJitter.
	retryDelay = 500 * time.Millisecond
)

// Run watches the platform's current bundle until ctx ends, and then returns ctx's error.
// It must be called at most once. While the platform is unreachable, Run retries and the
// bundle in force stays; peers can still supply a newer one.
func (s *Store) Run(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runCore(ctx)
	}()
	s.follow(ctx)
	<-done
	return ctx.Err()
}

// runCore submits a Ticked event at each tickInterval and carries out the core's restores.
func (s *Store) runCore(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = s.submit(Ticked{}) // the core refuses no Ticked event
		case r := <-s.restores:
			s.writeBack(ctx, r)
		}
	}
}

// follow reads the current bundle and then watches it. It reads again after each watch that
// ends without a change. The read also detects that the platform's store was restored
// from an older backup, for which a watch from a later revision reports no change.
func (s *Store) follow(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := s.readCurrent(ctx)
		if err != nil {
			s.cfg.Logger.Warn().Err(err).Msg("bundler: current bundle not read from the platform")
			pause(ctx, s.addJitter(retryDelay))
			continue
		}
		s.watch(ctx, after)
	}
}

// readCurrent reads the platform's current value, submits it to the core and returns its
// revision.
func (s *Store) readCurrent(ctx context.Context) (uint64, error) {
	entry, err := s.cfg.Platform.Get(ctx, CurrentKey)
	var notFound *storeclient.NotFoundError
	switch {
	case errors.As(err, &notFound):
		_ = s.submit(PlatformRead{}) // the refusal is logged
		return 0, nil
	case err != nil:
		return 0, err
	}
	_ = s.submit(PlatformRead{Revision: entry.Revision, Document: entry.Value}) // the refusal is logged
	return entry.Revision, nil
}

// watch submits the changes after revision after, until a call fails, reports no change or
// returns a lower revision.
func (s *Store) watch(ctx context.Context, after uint64) {
	for {
		changes, err := s.cfg.Platform.Watch(ctx, CurrentKey, after)
		if err != nil {
			pause(ctx, s.addJitter(retryDelay))
			return
		}
		if len(changes.Entries) == 0 || changes.Revision < after {
			return
		}
		for _, c := range changes.Entries {
			s.submitChange(c)
		}
		after = changes.Revision
	}
}

func (s *Store) submitChange(c storeclient.Change) {
	switch {
	case c.Key != CurrentKey:
	case c.Deleted:
		_ = s.submit(PlatformRead{}) // the refusal is logged
	default:
		_ = s.submit(PlatformRead{Revision: c.Revision, Document: c.Value}) // the refusal is logged
	}
}

// writeBack writes the bundle in force over an older or absent value of the platform. If
// another instance's write wins, the watch reports the new value.
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
	s.meters.countRestored(ctx)
	if s.cfg.OnRestore != nil {
		s.cfg.OnRestore(ctx, r)
	}
}

// addJitter returns a random duration, uniformly distributed between 0.5 and 1.5 times d.
// Only follow and the functions that it calls may call it, because jitter is unguarded.
func (s *Store) addJitter(d time.Duration) time.Duration {
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
