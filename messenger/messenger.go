package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/differ"
	"amaranthmill/forwarder"
	"amaranthmill/groupformer"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/limitreader"
	"amaranthmill/quarantiner"
	"amaranthmill/replicator"
	"amaranthmill/scheduler"
)

// defaultTimeout bounds one exchange with a peer.
const defaultTimeout = 600 * time.Millisecond

// bodyLimit bounds the body read from a peer, in bytes. The largest is a complete replica.
const bodyLimit = 16 << 20

// Config configures a Messenger. All fields but Timeout and Logger are required.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain

	Peers            *Peers
	Watch            func(ctx context.Context, after uint64, wait time.Duration) (replicator.PeerChanges, error) // waits for changes of the local replica
	UpdateSince      func(after uint64) replicator.Update                                                        // what the local replica holds beyond a revision
	Report           func(ctx context.Context, id identifier.Endpoint) (groupformer.Reported, error)             // queries an endpoint for its report; its error may be *CutOffError
	CheckConnection  func(ctx context.Context, id identifier.Endpoint) ConnectionState                           // tries to connect to an endpoint
	OnLosses         func(r quarantiner.Report)                                                                  // a peer announces losses; must not block
	OnUnacknowledged func(fp identifier.Fingerprint)                                                             // a peer did not acknowledge an announcement, which is sent again; must not block
	Quarantines      func() []quarantiner.Quarantine                                                             // the quarantines at this instance
	Reach            func() scheduler.ReachStatus                                                                // the endpoints and peers that this instance reaches
	Capacities       func() []scheduler.Capacity                                                                 // the learned limits of targets at this instance
	Explain          func(q forwarder.Query) forwarder.Explanation                                               // what a request would get at this instance
	Leaving          func() []LeavingProcess                                                                     // the processes of endpoints that leave, as this instance knows them
	Evacuations      func() []Evacuation                                                                         // the evacuated failure domains, as this instance knows them
	Lift             func(fp identifier.Fingerprint) bool                                                        // ends a quarantine at all instances; false if there is none at this instance
	OnLimits         func(news []scheduler.LimitNews)                                                            // a peer reports what it knows about the limits of endpoints; must not block
	OnStalled        func(head identifier.Endpoint)                                                              // a peer reports that the group with this head is stalled; must not block
	OnLeaving        func(p identifier.Process)                                                                  // a peer reports that a process has said that it leaves; must not block
	OnDemand         func(r groupformer.DemandReported)                                                          // a peer reports the work that arrived there; must not block
	Values           Values                                                                                      // the large values of the local replica; the zero value sends all values in full
	OnTransfer       func(t ValueTransfer)                                                                       // a large value was sent to or received from a peer; must not block; may be nil
	HTTP             *http.Client
	Timeout          time.Duration // of one exchange with a peer; zero selects 600 ms
	AnnounceInterval time.Duration // between two exchanges with announcements to one peer; zero selects 200 ms
	Logger           zerolog.Logger
}

// Messenger sends messages to peers and answers those of peers. It is safe for concurrent use.
type Messenger struct {
	cfg       Config
	selector  peerSelector
	announcer announcer
	limits    limitBoard
	values    valueCache
	decoder   differ.Decoder
}

// New returns a Messenger for cfg.
func New(cfg Config) *Messenger {
	defaulter.Set(&cfg.Timeout, defaultTimeout)
	defaulter.Set(&cfg.AnnounceInterval, defaultAnnounceInterval)
	return &Messenger{
		cfg: cfg, selector: newPeerSelector(cfg.Instance, cfg.FailureDomain),
		announcer: announcer{pending: map[identifier.Instance]map[identifier.Fingerprint]announcement{}},
	}
}

// StatusError reports that a peer answered with an HTTP status of 400 or higher.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("messenger: peer answered with status %d", e.Status)
}

// UnknownPeerError reports that an instance is not listed as a peer.
type UnknownPeerError struct{ Instance identifier.Instance }

func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("messenger: instance %q is not a listed peer", e.Instance)
}

