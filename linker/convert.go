package linker

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

func digestToWire(d ProbeDigest) *wire.ProbeDigest {
	out := &wire.ProbeDigest{Reports: make([]*wire.ProbeReport, 0, len(d.Reports))}
	for _, r := range d.Reports {
		out.Reports = append(out.Reports, reportToWire(r))
	}
	return out
}

func reportToWire(r ProbeReport) *wire.ProbeReport {
	address, _ := r.Address.MarshalBinary() // never fails
	return &wire.ProbeReport{
		Endpoint:            string(r.Endpoint),
		Address:             address,
		ProcessStart:        int64(r.ProcessStart),
		Group:               string(r.Group),
		Epoch:               uint64(r.Epoch),
		BundleVersion:       uint64(r.BundleVersion),
		Loaded:              r.Loaded,
		Leaving:             r.Leaving,
		Reachable:           r.Reachable,
		InFlight:            count(r.InFlight),
		Queued:              count(r.Queued),
		Capacity:            count(r.Capacity),
		AgeMilliseconds:     count(r.Age.Milliseconds()),
		LatencyMicroseconds: count(r.Latency.Microseconds()),
	}
}

func digestFromWire(d *wire.ProbeDigest) (ProbeDigest, error) {
	out := ProbeDigest{Reports: make([]ProbeReport, 0, len(d.GetReports()))}
	for _, w := range d.GetReports() {
		r, err := reportFromWire(w)
		if err != nil {
			return ProbeDigest{}, err
		}
		out.Reports = append(out.Reports, r)
	}
	return out, nil
}

func reportFromWire(w *wire.ProbeReport) (ProbeReport, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.GetAddress()); err != nil || w.GetEndpoint() == "" {
		return ProbeReport{}, &FrameError{Expected: "an endpoint with an address in a probe report"}
	}
	return ProbeReport{
		Endpoint:      identifier.Endpoint(w.GetEndpoint()),
		Address:       address,
		ProcessStart:  identifier.ProcessStart(w.GetProcessStart()),
		Group:         identifier.Group(w.GetGroup()),
		Epoch:         identifier.Epoch(w.GetEpoch()),
		BundleVersion: identifier.BundleVersion(w.GetBundleVersion()),
		Loaded:        w.GetLoaded(),
		Leaving:       w.GetLeaving(),
		Reachable:     w.GetReachable(),
		InFlight:      clamp(w.GetInFlight()),
		Queued:        clamp(w.GetQueued()),
		Capacity:      clamp(w.GetCapacity()),
		Age:           time.Duration(clamp(w.GetAgeMilliseconds())) * time.Millisecond,
		Latency:       time.Duration(clamp(w.GetLatencyMicroseconds())) * time.Microsecond,
	}, nil
}

func suspicionToWire(s Suspicion) *wire.Suspicion {
	out := &wire.Suspicion{
		Fingerprint:     s.Fingerprint,
		Crashes:         count(s.Crashes),
		ForMilliseconds: count(s.For.Milliseconds()),
	}
	for _, g := range s.GroupsLost {
		out.GroupsLost = append(out.GroupsLost, string(g))
	}
	return out
}

func suspicionFromWire(w *wire.Suspicion) Suspicion {
	out := Suspicion{
		Fingerprint: w.GetFingerprint(),
		Crashes:     clamp(w.GetCrashes()),
		For:         time.Duration(clamp(w.GetForMilliseconds())) * time.Millisecond,
	}
	for _, g := range w.GetGroupsLost() {
		out.GroupsLost = append(out.GroupsLost, identifier.Group(g))
	}
	return out
}

func loadToWire(l LoadSummary) *wire.LoadSummary {
	out := &wire.LoadSummary{FailureDomain: string(l.FailureDomain)}
	for _, s := range l.Services {
		out.Services = append(out.Services, &wire.ServiceLoad{
			Pool:     string(s.Pool),
			Free:     count(s.Free),
			Capacity: count(s.Capacity),
		})
	}
	return out
}

func loadFromWire(w *wire.LoadSummary) LoadSummary {
	out := LoadSummary{FailureDomain: identifier.FailureDomain(w.GetFailureDomain())}
	for _, s := range w.GetServices() {
		out.Services = append(out.Services, ServiceLoad{
			Pool:     identifier.Pool(s.GetPool()),
			Free:     clamp(s.GetFree()),
			Capacity: clamp(s.GetCapacity()),
		})
	}
	return out
}

func headerToWire(h http.Header) []*wire.Header {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	slices.Sort(names)
	out := make([]*wire.Header, 0, len(names))
	for _, name := range names {
		out = append(out, &wire.Header{Name: name, Values: h[name]})
	}
	return out
}

func headerFromWire(headers []*wire.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		for _, v := range h.GetValues() {
			out.Add(h.GetName(), v)
		}
	}
	return out
}

// count returns n as an unsigned number, and zero for a negative one.
func count[T int | int64](n T) uint64 {
	return uint64(max(n, 0))
}

// clamp returns n as an int that a duration in milliseconds can hold.
func clamp(n uint64) int {
	const limit = 1 << 40
	return int(min(n, limit))
}
