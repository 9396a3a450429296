package linker

import (
	"slices"
	"sync"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// maxSuspicions bounds the suspicions queued for one slow peer; the oldest are dropped first.
const maxSuspicions = 256

// maxDemands bounds the announcements queued for one slow peer; the oldest are dropped first.
const maxDemands = 64

// maxReports bounds the reports in one frame, so that the frame stays below maxControlFrame.
const maxReports = 1024

// mailbox queues the messages to one peer. It is bounded, because a newer message replaces
// an older one on the same subject and the lists have limits. It is safe for concurrent use.
type mailbox struct {
	controlReady chan struct{} // has an element when the writer of the control stream should call take
	bulkReady    chan struct{} // has an element when the writer of the bulk stream should call takeOffer

	mu            sync.Mutex
	heartbeat     *wire.Heartbeat
	reports       map[identifier.Endpoint]waitingReport
	encoder       digestEncoder
	loads         map[identifier.FailureDomain]*wire.Relayed
	suspicions    []*wire.Relayed
	demands       []*wire.DemandAnnouncement
	bundleRequest *wire.BundleRequest
	leaving       bool
	retired       bool
	timerSet      bool // a timer will signal controlReady
	offer         *BundleOffer
}

// waitingReport is a queued report. Its age grows while it waits.
type waitingReport struct {
	ProbeReport
	queuedAt time.Time
}

func newMailbox() *mailbox {
	return &mailbox{
		controlReady: make(chan struct{}, 1),
		bulkReady:    make(chan struct{}, 1),
		reports:      map[identifier.Endpoint]waitingReport{},
		loads:        map[identifier.FailureDomain]*wire.Relayed{},
	}
}

// put applies change to the queued messages and wakes the writer of the control stream.
func (m *mailbox) put(change func()) {
	m.mu.Lock()
	change()
	m.mu.Unlock()
	signal(m.controlReady)
}

func (m *mailbox) putHeartbeat(h *wire.Heartbeat) { m.put(func() { m.heartbeat = h }) }

func (m *mailbox) putBundleRequest(r *wire.BundleRequest) { m.put(func() { m.bundleRequest = r }) }

func (m *mailbox) putLeaving() { m.put(func() { m.leaving = true }) }

func (m *mailbox) putRetired() { m.put(func() { m.retired = true }) }

// putDigest queues the newest report of each endpoint. Reports of a new load alone wait up to
// delay, so that they share a frame with other reports or with the next heartbeat. All other
// reports are sent at once.
func (m *mailbox) putDigest(now time.Time, delay time.Duration, d ProbeDigest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wakeAfter(delay)
	for _, r := range d.Reports {
		m.reports[r.Endpoint] = waitingReport{ProbeReport: r, queuedAt: now}
		if m.encoder.isUrgent(r) {
			signal(m.controlReady)
		}
	}
}

// wakeAfter wakes the writer of the control stream after delay. If delay is not below
// heartbeatInterval, the next heartbeat wakes the writer instead.
func (m *mailbox) wakeAfter(delay time.Duration) {
	if !m.timerSet && delay < heartbeatInterval {
		m.timerSet = true
		time.AfterFunc(delay, m.fireTimer)
	}
}

func (m *mailbox) fireTimer() {
	m.mu.Lock()
	m.timerSet = false
	m.mu.Unlock()
	signal(m.controlReady)
}

// putRelayed queues a relayed message. A load summary replaces the previous one of its failure
// domain and waits up to delay like a digest. A suspicion is sent at once.
func (m *mailbox) putRelayed(delay time.Duration, r *wire.Relayed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if load := r.GetLoad(); load != nil {
		m.loads[identifier.FailureDomain(load.GetFailureDomain())] = r
		m.wakeAfter(delay)
		return
	}
	m.putSuspicion(r)
	signal(m.controlReady)
}

// putSuspicion queues a suspicion, which replaces one with the same fingerprint.
func (m *mailbox) putSuspicion(r *wire.Relayed) {
	same := func(s *wire.Relayed) bool {
		return s.GetSuspicion().GetFingerprint() == r.GetSuspicion().GetFingerprint()
	}
	m.suspicions = append(slices.DeleteFunc(m.suspicions, same), r)
	if excess := len(m.suspicions) - maxSuspicions; excess > 0 {
		m.suspicions = slices.Delete(m.suspicions, 0, excess)
	}
}

// putDemand queues an announcement and drops the oldest beyond maxDemands.
func (m *mailbox) putDemand(d *wire.DemandAnnouncement) {
	m.put(func() {
		m.demands = append(m.demands, d)
		if excess := len(m.demands) - maxDemands; excess > 0 {
			m.demands = slices.Delete(m.demands, 0, excess)
		}
	})
}

// putOffer queues an offer for the bulk stream. Only the offer with the highest version is kept.
func (m *mailbox) putOffer(o BundleOffer) {
	m.mu.Lock()
	if m.offer == nil || m.offer.Version < o.Version {
		m.offer = &o
	}
	m.mu.Unlock()
	signal(m.bulkReady)
}

// take removes the messages queued for the control stream and returns them as one frame, or
// nil if there are none. Reports beyond maxReports stay queued.
func (m *mailbox) take(now time.Time) *wire.ControlFrame {
	m.mu.Lock()
	defer m.mu.Unlock()
	frame := &wire.ControlFrame{
		Heartbeat:     m.heartbeat,
		Digest:        m.takeReports(now),
		Relayed:       m.takeRelayed(),
		Demand:        m.demands,
		BundleRequest: m.bundleRequest,
		Leaving:       m.leaving,
		Retired:       m.retired,
	}
	empty := frame.Heartbeat == nil && frame.Digest == nil && frame.Relayed == nil && frame.Demand == nil &&
		frame.BundleRequest == nil && !frame.Leaving && !frame.Retired
	m.heartbeat, m.demands, m.bundleRequest, m.leaving, m.retired = nil, nil, nil, false, false
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
			signal(m.controlReady)
			break
		}
		waiting := m.reports[endpoint]
		waiting.Age += now.Sub(waiting.queuedAt)
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
