package storeclient

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Era numbers the histories of the store. It rises when the store has been restored from an older copy and so has lost
// changes that it had acknowledged. Revisions and leases of different eras can't be compared, because the store gives
// them out again. A store that names no era is in era zero.
type Era uint64

// EraError reports an answer that can't be attributed to the store's current era.
type EraError struct {
	Known   Era    // the highest era that an answer has named
	Named   Era    // the era that the answer names; zero if it names none
	Problem string // of the header; empty if it names an era
}

func (e *EraError) Error() string {
	switch {
	case e.Problem != "":
		return fmt.Sprintf("storeclient: answer in era %d expected, found one whose era %s", e.Known, e.Problem)
	case e.Named == 0:
		return fmt.Sprintf("storeclient: answer in era %d expected, found one without an era", e.Known)
	}
	return fmt.Sprintf("storeclient: answer in era %d expected, found one in era %d", e.Known, e.Named)
}

// eraLogInterval is the shortest time between two log lines about answers whose era is not the current one.
const eraLogInterval = 10 * time.Second

// eraTracker keeps the highest era that an answer has named. Its zero value is ready for use. It is not safe for
// concurrent use.
type eraTracker struct {
	known    Era
	isKnown  bool      // an answer was attributed to an era
	loggedAt time.Time // of the last line about an answer whose era is not the current one
}

// record takes over the era of an answer. It reports whether the store has been restored since the last answer, and
// returns an *EraError if the answer does not belong to the current era.
func (t *eraTracker) record(named Era, problem string) (isRestored bool, err *EraError) {
	if problem != "" || named < t.known {
		return false, &EraError{Known: t.known, Named: named, Problem: problem}
	}
	isRestored = t.isKnown && named > t.known
	t.known, t.isKnown = named, true
	return isRestored, nil
}

// Era returns the highest era that an answer has named, or zero.
func (c *Client) Era() Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era.known
}

// recordEra records the era that an answer to call names. Its error is *EraError.
func (c *Client) recordEra(call Call, named Era, problem string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	isRestored, err := c.era.record(named, problem)
	if isRestored {
		c.meters.restores.Add(context.Background(), 1)
		c.cfg.Logger.Warn().Uint64("era", uint64(named)).Str("call", string(call.Operation)).Msg("storeclient: store was restored from an older copy")
	}
	if err == nil {
		return nil
	}
	c.meters.foreignEras.Add(context.Background(), 1)
	if now := c.cfg.Now(); now.Sub(c.era.loggedAt) >= eraLogInterval {
		c.era.loggedAt = now
		c.cfg.Logger.Warn().Err(err).Str("call", string(call.Operation)).Msg("storeclient: answer of another era")
	}
	return err
}

// registerEraGauge registers the gauge of the store's era with m. A gauge whose registration fails records nothing.
func registerEraGauge(m metric.Meter, era func() Era) {
	_, _ = m.Int64ObservableGauge("store.era", metric.WithDescription("Highest era that an answer of the store has named; zero for none."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(era()))
			return nil
		}))
}
