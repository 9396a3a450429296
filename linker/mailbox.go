package linker

import (
	"slices"
	"sync"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// maxSuspicions bounds the suspicions that wait for one slow peer; the oldest go first.
const maxSuspicions = 256

// mailbox holds what waits to be sent to one peer. It is bounded: a newer message
// replaces an older one of the same subject. It is safe for concurrent use.
type mailbox struct {
	ready chan struct{} // has an element when there is something to take
	bulk  chan struct{} // the same for offer

	mu         sync.Mutex
	heartbeat  *wire.Heartbeat
	reports    map[identifier.Endpoint]ProbeReport
	loads      map[identifier.FailureDomain]*wire.Relayed
	suspicions []*wire.Relayed
	request    *wire.BundleRequest
	leaving    bool
	offer      *BundleOffer
}

func newMailbox() *mailbox {
	return &mailbox{
		ready:   make(chan struct{}, 1),
		bulk:    make(chan struct{}, 1),
		reports: map[identifier.Endpoint]ProbeReport{},
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

func (m *mailbox) putDigest(d ProbeDigest) {
	m.put(func() {
		for _, r := range d.Reports {
			m.reports[r.Endpoint] = r
		}
	})
}

func (m *mailbox) putRelayed(r *wire.Relayed) {
	m.put(func() {
		if load := r.GetLoad(); load != nil {
			m.loads[identifier.FailureDomain(load.GetFailureDomain())] = r
			return
		}
		m.putSuspicion(r)
	})
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
func (m *mailbox) take() *wire.ControlFrame {
	m.mu.Lock()
	defer m.mu.Unlock()
	frame := &wire.ControlFrame{
		Heartbeat:     m.heartbeat,
		Digest:        m.takeReports(),
		Relayed:       m.takeRelayed(),
		BundleRequest: m.request,
		Leaving:       m.leaving,
	}
	empty := frame.Heartbeat == nil && frame.Digest == nil && frame.Relayed == nil &&
		frame.BundleRequest == nil && !frame.Leaving
	m.heartbeat, m.request, m.leaving = nil, nil, false
	if empty {
		return nil
	}
	return frame
}

func (m *mailbox) takeReports() *wire.ProbeDigest {
	if len(m.reports) == 0 {
		return nil
	}
	var d ProbeDigest
	for _, endpoint := range sortedKeys(m.reports) {
		d.Reports = append(d.Reports, m.reports[endpoint])
	}
	clear(m.reports)
	return digestToWire(d)
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
