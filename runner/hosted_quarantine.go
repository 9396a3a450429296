package runner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/stepper"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
	"amaranthmill/storeclient"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// lossPrefix is the prefix of the keys of losses in the platform's store. A key is
// "<prefix><fingerprint>/<process start>/<endpoint>", with partKeyMarker before the fingerprint
// of a part.
const (
	lossPrefix    = "mill/losses/"
	partKeyMarker = "part-"
)

// Times of quarantines.
const (
	lossLeaseTTL     = 10 * time.Minute // the longest that the platform grants
	lossLeaseReuse   = 5 * time.Minute  // from the grant, in which further losses are stored under the same lease
	lossStoreTimeout = 3 * time.Second  // of storing or deleting a loss, with all attempts
)

// quarantine drives a quarantiner.Quarantiner: it checks connections, announces losses to
// peers, stores them, and passes restrictions on to the forwarder.
type quarantine struct {
	hosted    *hosted
	core      *quarantiner.Quarantiner
	step      *stepper.Stepper[quarantiner.Event, quarantiner.Action]
	tick      *time.Timer
	decisions metric.Int64Counter
	checks    sync.WaitGroup // of connections, that have not ended

	leaseMu   sync.Mutex // guards the fields below
	lease     storeclient.LeaseID
	grantedAt time.Time
}

func newQuarantine(h *hosted) *quarantine {
	q := &quarantine{hosted: h, core: quarantiner.New(quarantiner.Config{})}
	// A counter whose registration fails records nothing.
	q.decisions, _ = h.meter.Int64Counter("quarantiner.decisions", metric.WithDescription("Decisions on requests and parts of prompts under which endpoints ended, by kind, decision and source of the loss."))
	q.step = stepper.New(stepper.Config[quarantiner.Event, quarantiner.Action]{Core: q.core, Handle: q.handle})
	q.tick = time.AfterFunc(time.Hour, func() { q.step.Submit(quarantiner.Ticked{}) })
	return q
}

// listQuarantines returns the quarantines at this instance.
func (h *hosted) listQuarantines() []quarantiner.Quarantine {
	var out []quarantiner.Quarantine
	h.quarantine.step.Inspect(func() { out = h.quarantine.core.Quarantines() })
	return out
}

// liftQuarantine ends the quarantine of a fingerprint at all instances. It returns false if there
// is none at this instance.
func (h *hosted) liftQuarantine(fp identifier.Fingerprint) bool {
	quarantined := slices.ContainsFunc(h.listQuarantines(), func(q quarantiner.Quarantine) bool { return q.Fingerprint == fp })
	if quarantined {
		h.quarantine.step.Submit(quarantiner.QuarantineLifted{Fingerprint: fp})
	}
	return quarantined
}

// run waits until ctx is done and then stops the timer. It returns nil.
func (q *quarantine) run(ctx context.Context) error {
	<-ctx.Done()
	q.tick.Stop()
	return nil
}

// changeEndpoints submits changes of the list of endpoints.
func (q *quarantine) changeEndpoints(c endpointlister.Changes) {
	q.step.Submit(quarantiner.EndpointsChanged(c))
}

// setStoreLost submits whether the store is unreachable.
func (q *quarantine) setStoreLost(lost bool) { q.step.Submit(quarantiner.StoreHealthSet{Lost: lost}) }

// applyChange submits a change of a loss in the store. A key that can't be parsed is ignored.
func (q *quarantine) applyChange(c storeclient.Change) {
	l, err := parseLossKey(c.Key)
	switch {
	case err != nil:
		q.hosted.logger.Warn().Err(err).Uint64("revision", c.Revision).Msg("key of a loss can't be parsed, the loss is ignored")
	case c.Deleted:
		q.step.Submit(quarantiner.LossDeleted(l))
	default:
		q.step.Submit(quarantiner.LossStored{Fingerprint: l.Fingerprint, Kind: l.Kind, Process: l.Process, Revision: c.Revision})
	}
}

// handle executes one action of the core. It must not block, because the stepper holds its lock.
func (q *quarantine) handle(a quarantiner.Action) {
	switch a := a.(type) {
	case quarantiner.CheckConnection:
		q.checks.Go(func() { q.checkConnection(a) })
	case quarantiner.Restrict:
		q.hosted.forwarder.SetRestriction(scheduler.RestrictionSet{Fingerprint: a.Fingerprint, Restriction: a.Restriction, Until: a.Until, Tied: a.Tied})
	case quarantiner.Announce:
		q.hosted.messenger.Announce(a.Report)
	case quarantiner.StoreLoss:
		go q.storeLoss(a)
	case quarantiner.DeleteLoss:
		go q.deleteLoss(a)
	case quarantiner.LogDecision:
		q.logDecision(a)
	case quarantiner.WakeAt:
		q.tick.Reset(time.Until(a.At))
	}
}

// checkConnection checks whether the endpoint of a process accepts connections, after one to it broke.
func (q *quarantine) checkConnection(a quarantiner.CheckConnection) {
	accepted := q.hosted.acceptsConnections(context.Background(), a.Process.Endpoint, a.Address)
	if !accepted {
		q.hosted.logger.Info().Str("endpoint", string(a.Process.Endpoint)).Int64("processStart", int64(a.Process.Start)).Msg("endpoint accepts no connection after one to it broke")
		q.hosted.forwarder.ReportProcessEnded(a.Process)
	}
	q.step.Submit(quarantiner.ConnectionChecked{Process: a.Process, Accepted: accepted})
}