// Handler returns the handler that answers peers.
func (m *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathUpdate, m.serveUpdate)
	mux.HandleFunc("GET "+pathChanges, m.serveChanges)
	mux.HandleFunc("GET "+pathValue, m.serveValue)
	mux.HandleFunc("POST "+pathStalled, m.serveStalled)
	mux.HandleFunc("POST "+pathLeaving, m.serveLeaving)
	mux.HandleFunc("GET "+pathLeaving, m.serveLeavingList)
	mux.HandleFunc("POST "+pathReport, m.serveReport)
	mux.HandleFunc("POST "+pathConnection, m.serveConnection)
	mux.HandleFunc("POST "+pathDemand, m.serveDemand)
	mux.HandleFunc("POST "+pathLosses, m.serveLosses)
	mux.HandleFunc("POST "+pathLimits, m.serveLimits)
	mux.HandleFunc("GET "+pathLimits, m.serveLimitList)
	mux.HandleFunc("GET "+pathReach, m.serveReach)
	mux.HandleFunc("GET "+pathEvacuations, m.serveEvacuations)
	mux.HandleFunc("GET "+pathCapacity, m.serveCapacity)
	mux.HandleFunc("POST "+pathExplain, m.serveExplain)
	mux.HandleFunc("GET "+pathQuarantines, m.serveQuarantines)
	mux.HandleFunc("DELETE "+pathQuarantines+"/{fingerprint}", m.serveLift)
	return mux
}

func (m *Messenger) serveUpdate(w http.ResponseWriter, r *http.Request) {
	after, ok := parseAfter(w, r)
	if !ok {
		return
	}
	updateSince := m.cfg.UpdateSince
	if m.defersLarge(r) {
		updateSince = m.cfg.Values.UpdateWithReferences
	}
	m.writeJSON(w, encodeUpdate(updateSince(after)))
}

// parseAfter returns the revision of the peer's replica. If it is malformed, parseAfter responds with
// status 400 and returns false.
func parseAfter(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
	}
	return after, err == nil
}

// readBody decodes the body of a peer's request into out. If it is malformed, readBody responds with
// status 400 and returns false.
func readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(limitreader.New(r.Body, "request of a peer", bodyLimit)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// changesWait bounds how long a watch of the local replica by a peer stays open. It is longer than the
// time between two answers of a quiet store, each of which ends the watch.
const changesWait = time.Second

func (m *Messenger) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, ok := parseAfter(w, r)
	if !ok {
		return
	}
	watch, wait := m.cfg.Watch, changesWait
	if m.defersLarge(r) {
		watch = m.cfg.Values.Watch
	}
	if ms, err := strconv.Atoi(r.URL.Query().Get(parameterWait)); err == nil {
		wait = min(max(time.Duration(ms)*time.Millisecond, 0), changesWait)
	}
	changes, err := watch(r.Context(), after, wait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	m.writeJSON(w, encodeChanges(changes))
}

// WatchPeer waits for changes of a peer's replica after a revision. Its error is *StatusError or
// an error of the HTTP exchange.
func (m *Messenger) WatchPeer(ctx context.Context, p Peer, after uint64) (replicator.PeerChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout+changesWait)
	defer cancel()
	return m.fetchChanges(ctx, p, m.withAfter(pathChanges, after))
}

// WatchPeerFor is WatchPeer with a bound on the time for which the peer waits for changes, which peers of versions
// before this call do not keep.
func (m *Messenger) WatchPeerFor(ctx context.Context, p Peer, after uint64, wait time.Duration) (replicator.PeerChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout+wait)
	defer cancel()
	return m.fetchChanges(ctx, p, fmt.Sprintf("%s&%s=%d", m.withAfter(pathChanges, after), parameterWait, wait.Milliseconds()))
}

func (m *Messenger) fetchChanges(ctx context.Context, p Peer, path string) (replicator.PeerChanges, error) {
	var w changesWire
	if err := m.exchange(ctx, p, http.MethodGet, path, nil, &w); err != nil {
		return replicator.PeerChanges{}, err
	}
	changes := w.changes()
	changes.Peer = p.Instance
	return changes, nil
}

