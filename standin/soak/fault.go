package soak

import (
	"fmt"
	"time"

	"amaranthmill/standin/relayer"
)

// Fault is one kind of trouble. Instances and engines are meant by number, modulo how many there are.
type Fault interface{ fault() }

type (
	// KillInstance kills an instance, which starts again after a while.
	KillInstance struct{ Instance int }

	// StopInstance asks an instance to stop, and starts it again once it has.
	StopInstance struct{ Instance int }

	// FreezeInstance stops an instance without its knowledge for a while.
	FreezeInstance struct {
		Instance int
		For      time.Duration
	}

	// ReloadSettings changes an instance's settings file, with or without a signal.
	ReloadSettings struct {
		Instance int
		Signal   bool
	}

	// CutLink cuts a link, one way or both, for a while.
	CutLink struct {
		Link Link
		Ways []relayer.Direction
		For  time.Duration
	}

	// DelayLink delays what passes a link for a while.
	DelayLink struct {
		Link       Link
		Delay, For time.Duration
	}

	// ResetLink breaks off the connections over a link.
	ResetLink struct{ Link Link }

	// SilenceLink lets the connections over a link go silent for good.
	SilenceLink struct{ Link Link }

	// CrashEngine ends an engine; an empty one comes in its place after a while.
	CrashEngine struct{ Engine int }

	// DrainEngine starts an empty engine and lets another one leave.
	DrainEngine struct{ Engine int }

	// HideEngine cuts an engine off from the store, but not from the instances, for a while.
	HideEngine struct {
		Engine int
		For    time.Duration
	}

	// SlowEngine makes an engine's streams slow for a while.
	SlowEngine struct {
		Engine, Factor int
		For            time.Duration
	}

	// DeafEngine leaves one in so many plain requests of an endpoint run and unanswered for a while.
	DeafEngine struct {
		Engine, In int
		For        time.Duration
	}

	// StoreDown makes the store refuse all calls for a while.
	StoreDown struct{ For time.Duration }

	// StoreSlow delays the store's answers for a while.
	StoreSlow struct{ Delay, For time.Duration }

	// StoreDeaf leaves one in so many writes done and unanswered for a while.
	StoreDeaf struct {
		In  int
		For time.Duration
	}

	// Compact drops the store's history.
	Compact struct{}

	// ChangeKeys adds the second key to the configuration, or takes it away.
	ChangeKeys struct{ Add bool }
)

func (KillInstance) fault()   {}
func (StopInstance) fault()   {}
func (FreezeInstance) fault() {}
func (ReloadSettings) fault() {}
func (CutLink) fault()        {}
func (DelayLink) fault()      {}
func (ResetLink) fault()      {}
func (SilenceLink) fault()    {}
func (CrashEngine) fault()    {}
func (DrainEngine) fault()    {}
func (HideEngine) fault()     {}
func (SlowEngine) fault()     {}
func (DeafEngine) fault()     {}
func (StoreDown) fault()      {}
func (StoreSlow) fault()      {}
func (StoreDeaf) fault()      {}
func (Compact) fault()        {}
func (ChangeKeys) fault()     {}

// LinkKind says what a link leads to.
type LinkKind uint8

// The kinds of links.
const (
	ToCallers LinkKind = iota // from callers to an instance
	ToStore                   // from an instance to the store
	ToEngine                  // from all instances to an engine
	linkKinds
)

// Link names a link: the one of the instance or engine of that number.
type Link struct {
	Kind   LinkKind
	Number int
}

// String names the link in reports.
func (l Link) String() string {
	return fmt.Sprintf("%s %d", [...]string{"callers", "store", "engine"}[l.Kind], l.Number)
}

// Step is a fault at a time from the start of the plan.
type Step struct {
	At    time.Duration
	Fault Fault
}

// String describes the step in reports.
func (s Step) String() string { return fmt.Sprintf("%s %T%+v", s.At, s.Fault, s.Fault) }
