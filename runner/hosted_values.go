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
		Value: func(ctx context.Context, key string, revision, base uint64, wait time.Duration) (replicator.Value, error) {
			return h.replica.Value(ctx, key, revision, base, wait)
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
	valueHedgeDelay = 400 * time.Millisecond // after which the next peer is tried too; a difference takes a few milliseconds, and a value of 1,640 routes in full some 10 ms at 14 Mbit/s
)

// fetchedValue is the outcome of a fetch of a value from a peer.
type fetchedValue struct {
	peer  messenger.Peer
	entry storeclient.Entry
	err   error
}

// FetchValue fetches the value of a reference from the peer that this instance follows, and from another one
// beside it if that fails or has not answered in time. If both fail, it fetches the value from the store.
func (u *upstream) FetchValue(ctx context.Context, r replicator.Reference, base storeclient.Entry) (storeclient.Entry, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peers := u.valuePeers()
	fetched := make(chan fetchedValue, len(peers))
	pending := 0
	for next := 0; next < len(peers) || pending > 0; {
		var hedge <-chan time.Time
		if next < len(peers) {
			pending++
			go func(p messenger.Peer) {
				e, err := u.hosted.messenger.FetchValue(ctx, p, r, base)
				fetched <- fetchedValue{p, e, err}
			}(peers[next])
			next++
		}
		if next < len(peers) {
			timer := time.NewTimer(valueHedgeDelay)
			defer timer.Stop()
			hedge = timer.C
		}
		select {
		case f := <-fetched:
			pending--
			if f.err == nil {
				return f.entry, nil
			}
			u.hosted.logger.Debug().Err(f.err).Str("peer", string(f.peer.Instance)).Str("key", r.Key).Uint64("revision", r.Revision).Msg("value not fetched from peer")
		case <-hedge:
		}
	}
	e, err := u.hosted.store.GetAtLeast(ctx, r.Key, r.Revision)
	if err == nil {
		u.hosted.logger.Info().Str("key", r.Key).Uint64("revision", e.Revision).Int("size", len(e.Value)).Msg("value fetched from the store, because no peer has returned it")
	}
	return e, err
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
