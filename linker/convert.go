package linker

import (
	"math"
	"net/http"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker/internal/wire"
)

func suspicionToWire(s Suspicion) *wire.Suspicion {
	out := &wire.Suspicion{
		Fingerprint:     s.Fingerprint,
		Crashes:         toUnsigned(s.Crashes),
		ForMilliseconds: toUnsigned(s.TTL.Milliseconds()),
	}
	for _, g := range s.GroupsLost {
		out.GroupsLost = append(out.GroupsLost, string(g))
	}
	return out
}

func suspicionFromWire(w *wire.Suspicion) Suspicion {
	out := Suspicion{
		Fingerprint: w.GetFingerprint(),
		Crashes:     toInt(w.GetCrashes()),
		TTL:         time.Duration(toInt(w.GetForMilliseconds())) * time.Millisecond,
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
			Free:     toUnsigned(s.Free),
			Capacity: toUnsigned(s.Capacity),
		})
	}
	return out
}

func loadFromWire(w *wire.LoadSummary) LoadSummary {
	out := LoadSummary{FailureDomain: identifier.FailureDomain(w.GetFailureDomain())}
	for _, s := range w.GetServices() {
		out.Services = append(out.Services, ServiceLoad{
			Pool:     identifier.Pool(s.GetPool()),
			Free:     toInt(s.GetFree()),
			Capacity: toInt(s.GetCapacity()),
		})
	}
	return out
}

func demandToWire(d DemandAnnouncement) *wire.DemandAnnouncement {
	out := &wire.DemandAnnouncement{Sequence: d.Sequence}
	for _, a := range d.Demands {
		out.Demands = append(out.Demands, &wire.AccountDemand{
			Account:           string(a.Account),
			RequestsPerSecond: a.RequestsPerSecond,
		})
	}
	return out
}

// maxDemand is the largest accepted demand in requests per second. Larger values are reduced to it.
const maxDemand = 1e9

func demandFromWire(w *wire.DemandAnnouncement) DemandAnnouncement {
	out := DemandAnnouncement{Sequence: w.GetSequence()}
	for _, a := range w.GetDemands() {
		out.Demands = append(out.Demands, AccountDemand{
			Account:           identifier.ClientAccount(a.GetAccount()),
			RequestsPerSecond: clampDemand(a.GetRequestsPerSecond()),
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

// toUnsigned returns n as an unsigned number, or zero if n is negative.
func toUnsigned[T int | int64](n T) uint64 {
	return uint64(max(n, 0))
}

// toInt returns n, limited so that its product with any duration unit of the wire does not overflow.
func toInt(n uint64) int {
	const limit = 1 << 36
	return int(min(n, limit))
}

// clampDemand limits a demand to the range from zero to maxDemand and replaces NaN by zero.
func clampDemand(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return 0
	}
	return min(max(perSecond, 0), maxDemand)
}
