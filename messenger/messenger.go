package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"amaranthmill/groupformer"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
	"amaranthmill/replicator"
)

// defaultTimeout bounds one exchange with a peer.
const defaultTimeout = 600 * time.Millisecond

// bodyLimit bounds what is read of a peer, in bytes.
const bodyLimit = 16 << 20

// Config configures a Messenger. All fields but Timeout and Logger are required.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain

	Peers       *Peers
	Watch       func(ctx context.Context, after uint64, wait time.Duration) (keeper.Changes, error) // of this instance's replica, as they come
	UpdateSince func(after uint64) replicator.Update                                                // what this instance's replica has beyond a revision
	Report      func(ctx context.Context, id identifier.Endpoint) (groupformer.Reported, error)
	OnStalled   func(head identifier.Endpoint) // a peer says that a group stands still; must not block
	HTTP        *http.Client
	Timeout     time.Duration // of one exchange; zero means 600 ms
	Logger      zerolog.Logger
}

// Messenger tells peers and answers them. It is safe for concurrent use.
type Messenger struct {
	cfg   Config
	turns turns
}

// New returns a Messenger for cfg.
func New(cfg Config) *Messenger {
	defaulter.Set(&cfg.Timeout, defaultTimeout)
	return &Messenger{cfg: cfg, turns: newTurns(cfg.Instance, cfg.FailureDomain)}
}

// StatusError says that a peer answered with an unexpected status.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("messenger: peer answered with status %d", e.Status)
}

// Handler answers peers.
func (m *Messenger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathNews, m.serveNews)
	mux.HandleFunc("GET "+pathChanges, m.serveChanges)
	mux.HandleFunc("POST "+pathStalled, m.serveStalled)
	mux.HandleFunc("POST "+pathReport, m.serveReport)
	return mux
}

func (m *Messenger) serveNews(w http.ResponseWriter, r *http.Request) {
	after, ok := readAfter(w, r)
	if !ok {
		return
	}
	m.write(w, encodeNews(m.cfg.UpdateSince(after)))
}

// readAfter reads the revision that a peer stands at, or refuses the request.
func readAfter(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
	}
	return after, err == nil
}

// readBody reads what a peer sent into out, or refuses the request.
func readBody(w http.ResponseWriter, r *http.Request, out any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, bodyLimit)).Decode(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// changesWait bounds how long a peer that follows this instance's replica is held.
const changesWait = 900 * time.Millisecond

func (m *Messenger) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, ok := readAfter(w, r)
	if !ok {
		return
	}
	changes, err := m.cfg.Watch(r.Context(), after, changesWait)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	m.write(w, encodeChanges(changes))
}

// WatchPeer waits for changes of a peer's replica after a revision. Its error is *StatusError
// or that of the exchange.
func (m *Messenger) WatchPeer(ctx context.Context, p Peer, after uint64) (keeper.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout+changesWait)
	defer cancel()
	var w changesWire
	if err := m.exchange(ctx, p, http.MethodGet, withAfter(pathChanges, after), nil, &w); err != nil {
		return keeper.Changes{}, err
	}
	return w.changes(), nil
}

func (m *Messenger) serveStalled(w http.ResponseWriter, r *http.Request) {
	var said stalledWire
	if !readBody(w, r, &said) {
		return
	}
	m.cfg.OnStalled(said.Head)
	w.WriteHeader(http.StatusNoContent)
}

func (m *Messenger) serveReport(w http.ResponseWriter, r *http.Request) {
	var asked askWire
	if !readBody(w, r, &asked) {
		return
	}
	report, err := m.cfg.Report(r.Context(), asked.Endpoint)
	if err != nil {
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	m.write(w, encodeReport(report))
}

func (m *Messenger) write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		m.cfg.Logger.Debug().Err(err).Msg("answer to a peer not sent")
	}
}

// FetchUpdate asks one peer for what its replica has beyond revision after: one of the own
// failure domain, if any has had something newer of late. A Revision of zero says that it
// has nothing newer or did not answer; the next call then asks another.
func (m *Messenger) FetchUpdate(ctx context.Context, after uint64) replicator.Update {
	now := time.Now()
	p, ok := m.turns.next(now, m.cfg.Peers.All())
	if !ok {
		return replicator.Update{}
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var w newsWire
	if err := m.exchange(ctx, p, http.MethodGet, withAfter(pathNews, after), nil, &w); err != nil {
		m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("no news from peer")
	}
	if w.Revision <= after {
		m.turns.pass(now, p.Instance)
		return replicator.Update{}
	}
	return w.news()
}

// NotifyStalled tells the instance that forms groups that one stands still, or every peer if that instance is not known.
func (m *Messenger) NotifyStalled(ctx context.Context, former identifier.Instance, head identifier.Endpoint) {
	tell := func(ctx context.Context, p Peer) {
		if err := m.exchange(ctx, p, http.MethodPost, pathStalled, stalledWire{Head: head}, nil); err != nil {
			m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("peer not told of a stall")
		}
	}
	if p, ok := m.cfg.Peers.Find(former); ok {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
		defer cancel()
		tell(ctx, p)
		return
	}
	m.each(ctx, tell)
}

// PeerReports is what peers say of an endpoint that this instance can't reach.
type PeerReports struct {
	Report          groupformer.Reported
	Received        bool                       // a peer got a report
	UnreachableFrom []identifier.FailureDomain // of the peers that got none
}

// RequestReports asks all peers to ask an endpoint for its report.
func (m *Messenger) RequestReports(ctx context.Context, id identifier.Endpoint) PeerReports {
	var s PeerReports
	var mu sync.Mutex
	m.each(ctx, func(ctx context.Context, p Peer) {
		var w reportWire
		err := m.exchange(ctx, p, http.MethodPost, pathReport, askWire{Endpoint: id}, &w)
		mu.Lock()
		defer mu.Unlock()
		var status *StatusError
		switch {
		case err == nil:
			s.Report, s.Received = w.reported(id), true
		case errors.As(err, &status) && status.Status == http.StatusGatewayTimeout:
			s.UnreachableFrom = append(s.UnreachableFrom, p.FailureDomain)
		}
	})
	return s
}

// each calls f for every peer at once and waits for all.
func (m *Messenger) each(ctx context.Context, f func(context.Context, Peer)) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, p := range m.cfg.Peers.All() {
		wg.Go(func() { f(ctx, p) })
	}
	wg.Wait()
}

// exchange sends v to a peer and reads its answer into out, unless that is nil.
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
	return json.NewDecoder(io.LimitReader(resp.Body, bodyLimit)).Decode(out)
}
