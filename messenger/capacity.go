package messenger

import (
	"context"
	"net/http"
	"net/netip"

	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// capacityWire is the wire form of scheduler.Capacity.
type capacityWire struct {
	Endpoint     identifier.Endpoint     `json:"endpoint"`
	ProcessStart identifier.ProcessStart `json:"processStart"`
	Group        identifier.Group        `json:"group,omitempty"`
	Pool         identifier.Pool         `json:"pool"`
	Slots        int                     `json:"slots"`
	Limit        float64                 `json:"limit"`
	Load         float64                 `json:"load"`
	Speed        float64                 `json:"speed"`
	FailureRate  float64                 `json:"failureRate"`
	FirstEvent   formatter.Duration      `json:"firstEvent"`
	Backlog      int                     `json:"backlogTokens"`
	LatencyGoal  formatter.Duration      `json:"latencyGoal"`
	GapGoal      formatter.Duration      `json:"gapGoal"`
}

func encodeCapacity(c scheduler.Capacity) capacityWire {
	return capacityWire{
		Endpoint: c.Target.ID, ProcessStart: c.Target.ProcessStart, Group: c.Target.Group, Pool: c.Target.Pool, Slots: c.Target.Slots,
		Limit: c.Limit, Load: c.Load, Speed: c.Speed, FailureRate: c.FailureRate, FirstEvent: formatter.Duration(c.FirstEvent), Backlog: c.Backlog,
		LatencyGoal: formatter.Duration(c.LatencyGoal), GapGoal: formatter.Duration(c.GapGoal),
	}
}

func (w capacityWire) capacity() scheduler.Capacity {
	return scheduler.Capacity{
		Target: &scheduler.Target{ID: w.Endpoint, ProcessStart: w.ProcessStart, Group: w.Group, Pool: w.Pool, Slots: w.Slots},
		Limit:  w.Limit, Load: w.Load, Speed: w.Speed, FailureRate: w.FailureRate, FirstEvent: w.FirstEvent.Std(), Backlog: w.Backlog,
		LatencyGoal: w.LatencyGoal.Std(), GapGoal: w.GapGoal.Std(),
	}
}

// serveCapacity answers the operator with the learned limits of targets at this instance.
func (m *Messenger) serveCapacity(w http.ResponseWriter, _ *http.Request) {
	out := []capacityWire{}
	for _, c := range m.cfg.Capacities() {
		out = append(out, encodeCapacity(c))
	}
	m.writeJSON(w, out)
}

// Capacities returns the learned limits of targets at the instance that answers peers at an address. Of their targets
// only the identity, the pool and the slots are set. Its error is *StatusError or an error of the HTTP exchange.
func (o Operator) Capacities(ctx context.Context, address netip.AddrPort) ([]scheduler.Capacity, error) {
	var list []capacityWire
	if err := o.exchange(ctx, address, http.MethodGet, pathCapacity, &list); err != nil {
		return nil, err
	}
	var out []scheduler.Capacity
	for _, w := range list {
		out = append(out, w.capacity())
	}
	return out, nil
}
