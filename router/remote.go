package router

import (
	"slices"

	"amaranthmill/internal/identifier"
)

// remote is what a peer in another failure domain last told, and what was sent there since.
type remote struct {
	RemoteSet
	sent int
}

func (r *Router) setRemote(e RemoteSet) {
	i := slices.IndexFunc(r.remotes, func(o remote) bool { return o.Instance == e.Instance })
	if i < 0 {
		r.remotes = append(r.remotes, remote{RemoteSet: e})
		return
	}
	r.remotes[i] = remote{RemoteSet: e}
}

// chooseRemote returns the peer that can take the most requests of f's pool. With
// needFree it must have told of free capacity that was not used up since.
func (r *Router) chooseRemote(f *flight, needFree bool) identifier.Instance {
	if f.Request.Hops > 0 {
		return ""
	}
	best, bestFree := -1, 0
	for i := range r.remotes {
		p := r.remotes[i].pool(f.Request.Pool)
		free := p.Free - r.remotes[i].sent*r.table.instances
		if p.Capacity <= 0 || slices.Contains(f.triedPeers, r.remotes[i].Instance) || (needFree && free <= 0) {
			continue
		}
		if best < 0 || free > bestFree {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return ""
	}
	r.remotes[best].sent++
	return r.remotes[best].Instance
}

func (m *remote) pool(name identifier.Pool) RemotePool {
	for _, p := range m.Pools {
		if p.Pool == name {
			return p
		}
	}
	return RemotePool{}
}
