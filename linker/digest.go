package linker

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// maxEndpoints is how many endpoints one stream of digests names before it starts anew.
const maxEndpoints = 4096

// Units of the durations in a report on the wire.
const (
	ageUnit     = 10 * time.Millisecond
	latencyUnit = 100 * time.Microsecond
)

// digestEncoder writes reports as changes since the last report of the same endpoint.
type digestEncoder struct {
	index   map[identifier.Endpoint]uint32
	last    []ProbeReport
	restart bool
}

// isUrgent reports whether r shows more than another load since the endpoint's last report.
func (d *digestEncoder) isUrgent(r ProbeReport) bool {
	i, known := d.index[r.Endpoint]
	return !known || stateOf(d.last[i]) != stateOf(r)
}

// encode returns the reports on the wire.
func (d *digestEncoder) encode(reports []ProbeReport) *wire.ProbeDigest {
	if d.index == nil || len(d.index)+len(reports) > maxEndpoints {
		d.index = map[identifier.Endpoint]uint32{}
		d.last = nil
		d.restart = true
	}
	out := &wire.ProbeDigest{Restart: d.restart, Reports: make([]*wire.ProbeReport, 0, len(reports))}
	d.restart = false
	for _, r := range reports {
		out.Reports = append(out.Reports, d.encodeOne(r))
	}
	return out
}

func (d *digestEncoder) encodeOne(r ProbeReport) *wire.ProbeReport {
	out := &wire.ProbeReport{
		InFlight:        count(r.InFlight),
		Queued:          count(r.Queued),
		AgeCentiseconds: count(int64(r.Age / ageUnit)),
		Latency:         count(int64(r.Latency / latencyUnit)),
	}
	if d.isUrgent(r) {
		out.State = stateToWire(r)
	}
	i, known := d.index[r.Endpoint]
	if !known {
		i = uint32(len(d.last))
		d.index[r.Endpoint] = i
		d.last = append(d.last, r)
	}
	d.last[i] = r
	out.Index = i
	return out
}

// stateOf returns r without what changes from one probe to the next.
func stateOf(r ProbeReport) ProbeReport {
	r.InFlight = 0
	r.Queued = 0
	r.Age = 0
	r.Latency = 0
	return r
}

func stateToWire(r ProbeReport) *wire.ProbeState {
	address, _ := r.Address.MarshalBinary() // never fails
	return &wire.ProbeState{
		Endpoint:      string(r.Endpoint),
		Address:       address,
		ProcessStart:  int64(r.ProcessStart),
		Group:         string(r.Group),
		Epoch:         uint64(r.Epoch),
		BundleVersion: uint64(r.BundleVersion),
		Loaded:        r.Loaded,
		Leaving:       r.Leaving,
		Reachable:     r.Reachable,
		Capacity:      count(r.Capacity),
	}
}

// digestDecoder reads what a digestEncoder wrote, in the same order.
type digestDecoder struct {
	last []ProbeReport // the state of each endpoint by its index
}

// decode returns the whole reports of d, or a FrameError.
func (d *digestDecoder) decode(w *wire.ProbeDigest) (ProbeDigest, error) {
	if w.GetRestart() {
		d.last = nil
	}
	out := ProbeDigest{Reports: make([]ProbeReport, 0, len(w.GetReports()))}
	for _, report := range w.GetReports() {
		r, err := d.decodeOne(report)
		if err != nil {
			return ProbeDigest{}, err
		}
		out.Reports = append(out.Reports, r)
	}
	return out, nil
}

func (d *digestDecoder) decodeOne(w *wire.ProbeReport) (ProbeReport, error) {
	i := int(w.GetIndex())
	if state := w.GetState(); state != nil {
		if err := d.setState(i, state); err != nil {
			return ProbeReport{}, err
		}
	}
	if i >= len(d.last) {
		return ProbeReport{}, &FrameError{Expected: "the state of an endpoint before its load"}
	}
	r := d.last[i]
	r.InFlight = clamp(w.GetInFlight())
	r.Queued = clamp(w.GetQueued())
	r.Age = time.Duration(clamp(w.GetAgeCentiseconds())) * ageUnit
	r.Latency = time.Duration(clamp(w.GetLatency())) * latencyUnit
	return r, nil
}

func (d *digestDecoder) setState(i int, w *wire.ProbeState) error {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.GetAddress()); err != nil || w.GetEndpoint() == "" {
		return &FrameError{Expected: "an endpoint with an address in a probe report"}
	}
	if i > len(d.last) || i >= maxEndpoints {
		return &FrameError{Expected: "endpoints in the order of their first report"}
	}
	if i == len(d.last) {
		d.last = append(d.last, ProbeReport{})
	}
	d.last[i] = ProbeReport{
		Endpoint:      identifier.Endpoint(w.GetEndpoint()),
		Address:       address,
		ProcessStart:  identifier.ProcessStart(w.GetProcessStart()),
		Group:         identifier.Group(w.GetGroup()),
		Epoch:         identifier.Epoch(w.GetEpoch()),
		BundleVersion: identifier.BundleVersion(w.GetBundleVersion()),
		Loaded:        w.GetLoaded(),
		Leaving:       w.GetLeaving(),
		Reachable:     w.GetReachable(),
		Capacity:      clamp(w.GetCapacity()),
	}
	return nil
}
