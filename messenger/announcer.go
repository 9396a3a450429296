package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
)

// Times of announcements to one peer.
const (
	announceRetryDelay      = 250 * time.Millisecond // after a failed exchange
	defaultAnnounceInterval = 200 * time.Millisecond
	announceTTL             = 10 * time.Second // of an announcement that the peer does not acknowledge; later the store has the losses
)

// announcer sends announcements to peers. The first one to a peer goes at once, and those of the
// next interval share an exchange, so that the exchanges don't grow with the losses when many endpoints
// end together. A newer announcement about a fingerprint replaces an older one.
type announcer struct {
	mu      sync.Mutex
	pending map[identifier.Instance]map[identifier.Fingerprint]announcement // of the peers to which a goroutine sends
}

// announcement is a report that a peer has not acknowledged.
type announcement struct {
	report quarantiner.Report
	at     time.Time
}

// Announce sends a report to all peers. It does not block.
func (m *Messenger) Announce(r quarantiner.Report) {
	now := time.Now()
	a := &m.announcer
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range m.cfg.Peers.All() {
		if a.pending[p.Instance] == nil {
			a.pending[p.Instance] = map[identifier.Fingerprint]announcement{}
			go m.sendAnnouncements(p.Instance)
		}
		a.pending[p.Instance][r.Fingerprint] = announcement{report: r, at: now}
	}
}

// sendAnnouncements sends the pending announcements to a peer until none is pending.
func (m *Messenger) sendAnnouncements(to identifier.Instance) {
	for {
		batch := m.announcer.take(time.Now(), to)
		if len(batch) == 0 {
			return
		}
		if err := m.sendLosses(to, batch); err != nil {
			m.cfg.Logger.Debug().Err(err).Str("peer", string(to)).Int("reports", len(batch)).Msg("peer did not acknowledge losses, they are sent again")
			for _, a := range batch {
				m.cfg.OnUnacknowledged(a.report.Fingerprint)
			}
			time.Sleep(announceRetryDelay)
			continue
		}
		m.announcer.acknowledge(to, batch)
		time.Sleep(m.cfg.AnnounceInterval)
	}
}

func (m *Messenger) sendLosses(to identifier.Instance, batch []announcement) error {
	p, ok := m.cfg.Peers.Find(to)
	if !ok {
		return &UnknownPeerError{Instance: to}
	}
	var reports []lossReportWire
	for _, a := range batch {
		reports = append(reports, encodeLossReport(a.report))
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.Timeout)
	defer cancel()
	return m.exchange(ctx, p, http.MethodPost, pathLosses, reports, nil)
}

// take returns the announcements that are pending for a peer. It drops those older than
// announceTTL, and ends the list of a peer without any.
func (a *announcer) take(now time.Time, to identifier.Instance) []announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []announcement
	for fp, w := range a.pending[to] {
		if now.Sub(w.at) >= announceTTL {
			delete(a.pending[to], fp)
			continue
		}
		out = append(out, w)
	}
	if len(out) == 0 {
		delete(a.pending, to)
	}
	return out
}

// acknowledge removes the announcements of a batch, except those that newer ones replaced.
func (a *announcer) acknowledge(to identifier.Instance, batch []announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range batch {
		fp := w.report.Fingerprint
		if a.pending[to][fp].at.Equal(w.at) {
			delete(a.pending[to], fp)
		}
	}
}

// serveLosses takes the announcements of a peer.
func (m *Messenger) serveLosses(w http.ResponseWriter, r *http.Request) {
	var reports []lossReportWire
	if !readBody(w, r, &reports) {
		return
	}
	for _, report := range reports {
		m.cfg.OnLosses(report.report())
	}
	w.WriteHeader(http.StatusNoContent)
}
