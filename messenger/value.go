package messenger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"amaranthmill/differ"
	"amaranthmill/internal/limitreader"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// Query parameters of the exchanges about the replica.
const (
	parameterDeferLarge = "deferLarge" // large values are returned as references
	parameterWait       = "waitMs"     // longest time for which the answer waits for changes
)

// Headers of an answer with a value. The body is the value, compressed by package differ.
const (
	headerEra      = "X-Value-Era" // in which the revisions count; absent in versions before it
	headerRevision = "X-Value-Revision"
	headerBase     = "X-Value-Base" // revision of the version that is the dictionary; absent for none
	headerSize     = "X-Value-Size" // of the decompressed value in bytes
	headerSum      = "X-Value-Sum"  // checksum of the decompressed value in hexadecimal
)

// Times of a fetch of a value.
const (
	valueWait         = time.Second // for which a peer that does not have the value yet holds the call
	valueTransferTime = time.Second // of a value that hardly shrinks, over a link of 14 Mbit/s: 1.75 MB
)

// Values gives peers access to the large values of the local replica.
type Values struct {
	Watch                func(ctx context.Context, after uint64, wait time.Duration) (replicator.PeerChanges, error)                          // waits for changes, with references in place of large values
	UpdateWithReferences func(after uint64) replicator.Update                                                                                 // what the local replica holds beyond a revision, with references to missing values
	Value                func(ctx context.Context, reference replicator.Reference, base uint64, wait time.Duration) (replicator.Value, error) // waits for a value; its error may be *replicator.MissingValueError
}

func (v Values) isSet() bool { return v.Value != nil }

// ValueTransfer reports that a large value was sent or received.
type ValueTransfer struct {
	Sent       bool // to a peer; otherwise received from one
	Difference bool // compressed with an earlier version as dictionary
	Bytes      int  // in compressed form
}

// BaseError reports that a peer used another version as dictionary than the one that was asked for.
type BaseError struct{ Asked, Used uint64 }

func (e *BaseError) Error() string {
	return fmt.Sprintf("messenger: the peer used revision %d as base, not %d", e.Used, e.Asked)
}

// DifferenceError reports that a value that was compressed with an earlier version as dictionary can't be used.
type DifferenceError struct{ Cause error }

func (e *DifferenceError) Error() string {
	return fmt.Sprintf("messenger: difference can't be applied: %v", e.Cause)
}

func (e *DifferenceError) Unwrap() error { return e.Cause }

// defersLarge reports whether a peer asks for references in place of large values and this instance has them.
func (m *Messenger) defersLarge(r *http.Request) bool {
	return m.cfg.Values.isSet() && r.URL.Query().Get(parameterDeferLarge) == "1"
}

// serveValue answers a peer that fetches the value of a reference. It waits for the value if this replica knows
// only the reference too.
func (m *Messenger) serveValue(w http.ResponseWriter, r *http.Request) {
	if !m.cfg.Values.isSet() {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	revision, err := strconv.ParseUint(query.Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision is not a revision", http.StatusBadRequest)
		return
	}
	base, err := strconv.ParseUint(query.Get("base"), 10, 64)
	if err != nil {
		base = 0 // the value is sent without a base
	}
	era, _ := strconv.ParseUint(query.Get("era"), 10, 64) // peers of versions before it name none
	reference := replicator.Reference{Key: query.Get("key"), Era: storeclient.Era(era), Revision: revision}
	v, err := m.cfg.Values.Value(r.Context(), reference, base, valueWait)
	if err != nil {
		status := http.StatusServiceUnavailable
		var missing *replicator.MissingValueError
		if errors.As(err, &missing) && missing.IsGone {
			status = http.StatusNotFound
		}
		http.Error(w, err.Error(), status)
		return
	}
	e, err := m.values.encode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(e.compressed)))
	h.Set(headerEra, strconv.FormatUint(uint64(v.Era), 10))
	h.Set(headerRevision, strconv.FormatUint(v.Revision, 10))
	h.Set(headerSize, strconv.Itoa(len(v.Value)))
	h.Set(headerSum, strconv.FormatUint(e.sum, 16))
	if v.BaseRevision > 0 {
		h.Set(headerBase, strconv.FormatUint(v.BaseRevision, 10))
	}
	if _, err := w.Write(e.compressed); err != nil {
		m.cfg.Logger.Debug().Err(err).Str("key", v.Key).Msg("can't send a value to a peer")
		return
	}
	m.reportTransfer(ValueTransfer{Sent: true, Difference: v.BaseRevision > 0, Bytes: len(e.compressed)})
}

func (m *Messenger) reportTransfer(t ValueTransfer) {
	if m.cfg.OnTransfer != nil {
		m.cfg.OnTransfer(t)
	}
}

