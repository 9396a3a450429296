package modeler

import (
	"net/netip"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/prober"
)

// Engine models one model engine. It is a member of at most one replica group at a time and
// executes orders.
type Engine struct {
	Name            identifier.Endpoint
	Address         netip.AddrPort
	FabricDomain    identifier.FabricDomain
	ChecksFence     bool // refuses orders with a lower fencing number than the last accepted order
	AcceptsExpired  bool // executes orders that are past their deadline
	ReportsOldGroup bool // a new process reports the group of the previous process
	ProcessStart    identifier.ProcessStart
	Running         bool // the process is running
	Reachable       bool // the network connection works
	Leaving         bool
	Slow            bool
	InFlight        int

	Group         identifier.Group
	Epoch         identifier.Epoch
	BundleVersion identifier.BundleVersion
	Loaded        bool
	model         string
	fence         uint64
	LoadTimeLeft  time.Duration // remaining time to load the model at full rate
}

// IsUp reports whether the engine's process is running and reachable.
func (e *Engine) IsUp() bool { return e.Running && e.Reachable }

// Stop ends the engine's process and discards its state, except that the group
// membership is kept if ReportsOldGroup is set.
func (e *Engine) Stop() {
	e.Running, e.Leaving = false, false
	e.model, e.fence, e.LoadTimeLeft, e.InFlight = "", 0, 0, 0
	if !e.ReportsOldGroup {
		e.Group, e.Epoch, e.BundleVersion, e.Loaded = "", 0, 0, false
	}
}

// Start starts a new process of the engine if none is running.
func (e *Engine) Start() {
	if !e.Running {
		e.ProcessStart++
		e.Running = true
	}
}

// Execute executes o at now and reports whether the engine accepted it. If the engine does not
// hold the model of the group, loading it at full rate takes the duration load.
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

// advanceLoad advances loading by d at full rate.
func (e *Engine) advanceLoad(d time.Duration) {
	e.LoadTimeLeft = max(0, e.LoadTimeLeft-d)
	e.Loaded = e.LoadTimeLeft == 0 && (e.model != "" || e.Loaded)
}

// status returns the engine's status report.
func (e *Engine) status() prober.Status {
	return prober.Status{
		ProcessStart: e.ProcessStart, Group: e.Group, Epoch: e.Epoch, BundleVersion: e.BundleVersion,
		Loaded: e.Loaded, Leaving: e.Leaving, InFlight: e.InFlight, Capacity: 8,
	}
}
