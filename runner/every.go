package runner

import (
	"context"
	"time"
)

// runEvery calls f immediately and then at intervals of d until ctx is done. It returns nil.
func runEvery(ctx context.Context, d time.Duration, f func(context.Context)) error {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}
