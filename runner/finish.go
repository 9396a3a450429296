package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// settlePollInterval is the time between two checks for results that are not yet stored.
const settlePollInterval = 50 * time.Millisecond

// finish shuts down the callers' server, which completes the requests in flight, and then
// waits until the results of claimed calls are stored: if a result is lost with the process, a
// retry of the call gets the outcome unknown. While the platform is unreachable, finish waits
// until ctx is done and returns the error of ctx.
func (i *instance) finish(ctx context.Context, callers *http.Server) error {
	if err := callers.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "wait for requests in flight")
	}
	t := time.NewTicker(settlePollInterval)
	defer t.Stop()
	for i.claimer.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "wait to store %d results of claimed calls", i.claimer.Unsettled())
		case <-t.C:
		}
	}
	return nil
}
