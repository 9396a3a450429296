package modeler

import (
	"net/netip"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/prober"
)

// Engine models one model engine: it has one role at a time, and obeys orders.
type Engine struct {
	Name            identifier.Endpoint
	Address         netip.AddrPort
	FabricDomain    identifier.FabricDomain
	ChecksFence     bool // refuses orders with an old fencing number
	AcceptsExpired  bool // obeys orders past their deadline
	ReportsOldGroup bool // a new process says that it is in the group of the one before
	ProcessStart    identifier.ProcessStart
	Running         bool // its process runs
	Reachable       bool // its network works
	Leaving         bool
	Slow            bool
	InFlight        int

	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	model         string
	fence         uint64
	LoadTimeLeft  time.Duration // of loading at full rate that remains
}

// IsUp reports whether the engine can work and be reached.
func (e *Engine) IsUp() bool { return e.Running && e.Reachable }

// Stop ends the engine's process; all that it had is lost.
func (e *Engine) Stop() {
	e.Running, e.Leaving = false, false
	e.model, e.fence, e.LoadTimeLeft, e.InFlight = "", 0, 0, 0
	if !e.ReportsOldGroup {
		e.Group, e.Epoch, e.BundleVersion, e.Loaded = "", 0, 0, false
	}
}

// Start runs a new process of the engine.
func (e *Engine) Start() {
	if !e.Running {
		e.ProcessStart++
		e.Running = true
	}
}

// Execute carries out o at now, and reports whether the engine accepted it. Loading a model that
// it does not have takes load.
func (e *Engine) Execute(now time.Time, o grouper.Order, load time.Duration) bool {
	if !e.IsUp() || !e.AcceptsExpired && now.After(o.Deadline) || e.ChecksFence && o.Fence < e.fence {
		return false
	}
	e.fence = o.Fence
	e.Group, e.Epoch, e.BundleVersion = "", 0, 0
	if o.Kind == grouper.OrderRelease {
		return true
	}
	e.Group, e.Epoch, e.BundleVersion = o.Group.Group, o.Group.Epoch, o.Group.BundleVersion
	if model := o.Group.Base + "@" + o.Group.Version; model != e.model {
		e.model, e.LoadTimeLeft = model, load
	}
	e.Loaded = e.LoadTimeLeft == 0
	return true
}

// load lets d of loading at full rate pass.
func (e *Engine) load(d time.Duration) {
	e.LoadTimeLeft = max(0, e.LoadTimeLeft-d)
	e.Loaded = e.LoadTimeLeft == 0 && (e.model != "" || e.Loaded)
}

// status returns what the engine says of itself.
func (e *Engine) status() prober.Status {
	return prober.Status{
		ProcessStart: e.ProcessStart, Group: e.Group, Epoch: e.Epoch, BundleVersion: e.BundleVersion,
		Loaded: e.Loaded, Leaving: e.Leaving, InFlight: e.InFlight, Capacity: 8,
	}
}