func (m *Messenger) serveStalled(w http.ResponseWriter, r *http.Request) {
	var notice stalledWire
	if !readBody(w, r, &notice) {
		return
	}
	m.cfg.OnStalled(notice.Head)
	w.WriteHeader(http.StatusNoContent)
}

func (m *Messenger) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var notice processWire
	if !readBody(w, r, &notice) {
		return
	}
	m.cfg.OnLeaving(identifier.Process{Endpoint: notice.Endpoint, Start: notice.ProcessStart})
	w.WriteHeader(http.StatusNoContent)
}

func (m *Messenger) writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		m.cfg.Logger.Debug().Err(err).Msg("can't send the answer to a peer")
	}
}

// minContactTime is the time for which the store must have answered a peer for the peer to be queried again.
// What a peer knows that has itself just returned does not show whether the store was away.
const minContactTime = 2200 * time.Millisecond

// FetchUpdate queries one peer for what its replica holds beyond revision after, and for how long the
// store has answered that peer. A Revision of zero means that the peer has nothing newer or did
// not answer. The next call queries the same peer if the store has answered it for minContactTime.
// Otherwise it queries one of another failure domain than this call if there is one, because a failure
// domain may be cut off as a whole.
func (m *Messenger) FetchUpdate(ctx context.Context, after uint64) replicator.Update {
	now := time.Now()
	p, ok := m.selector.next(now, m.cfg.Peers.All())
	if !ok {
		return replicator.Update{}
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var w updateWire
	if err := m.exchange(ctx, p, http.MethodGet, m.withAfter(pathUpdate, after), nil, &w); err != nil {
		m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("peer did not return an update; querying another peer next")
	}
	u := w.update()
	u.Peer = p.Instance
	hasNews := u.Revision > after
	if !u.IsInContact || u.ContactTime < minContactTime {
		m.selector.reject(now, p.Instance, hasNews)
	}
	if !hasNews {
		u.Revision, u.Complete, u.Entries, u.References = 0, false, nil, nil
	}
	return u
}

// NotifyStalled notifies leader, the instance that forms groups, that the group with this head is
// stalled. If leader is not a known peer, NotifyStalled notifies every peer.
func (m *Messenger) NotifyStalled(ctx context.Context, leader identifier.Instance, head identifier.Endpoint) {
	m.notifyLeader(ctx, leader, pathStalled, stalledWire{Head: head})
}

// NotifyLeaving notifies leader, the instance that forms groups, that a process has said that it
// leaves. If leader is not a known peer, NotifyLeaving notifies every peer.
func (m *Messenger) NotifyLeaving(ctx context.Context, leader identifier.Instance, p identifier.Process) {
	m.notifyLeader(ctx, leader, pathLeaving, processWire{Endpoint: p.Endpoint, ProcessStart: p.Start})
}

// notifyLeader sends notice to leader, or to every peer if leader is not a known peer.
func (m *Messenger) notifyLeader(ctx context.Context, leader identifier.Instance, path string, notice any) {
	notify := func(ctx context.Context, p Peer) {
		if err := m.exchange(ctx, p, http.MethodPost, path, notice, nil); err != nil {
			m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Str("path", path).Msg("can't notify peer")
		}
	}
	if p, ok := m.cfg.Peers.Find(leader); ok {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
		defer cancel()
		notify(ctx, p)
		return
	}
	m.forEach(ctx, m.cfg.Peers.All(), notify)
}

// forEach calls f concurrently for each of the peers and waits for all calls.
func (m *Messenger) forEach(ctx context.Context, peers []Peer, f func(context.Context, Peer)) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// exchange sends v, unless it is nil, to a peer and decodes the answer into out, unless out is nil.
func (m *Messenger) exchange(ctx context.Context, p Peer, method, path string, v, out any) error {
	var body io.Reader
	if v != nil {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.Address.String()+path, body)
	if err != nil {
		return err
	}
	resp, err := m.cfg.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: resp.StatusCode}
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(limitreader.New(resp.Body, "answer of a peer", bodyLimit)).Decode(out)
}
