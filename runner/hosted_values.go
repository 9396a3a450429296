package runner

import (
	"context"
	"slices"
	"time"

	"amaranthmill/messenger"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// replicaValues gives peers access to the large values of the replica, which is created after the messenger.
func (h *hosted) replicaValues() messenger.Values {
	return messenger.Values{
		Watch: func(ctx context.Context, after uint64, wait time.Duration) (replicator.PeerChanges, error) {
			return h.replica.WatchReferences(ctx, after, wait)
		},
		UpdateWithReferences: func(after uint64) replicator.Update { return h.replica.UpdateWithReferences(after) },
		Value: func(ctx context.Context, reference replicator.Reference, base uint64, wait time.Duration) (replicator.Value, error) {
			return h.replica.Value(ctx, reference, base, wait)
		},
	}
}

// valueMeters holds the metrics of large values that instances exchange.
type valueMeters struct {
	bytes metric.Int64Counter
	wait  metric.Float64Histogram
}

// newValueMeters registers the instruments with m. An instrument whose registration fails records nothing.
func newValueMeters(m metric.Meter) *valueMeters {
	out := &valueMeters{}
	out.bytes, _ = m.Int64Counter("values.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of large values, compressed, sent to and received from peers, by direction and kind: whole or difference."))
	out.wait, _ = m.Float64Histogram("values.wait", metric.WithUnit("s"),
		metric.WithDescription("Time from the reference to a new version of a large value until the value is there."))
	return out
}

func (m *valueMeters) countTransfer(t messenger.ValueTransfer) {
	direction, kind := "received", "whole"
	if t.Sent {
		direction = "sent"
	}
	if t.Difference {
		kind = "difference"
	}
	m.bytes.Add(context.Background(), int64(t.Bytes), metric.WithAttributes(attribute.String("direction", direction), attribute.String("kind", kind)))
}

func (m *valueMeters) countArrival(a replicator.ValueArrival) {
	m.wait.Record(context.Background(), a.Wait.Seconds())
}

// Bounds of a fetch of a value.
const (
	maxValuePeers   = 2                      // that are tried before the store
	valueHedgeDelay = 400 * time.Millisecond // after which the next peer or the store is tried too; a difference takes a few milliseconds, and a value of 1,640 routes in full some 10 ms at 14 Mbit/s
)

// fetchedValue is the outcome of a fetch of a value.
type fetchedValue struct {
	version replicator.Version
	err     error
}

// FetchValue fetches the value of a reference from the peer that this instance follows. Another peer, and after it the
// store, is tried beside the pending fetches when one fails or the last one has not answered in time. The error
// is that of the source that failed last.
func (u *upstream) FetchValue(ctx context.Context, r replicator.Reference, base storeclient.Entry) (replicator.Version, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sources []func() fetchedValue
	for _, p := range u.valuePeers() {
		sources = append(sources, func() fetchedValue { return u.fetchFromPeer(ctx, p, r, base) })
	}
	sources = append(sources, func() fetchedValue { return u.fetchFromStore(ctx, r) })
	fetched := make(chan fetchedValue, len(sources))
	var last fetchedValue
	for pending := 0; len(sources) > 0 || pending > 0; {
		var hedge <-chan time.Time
		if len(sources) > 0 {
			source := sources[0]
			go func() { fetched <- source() }()
			pending++
			sources = sources[1:]
		}
		if len(sources) > 0 {
			timer := time.NewTimer(valueHedgeDelay)
			defer timer.Stop()
			hedge = timer.C
		}
		select {
		case last = <-fetched:
			pending--
			if last.err == nil {
				return last.version, nil
			}
		case <-hedge:
		}
	}
	return replicator.Version{}, last.err
}

func (u *upstream) fetchFromPeer(ctx context.Context, p messenger.Peer, r replicator.Reference, base storeclient.Entry) fetchedValue {
	v, err := u.hosted.messenger.FetchValue(ctx, p, r, base)
	if err != nil && ctx.Err() == nil {
		u.hosted.logger.Debug().Err(err).Str("peer", string(p.Instance)).Str("key", r.Key).Uint64("revision", r.Revision).Msg("value not fetched from peer")
	}
	return fetchedValue{v, err}
}

func (u *upstream) fetchFromStore(ctx context.Context, r replicator.Reference) fetchedValue {
	e, err := u.hosted.store.GetAtLeast(ctx, r.Key, r.Era, r.Revision)
	if err == nil {
		u.hosted.logger.Info().Str("key", r.Key).Uint64("revision", e.Revision).Int("size", len(e.Value)).Msg("value fetched from the store, because no peer has returned it")
	}
	return fetchedValue{replicator.Version{Entry: e, Era: r.Era}, err}
}

// valuePeers returns the peers to fetch a value from, in the order in which to try them: the one that this instance
// follows, and those that precede it in the tree.
func (u *upstream) valuePeers() []messenger.Peer {
	domainInstances := u.domainInstances()
	if knowsLinks(domainInstances) {
		domainInstances = newLinkTree(domainInstances).instances
	}
	own := slices.IndexFunc(domainInstances, func(p messenger.Peer) bool { return p.Instance == u.hosted.settings.Instance })
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []messenger.Peer
	if p, ok := u.hosted.peers.Find(u.followed); ok && p.FailureDomain != u.hosted.settings.FailureDomain {
		out = append(out, p)
	}
	for _, p := range domainInstances[:own] {
		switch {
		case p.Instance == u.followed:
			out = slices.Insert(out, 0, p)
		case time.Since(u.failedAt[p.Instance]) >= followRetryDelay:
			out = append(out, p)
		}
	}
	return out[:min(len(out), maxValuePeers)]
}
