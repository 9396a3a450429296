package runner

import (
	"context"
	"time"
)

// every calls f at once and then each time that d has passed, until ctx ends. It returns nil.
func every(ctx context.Context, d time.Duration, f func(context.Context)) error {
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