// storeLoss writes a loss to the store. The core learns of it from the replica, and requests
// it again if that does not happen.
func (q *quarantine) storeLoss(a quarantiner.StoreLoss) {
	ctx, cancel := context.WithTimeout(context.Background(), lossStoreTimeout)
	defer cancel()
	key := lossKey(a)
	lease, err := q.currentLease(ctx)
	if err == nil {
		_, err = q.hosted.store.Create(ctx, key, []byte(q.hosted.settings.Instance), lease)
	}
	var conflict *storeclient.ConflictError
	var ended *storeclient.NotFoundError
	if errors.As(err, &conflict) {
		return // another instance has stored the loss
	}
	if errors.As(err, &ended) {
		q.dropLease(lease)
	}
	if err != nil {
		q.hosted.logger.Warn().Err(err).Str("key", key).Msg("loss was not stored, it is stored again while the request is suspected")
	}
}

func (q *quarantine) deleteLoss(a quarantiner.DeleteLoss) {
	ctx, cancel := context.WithTimeout(context.Background(), lossStoreTimeout)
	defer cancel()
	key := lossKey(quarantiner.StoreLoss{Fingerprint: a.Fingerprint, Kind: a.Kind, Process: a.Process})
	if err := q.hosted.store.Delete(ctx, key, a.Revision); err != nil {
		q.hosted.logger.Warn().Err(err).Str("key", key).Msg("loss was not deleted, it stays in the store until its lease ends")
	}
}

// currentLease returns the lease of the losses that this instance stores, and grants one if there is none.
func (q *quarantine) currentLease(ctx context.Context) (storeclient.LeaseID, error) {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	now := time.Now()
	if q.lease != "" && now.Sub(q.grantedAt) < lossLeaseReuse {
		return q.lease, nil
	}
	lease, err := q.hosted.store.Grant(ctx, lossLeaseTTL)
	if err != nil {
		return "", err
	}
	q.lease, q.grantedAt = lease, now
	return lease, nil
}

// dropLease makes the next loss be stored under a new lease.
func (q *quarantine) dropLease(ended storeclient.LeaseID) {
	q.leaseMu.Lock()
	defer q.leaseMu.Unlock()
	if q.lease == ended {
		q.lease = ""
	}
}

func (q *quarantine) logDecision(a quarantiner.LogDecision) {
	e := q.hosted.logger.Info()
	switch {
	case a.Decision == quarantiner.DecisionQuarantine:
		e = q.hosted.logger.Warn().Strs("endpoints", endpointNames(a.Processes))
	case a.Kind == quarantiner.KindPart && a.Decision == quarantiner.DecisionSuspect:
		e = q.hosted.logger.Debug() // each endpoint that ends leaves some parts with a loss, which restricts nothing
	}
	if a.Part != "" {
		e = e.Str("part", string(a.Part))
	}
	e.Stringer("fingerprint", a.Fingerprint).Stringer("kind", a.Kind).Str("decision", string(a.Decision)).Str("endpoint", string(a.Process.Endpoint)).
		Int64("processStart", int64(a.Process.Start)).Str("source", string(a.Source)).Int("losses", a.Losses).Msg("request under which endpoints ended")
	q.decisions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", a.Kind.String()), attribute.String("decision", string(a.Decision)), attribute.String("source", string(a.Source))))
}

// endpointNames returns the endpoints of processes.
func endpointNames(processes []identifier.Process) []string {
	var out []string
	for _, p := range processes {
		out = append(out, string(p.Endpoint))
	}
	return out
}

func lossKey(l quarantiner.StoreLoss) string {
	marker := ""
	if l.Kind == quarantiner.KindPart {
		marker = partKeyMarker
	}
	return fmt.Sprintf("%s%s%s/%d/%s", lossPrefix, marker, l.Fingerprint, l.Process.Start, l.Process.Endpoint)
}

// lossKeyError reports that a key is not the key of a loss.
type lossKeyError struct{ Key string }

func (e *lossKeyError) Error() string {
	return fmt.Sprintf("runner: key %q is not %s[%s]<fingerprint>/<process start>/<endpoint>", e.Key, lossPrefix, partKeyMarker)
}

// parseLossKey parses the key of a loss. Its error is *lossKeyError.
func parseLossKey(key string) (quarantiner.StoreLoss, error) {
	var l quarantiner.StoreLoss
	fields := strings.SplitN(strings.TrimPrefix(key, lossPrefix), "/", 3)
	if len(fields) != 3 || fields[2] == "" {
		return l, &lossKeyError{Key: key}
	}
	digits, isPart := strings.CutPrefix(fields[0], partKeyMarker)
	if isPart {
		l.Kind = quarantiner.KindPart
	}
	fp, err := identifier.ParseFingerprint(digits)
	if err != nil {
		return l, &lossKeyError{Key: key}
	}
	start, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return l, &lossKeyError{Key: key}
	}
	l.Fingerprint = fp
	l.Process = identifier.Process{Endpoint: identifier.Endpoint(fields[2]), Start: identifier.ProcessStart(start)}
	return l, nil
}
