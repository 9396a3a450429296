package linker

import (
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// maxSuspicions bounds the suspicions that wait for one slow peer; the oldest go first.
const maxSuspicions = 256

// maxDemands bounds the announcements that wait for one slow peer; the oldest go first.
const maxDemands = 64

// maxReports bounds the reports in one frame, so that it stays below maxControlFrame.
const maxReports = 1024

// mailbox holds what waits to be sent to one peer. It is bounded: a newer message
// replaces an older one of the same subject. It is safe for concurrent use.
type mailbox struct {
	ready chan struct{} // has an element when there is something to take
	bulk  chan struct{} // the same for offer

	mu         sync.Mutex
	heartbeat  *wire.Heartbeat
	reports    map[identifier.Endpoint]waitingReport
	encoder    digestEncoder
	loads      map[identifier.FailureDomain]*wire.Relayed
	suspicions []*wire.Relayed
	demands    []*wire.DemandAnnouncement
	request    *wire.BundleRequest
	leaving    bool
	retired    bool
	timed      bool // a timer will wake the writer
	offer      *BundleOffer
}

// waitingReport is a report that ages while it waits.
type waitingReport struct {
	ProbeReport
	since time.Time
}

func newMailbox() *mailbox {
	return &mailbox{
		ready:   make(chan struct{}, 1),
		bulk:    make(chan struct{}, 1),
		reports: map[identifier.Endpoint]waitingReport{},
		loads:   map[identifier.FailureDomain]*wire.Relayed{},
	}
}

// put changes what waits through change and wakes the writer of the control stream.
func (m *mailbox) put(change func()) {
	m.mu.Lock()
	change()
	m.mu.Unlock()
	signal(m.ready)
}

func (m *mailbox) putHeartbeat(h *wire.Heartbeat) { m.put(func() { m.heartbeat = h }) }

func (m *mailbox) putRequest(r *wire.BundleRequest) { m.put(func() { m.request = r }) }

func (m *mailbox) putLeaving() { m.put(func() { m.leaving = true }) }

func (m *mailbox) putRetired() { m.put(func() { m.retired = true }) }

// putDigest keeps the newest report of each endpoint. Reports that show only another load
// wait up to delay for others or for the next heartbeat, the rest leave at once.
func (m *mailbox) putDigest(now time.Time, delay time.Duration, d ProbeDigest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeAfter(delay)
	for _, r := range d.Reports {
		m.reports[r.Endpoint] = waitingReport{ProbeReport: r, since: now}
		if m.encoder.isUrgent(r) {
			signal(m.ready)
		}
	}
}

// wakeAfter wakes the writer after delay, or leaves that to the next heartbeat.
func (m *mailbox) wakeAfter(delay time.Duration) {
	if !m.timed && delay < heartbeatInterval {
		m.timed = true
		time.AfterFunc(delay, m.wakeTimed)
	}
}

func (m *mailbox) wakeTimed() {
	m.mu.Lock()
	m.timed = false
	m.mu.Unlock()
	signal(m.ready)
}

// putRelayed keeps the newest summary of each failure domain, which waits like a digest,
// and the suspicions, which leave at once.
func (m *mailbox) putRelayed(delay time.Duration, r *wire.Relayed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load := r.GetLoad(); load != nil {
		m.loads[identifier.FailureDomain(load.GetFailureDomain())] = r
		m.wakeAfter(delay)
		return
	}
	m.putSuspicion(r)
	signal(m.ready)
}

func (m *mailbox) putSuspicion(r *wire.Relayed) {
	same := func(s *wire.Relayed) bool {
		return s.GetSuspicion().GetFingerprint() == r.GetSuspicion().GetFingerprint()
	}
	m.suspicions = append(slices.DeleteFunc(m.suspicions, same), r)
	if extra := len(m.suspicions) - maxSuspicions; extra > 0 {
		m.suspicions = slices.Delete(m.suspicions, 0, extra)
	}
}

// putDemand keeps the newest announcements.
func (m *mailbox) putDemand(d *wire.DemandAnnouncement) {
	m.put(func() {
		m.demands = append(m.demands, d)
		if extra := len(m.demands) - maxDemands; extra > 0 {
			m.demands = slices.Delete(m.demands, 0, extra)
		}
	})
}

// putOffer keeps the offer of the highest version for the bulk stream.
func (m *mailbox) putOffer(o BundleOffer) {
	m.mu.Lock()
	if m.offer == nil || m.offer.Version < o.Version {
		m.offer = &o
	}
	m.mu.Unlock()
	signal(m.bulk)
}

// take returns all that waits for the control stream as one frame, or nil.
func (m *mailbox) take(now time.Time) *wire.ControlFrame {
	m.mu.Lock()
	defer m.mu.Unlock()
	frame := &wire.ControlFrame{
		Heartbeat:     m.heartbeat,
		Digest:        m.takeReports(now),
		Relayed:       m.takeRelayed(),
		Demand:        m.demands,
		BundleRequest: m.request,
		Leaving:       m.leaving,
		Retired:       m.retired,
	}
	empty := frame.Heartbeat == nil && frame.Digest == nil && frame.Relayed == nil && frame.Demand == nil &&
		frame.BundleRequest == nil && !frame.Leaving && !frame.Retired
	m.heartbeat, m.demands, m.request, m.leaving, m.retired = nil, nil, nil, false, false
	if empty {
		return nil
	}
	return frame
}

func (m *mailbox) takeReports(now time.Time) *wire.ProbeDigest {
	if len(m.reports) == 0 {
		return nil
	}
	reports := make([]ProbeReport, 0, len(m.reports))
	for _, endpoint := range sortedKeys(m.reports) {
		if len(reports) == maxReports {
			signal(m.ready)
			break
		}
		waiting := m.reports[endpoint]
		waiting.Age += now.Sub(waiting.since)
		reports = append(reports, waiting.ProbeReport)
		delete(m.reports, endpoint)
	}
	return m.encoder.encode(reports)
}

func (m *mailbox) takeRelayed() []*wire.Relayed {
	out := m.suspicions
	for _, domain := range sortedKeys(m.loads) {
		out = append(out, m.loads[domain])
	}
	clear(m.loads)
	m.suspicions = nil
	return out
}

func (m *mailbox) takeOffer() *BundleOffer {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.offer
	m.offer = nil
	return o
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