// FetchValue fetches the value of a reference, or a newer version of it, from a peer. If base has a value, the
// peer may send the difference to it; if that can't be applied, the value is fetched in full. Its error is
// *StatusError, *differ.SumError or an error of the HTTP exchange.
func (m *Messenger) FetchValue(ctx context.Context, p Peer, r replicator.Reference, base storeclient.Entry) (replicator.Version, error) {
	e, err := m.fetchValue(ctx, p, r, base)
	var difference *DifferenceError
	if errors.As(err, &difference) {
		m.cfg.Logger.Info().Err(err).Str("peer", string(p.Instance)).Str("key", r.Key).Uint64("revision", r.Revision).Uint64("base", base.Revision).
			Msg("difference of a value can't be applied; fetching the value in full")
		return m.fetchValue(ctx, p, r, storeclient.Entry{})
	}
	return e, err
}

func (m *Messenger) fetchValue(ctx context.Context, p Peer, r replicator.Reference, base storeclient.Entry) (replicator.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout+valueWait+valueTransferTime)
	defer cancel()
	query := url.Values{
		"key": {r.Key}, "era": {strconv.FormatUint(uint64(r.Era), 10)}, "revision": {strconv.FormatUint(r.Revision, 10)},
		"base": {strconv.FormatUint(base.Revision, 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+pathValue+"?"+query.Encode(), nil)
	if err != nil {
		return replicator.Version{}, err
	}
	resp, err := m.cfg.HTTP.Do(req)
	if err != nil {
		return replicator.Version{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return replicator.Version{}, &StatusError{Status: resp.StatusCode}
	}
	compressed, err := io.ReadAll(limitreader.New(resp.Body, "value from a peer", bodyLimit))
	if err != nil {
		return replicator.Version{}, err
	}
	v, err := m.decodeValue(resp.Header, r, base, compressed)
	v.Peer = p.Instance
	return v, err
}

// decodeValue returns the version of an answer. Its error is *DifferenceError if the answer was compressed with a
// base.
func (m *Messenger) decodeValue(h http.Header, r replicator.Reference, base storeclient.Entry, compressed []byte) (replicator.Version, error) {
	revision, err := strconv.ParseUint(h.Get(headerRevision), 10, 64)
	if err != nil {
		return replicator.Version{}, err
	}
	sum, err := strconv.ParseUint(h.Get(headerSum), 16, 64)
	if err != nil {
		return replicator.Version{}, err
	}
	size, err := strconv.Atoi(h.Get(headerSize))
	if err != nil {
		return replicator.Version{}, err
	}
	era, _ := strconv.ParseUint(h.Get(headerEra), 10, 64)   // absent in versions before it
	used, _ := strconv.ParseUint(h.Get(headerBase), 10, 64) // absent without a base
	m.reportTransfer(ValueTransfer{Difference: used > 0, Bytes: len(compressed)})
	var value []byte
	switch used {
	case 0:
		value, err = m.decoder.Decode(compressed, nil, size, sum)
	case base.Revision:
		if value, err = m.decoder.Decode(compressed, base.Value, size, sum); err != nil {
			err = &DifferenceError{Cause: err}
		}
	default:
		err = &DifferenceError{Cause: &BaseError{Asked: base.Revision, Used: used}}
	}
	return replicator.Version{Entry: storeclient.Entry{Key: r.Key, Value: value, Revision: revision}, Era: storeclient.Era(era)}, err
}

// Bounds of the compressed values that are kept. Followers of one replica have few different bases, and a value of
// 1,640 routes in full takes some 16 KB.
const (
	maxEncodings     = 16
	maxEncodingBytes = 2 << 20
)

// valueCache keeps the last compressed values, because many followers ask for the same one. Its zero value is ready
// for use. It is safe for concurrent use; calls run one after the other, so that each value is compressed
// once.
type valueCache struct {
	mu      sync.Mutex // guards the fields below
	encoder differ.Encoder
	kept    []encoding
	bytes   int // of the kept values
}

// encoding is a compressed value. Its checksums identify it, because a restored store gives out revisions again.
type encoding struct {
	sum, baseSum uint64 // of the value and of its base
	compressed   []byte
}

// encode returns v in compressed form.
func (c *valueCache) encode(v replicator.Value) (encoding, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := encoding{sum: differ.Sum(v.Value), baseSum: differ.Sum(v.Base)}
	for _, kept := range c.kept {
		if kept.sum == e.sum && kept.baseSum == e.baseSum {
			return kept, nil
		}
	}
	var err error
	if e.compressed, err = c.encoder.Encode(v.Value, v.Base); err != nil {
		return encoding{}, err
	}
	c.kept = append(c.kept, e)
	c.bytes += len(e.compressed)
	for len(c.kept) > maxEncodings || c.bytes > maxEncodingBytes {
		c.bytes -= len(c.kept[0].compressed)
		c.kept = slices.Delete(c.kept, 0, 1)
	}
	return e, nil
}
