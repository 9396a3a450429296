package linker

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

// maxEndpoints bounds the endpoints to which one stream of digests gives an index. The
// encoder restarts the indexes before the bound is exceeded.
const maxEndpoints = 4096

// Units of the durations in a report on the wire.
const (
	ageUnit     = 10 * time.Millisecond
	latencyUnit = 100 * time.Microsecond
)

// digestEncoder encodes reports as changes relative to the last report of the same endpoint.
type digestEncoder struct {
	index       map[identifier.Endpoint]uint32 // index of each endpoint on the stream
	lastReports []ProbeReport                  // last report of each endpoint by its index
	restart     bool                           // the next digest restarts the indexes
}

// isUrgent reports whether r is the first report of its endpoint or differs from the last in
// more than its load, age and latency.
func (d *digestEncoder) isUrgent(r ProbeReport) bool {
	i, known := d.index[r.Endpoint]
	return !known || withoutLoad(d.lastReports[i]) != withoutLoad(r)
}

// encode returns the wire form of reports and records them as the last ones.
func (d *digestEncoder) encode(reports []ProbeReport) *wire.ProbeDigest {
	if d.index == nil || len(d.index)+len(reports) > maxEndpoints {
		d.index = map[identifier.Endpoint]uint32{}
		d.lastReports = nil
		d.restart = true
	}
	out := &wire.ProbeDigest{Restart: d.restart, Reports: make([]*wire.ProbeReport, 0, len(reports))}
	d.restart = false
	for _, r := range reports {
		out.Reports = append(out.Reports, d.encodeReport(r))
	}
	return out
}

func (d *digestEncoder) encodeReport(r ProbeReport) *wire.ProbeReport {
	out := &wire.ProbeReport{
		InFlight:        toUnsigned(r.InFlight),
		Queued:          toUnsigned(r.Queued),
		AgeCentiseconds: toUnsigned(int64(r.Age / ageUnit)),
		Latency:         toUnsigned(int64(r.Latency / latencyUnit)),
	}
	if d.isUrgent(r) {
		out.State = stateToWire(r)
	}
	i, known := d.index[r.Endpoint]
	if !known {
		i = uint32(len(d.lastReports))
		d.index[r.Endpoint] = i
		d.lastReports = append(d.lastReports, r)
	}
	d.lastReports[i] = r
	out.Index = i
	return out
}

// withoutLoad returns r without the fields that change with every probe.
func withoutLoad(r ProbeReport) ProbeReport {
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
		Capacity:      toUnsigned(r.Capacity),
	}
}

// digestDecoder decodes the digests of one digestEncoder in the order of their encoding.
type digestDecoder struct {
	states []ProbeReport // state of each endpoint by its index
}

// decode returns the reports of w with all their fields, or a FrameError.
func (d *digestDecoder) decode(w *wire.ProbeDigest) (ProbeDigest, error) {
	if w.GetRestart() {
		d.states = nil
	}
	out := ProbeDigest{Reports: make([]ProbeReport, 0, len(w.GetReports()))}
	for _, report := range w.GetReports() {
		r, err := d.decodeReport(report)
		if err != nil {
			return ProbeDigest{}, err
		}
		out.Reports = append(out.Reports, r)
	}
	return out, nil
}

func (d *digestDecoder) decodeReport(w *wire.ProbeReport) (ProbeReport, error) {
	i := int(w.GetIndex())
	if state := w.GetState(); state != nil {
		if err := d.setState(i, state); err != nil {
			return ProbeReport{}, err
		}
	}
	if i >= len(d.states) {
		return ProbeReport{}, &FrameError{Expected: "the state of an endpoint before its load"}
	}
	r := d.states[i]
	r.InFlight = toInt(w.GetInFlight())
	r.Queued = toInt(w.GetQueued())
	r.Age = time.Duration(toInt(w.GetAgeCentiseconds())) * ageUnit
	r.Latency = time.Duration(toInt(w.GetLatency())) * latencyUnit
	return r, nil
}

func (d *digestDecoder) setState(i int, w *wire.ProbeState) error {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.GetAddress()); err != nil || w.GetEndpoint() == "" {
		return &FrameError{Expected: "an endpoint with an address in a probe report"}
	}
	if i > len(d.states) || i >= maxEndpoints {
		return &FrameError{Expected: "endpoints in the order of their first report"}
	}
	if i == len(d.states) {
		d.states = append(d.states, ProbeReport{})
	}
	d.states[i] = ProbeReport{
		Endpoint:      identifier.Endpoint(w.GetEndpoint()),
		Address:       address,
		ProcessStart:  identifier.ProcessStart(w.GetProcessStart()),
		Group:         identifier.Group(w.GetGroup()),
		Epoch:         identifier.Epoch(w.GetEpoch()),
		BundleVersion: identifier.BundleVersion(w.GetBundleVersion()),
		Loaded:        w.GetLoaded(),
		Leaving:       w.GetLeaving(),
		Reachable:     w.GetReachable(),
		Capacity:      toInt(w.GetCapacity()),
	}
	return nil
}
