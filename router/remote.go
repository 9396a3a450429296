package router

import (
	"slices"

	"amaranthmill/internal/identifier"
)

// peerLoad is the capacity last reported by a peer in another failure domain.
type peerLoad struct {
	RemoteSet
	sentSince int // requests forwarded there since the report
}

func (r *Router) setRemote(e RemoteSet) {
	i := slices.IndexFunc(r.peerLoads, func(o peerLoad) bool { return o.Instance == e.Instance })
	if i < 0 {
		r.peerLoads = append(r.peerLoads, peerLoad{RemoteSet: e})
		return
	}
	r.peerLoads[i] = peerLoad{RemoteSet: e}
}

// chooseRemote returns the peer with the most free capacity in f's pool, or "" if there is
// none. The requests forwarded since the peer's report are deducted; each instance of the
// local failure domain is assumed to have forwarded as many as this one. If needFree is
// set, free capacity must be left. A request that already crossed a link is not forwarded.
func (r *Router) chooseRemote(f *flight, needFree bool) identifier.Instance {
	if f.Request.Hops > 0 {
		return ""
	}
	best, bestFree := -1, 0
	for i := range r.peerLoads {
		p := r.peerLoads[i].pool(f.Request.Pool)
		free := p.Free - r.peerLoads[i].sentSince*r.table.instances
		if p.Capacity <= 0 || slices.Contains(f.triedPeers, r.peerLoads[i].Instance) || (needFree && free <= 0) {
			continue
		}
		if best < 0 || free > bestFree {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return ""
	}
	r.peerLoads[best].sentSince++
	return r.peerLoads[best].Instance
}

func (m *peerLoad) pool(name identifier.Pool) RemotePool {
	for _, p := range m.Pools {
		if p.Pool == name {
			return p
		}
	}
	return RemotePool{}
}
