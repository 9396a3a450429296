package storeclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
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

// EndedEraError reports that a call names a revision or a lease of an era that has ended. It was not sent, or it was
// answered in a later era.
type EndedEraError struct {
	Era   Era // of the revision or lease
	Known Era // the highest era that an answer has named
}

func (e *EndedEraError) Error() string {
	return fmt.Sprintf("storeclient: revision or lease of era %d, the store is in era %d", e.Era, e.Known)
}

// isEnded reports whether an error's cause is an *EndedEraError.
func isEnded(err error) bool {
	var ended *EndedEraError
	return errors.As(err, &ended)
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

// checkEra returns an *EndedEraError if a call depends on an era that has ended.
func (c *Client) checkEra(call Call) error {
	if era := c.Era(); call.dependsOnEra() && call.Era < era {
		return &EndedEraError{Era: call.Era, Known: era}
	}
	return nil
}

// acceptEra returns the era of an answer to call. It returns an *EraError if the answer is not one of the current era, and
// an *EndedEraError if call depends on an earlier one: it was performed on the state of another history.
func (c *Client) acceptEra(call Call, h http.Header) (Era, error) {
	named, problem := c.cfg.Dialect.Era(h)
	isRestored, err := c.recordEra(call, named, problem)
	if err != nil {
		return 0, err
	}
	if isRestored && c.cfg.OnRestore != nil {
		c.cfg.OnRestore(named)
	}
	return named, c.checkEra(call)
}

// recordEra records the era that an answer to call names, and reports whether the store has been restored since the last
// one. Its error is *EraError.
func (c *Client) recordEra(call Call, named Era, problem string) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isRestored, err := c.era.record(named, problem)
	if isRestored {
		c.meters.restores.Add(context.Background(), 1)
		c.cfg.Logger.Warn().Uint64("era", uint64(named)).Str("call", string(call.Operation)).Msg("storeclient: store was restored from an older copy")
	}
	if err == nil {
		return isRestored, nil
	}
	c.meters.foreignEras.Add(context.Background(), 1)
	if now := c.cfg.Now(); now.Sub(c.era.loggedAt) >= eraLogInterval {
		c.era.loggedAt = now
		c.cfg.Logger.Warn().Err(err).Str("call", string(call.Operation)).Msg("storeclient: answer of another era, it is not used")
	}
	return false, err
}

// scopedLease returns the ID of a lease that was granted in an era. Its era is part of the ID, because the store may give
// out the same number again in a later one.
func scopedLease(lease LeaseID, era Era) LeaseID {
	if era == 0 {
		return lease
	}
	return LeaseID(fmt.Sprintf("%s%s%d", lease, eraSeparator, era))
}

// splitLease returns the store's own ID of a lease, and the era in which it was granted.
func splitLease(lease LeaseID) (LeaseID, Era) {
	id, text, _ := strings.Cut(string(lease), eraSeparator)
	era, _ := strconv.ParseUint(text, 10, 64) // empty for a store that names no era
	return LeaseID(id), Era(era)
}

// eraSeparator stands between the store's ID of a lease and the era.
const eraSeparator = "@"

// registerEraGauge registers the gauge of the store's era with m. A gauge whose registration fails records nothing.
func registerEraGauge(m metric.Meter, era func() Era) {
	_, _ = m.Int64ObservableGauge("store.era", metric.WithDescription("Highest era that an answer of the store has named; zero for none."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(era()))
			return nil
		}))
}
