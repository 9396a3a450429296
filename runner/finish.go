package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// settlePoll is the time between two looks at the results that wait to be stored.
const settlePoll = 50 * time.Millisecond

// finish ends the callers' connections once their requests have ended, and then waits
// until the results of claimed calls are stored: one that is lost with the process is
// unknown to whoever asks again. A platform that cannot be reached holds this up until
// ctx ends, which is then the error.
func (i *instance) finish(ctx context.Context, callers *http.Server) error {
	if err := callers.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests in flight")
	}
	t := time.NewTicker(settlePoll)
	defer t.Stop()
	for i.claimer.Unsettled() > 0 {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d results of claimed calls not stored", i.claimer.Unsettled())
		case <-t.C:
		}
	}
	return nil
}
