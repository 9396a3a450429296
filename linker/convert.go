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
		Crashes:         count(s.Crashes),
		ForMilliseconds: count(s.TTL.Milliseconds()),
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
		TTL:         time.Duration(clamp(w.GetForMilliseconds())) * time.Millisecond,
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

// maxDemand is the largest demand that is believed, in requests a second.
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

// count returns n as an unsigned number, and zero for a negative one.
func count[T int | int64](n T) uint64 {
	return uint64(max(n, 0))
}

// clamp returns n as an int that a duration in any unit of the wire can hold.
func clamp(n uint64) int {
	const limit = 1 << 36
	return int(min(n, limit))
}

// clampDemand returns a demand between zero and maxDemand; what is no number is zero.
func clampDemand(perSecond float64) float64 {
	if math.IsNaN(perSecond) {
		return 0
	}
	return min(max(perSecond, 0), maxDemand)
}
