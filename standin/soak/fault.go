package soak

import (
	"fmt"
	"time"

	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
)

// Fault is a fault to inject. Instances and engines are given by a number, which is taken
// modulo their count. The names of the fault types and of their fields are printed with the
// steps of a plan.
type Fault interface{ fault() }

type (
	// KillInstance kills an instance and restarts it after restartTime.
	KillInstance struct{ Instance int }

	// StopInstance sends SIGTERM to an instance and restarts it after it has stopped.
	StopInstance struct{ Instance int }

	// FreezeInstance suspends an instance's process with SIGSTOP for a time.
	FreezeInstance struct {
		Instance int
		For      time.Duration
	}

	// ReloadSettings changes an instance's settings file, with or without sending SIGHUP.
	ReloadSettings struct {
		Instance int
		Signal   bool
	}

	// CutLink holds back the bytes of a link, in one or both directions, for a time.
	CutLink struct {
		Link Link
		Ways []relayer.Direction
		For  time.Duration
	}

	// DelayLink delays the bytes of a link for a time.
	DelayLink struct {
		Link       Link
		Delay, For time.Duration
	}

	// ResetLink resets the connections over a link.
	ResetLink struct{ Link Link }

	// SilenceLink stops all bytes on the existing connections over a link permanently.
	SilenceLink struct{ Link Link }

	// CrashEngine kills an engine and starts an engine without weights in its place after
	// replaceTime.
	CrashEngine struct{ Engine int }

	// DrainEngine starts an engine without weights, drains another engine and kills that after
	// drainTime.
	DrainEngine struct{ Engine int }

	// HideEngine disconnects an engine from the store, but not from the instances, for a time.
	HideEngine struct {
		Engine int
		For    time.Duration
	}

	// SlowEngine slows an engine's streams down by a factor for a time.
	SlowEngine struct {
		Engine, Factor int
		For            time.Duration
	}

	// DeafEngine makes an endpoint run every In-th plain request without answering it, for a
	// time.
	DeafEngine struct {
		Engine, In int
		For        time.Duration
	}

	// SilenceEngine makes an engine or endpoint send nothing for a time, after which it goes on.
	SilenceEngine struct {
		Engine int
		Point  hosted.SilencePoint
		For    time.Duration
	}

	// LeaveEngine makes an engine or endpoint say in its answers that it leaves, and kills it later.
	// Its entry in the store shows it only if Listed is set.
	LeaveEngine struct {
		Engine int
		Listed bool
	}

	// CloseEngine makes an engine or endpoint turn requests away for a time, which its answers name.
	CloseEngine struct {
		Engine int
		For    time.Duration
	}

	// LimitEngine makes an engine or endpoint name a limit for a time.
	LimitEngine struct {
		Engine    int
		PerSecond float64
		For       time.Duration
	}

	// ChillEngine makes an engine or endpoint cold for a time, without a start.
	ChillEngine struct {
		Engine int
		For    time.Duration
	}

	// CutEndpoints cuts the paths between an instance and all engines for a time, in silence or by resets. The store, the
	// callers and the other instances reach the instance.
	CutEndpoints struct {
		Instance int
		Reset    bool
		For      time.Duration
	}

	// EvacuateDomain evacuates a failure domain for a time. A malformed value must change nothing.
	EvacuateDomain struct {
		Domain    int
		Malformed bool
		For       time.Duration
	}

	// StoreDown makes the store refuse all calls for a time.
	StoreDown struct{ For time.Duration }

	// StoreSlow delays the store's answers for a time.
	StoreSlow struct{ Delay, For time.Duration }

	// StoreDeaf makes the store perform every In-th write without answering it, for a time.
	StoreDeaf struct {
		In  int
		For time.Duration
	}

	// RestoreStore takes the store away for a time, after which it is back from a copy of at least the given age.
	RestoreStore struct{ Age, Away time.Duration }

	// Compact drops the store's history.
	Compact struct{}

	// ChangeKeys adds the second API key to the configuration, or removes it.
	ChangeKeys struct{ Add bool }

	// Reconfigure writes a new version of the configuration with the same content.
	Reconfigure struct{}

	// GrowConfiguration writes a new version of the configuration with one more route.
	GrowConfiguration struct{}
)

func (KillInstance) fault()      {}
func (StopInstance) fault()      {}
func (FreezeInstance) fault()    {}
func (ReloadSettings) fault()    {}
func (CutLink) fault()           {}
func (DelayLink) fault()         {}
func (ResetLink) fault()         {}
func (SilenceLink) fault()       {}
func (CrashEngine) fault()       {}
func (DrainEngine) fault()       {}
func (HideEngine) fault()        {}
func (SlowEngine) fault()        {}
func (DeafEngine) fault()        {}
func (SilenceEngine) fault()     {}
func (LeaveEngine) fault()       {}
func (CloseEngine) fault()       {}
func (LimitEngine) fault()       {}
func (ChillEngine) fault()       {}
func (CutEndpoints) fault()      {}
func (EvacuateDomain) fault()    {}
func (StoreDown) fault()         {}
func (StoreSlow) fault()         {}
func (StoreDeaf) fault()         {}
func (RestoreStore) fault()      {}
func (Compact) fault()           {}
func (ChangeKeys) fault()        {}
func (Reconfigure) fault()       {}
func (GrowConfiguration) fault() {}

// LinkKind is the kind of a link, by the two sides that it connects.
type LinkKind uint8

// The kinds of links.
const (
	ToCallers LinkKind = iota // from callers to an instance
	ToStore                   // from an instance to the store
	ToEngine                  // from all instances to an engine
	linkKindCount
)

// Link identifies a link by its kind and the number of its instance or engine.
type Link struct {
	Kind   LinkKind
	Number int
}

// String returns the name of the link in reports.
func (l Link) String() string {
	return fmt.Sprintf("%s %d", [...]string{"callers", "store", "engine"}[l.Kind], l.Number)
}

// Step is a fault and its time from the start of the plan.
type Step struct {
	At    time.Duration
	Fault Fault
}

// String returns the description of the step in reports, with the fault's type and fields.
func (s Step) String() string { return fmt.Sprintf("%s %T%+v", s.At, s.Fault, s.Fault) }
