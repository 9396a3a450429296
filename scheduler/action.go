package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// Action is an output of a Scheduler: Send, Abandon, Wait, Finish, Stalled, Recovered,
// ReachChanged, Probe, LeavingStated, LimitChanged, ColdChanged, ColdSkipped, LimitReport, LimitQuery, LatencyReport, DemandReport, CapacityChanged or WakeAt.
type Action interface{ action() }

// Send starts an attempt: the request is sent to Target, or to a peer, which sends it to an endpoint. An attempt that hedges others runs
// beside them. The first of them that makes progress answers the request, and the others are
// abandoned; a stream resumes after the last event that the caller has received when the
// attempt starts.
type Send struct {
	Ref     Ref
	Attempt int
	Target  *Target             // nil for an attempt through a peer
	Peer    identifier.Instance // empty for an attempt at a target
	Load    float64             // estimated load of the target when it was chosen, as a fraction of its slots
	Hedges  Reason              // why the attempt hedges the attempt that runs; empty if none runs
}

// Abandon cancels a running attempt, whose answer is no longer needed. No event of it may reach
// the caller any more.
type Abandon struct {
	Ref     Ref
	Attempt int
	Reason  Reason
}

// Wait reports that the request waits for a target.
type Wait struct {
	Ref    Ref
	Reason Reason
	Until  time.Time // when the request is given up if no target is available

	Targets int // listed for its pool
	Stalled int // of these
}

// Finish ends the request. It is the last action of a request.
type Finish struct {
	Ref     Ref
	Outcome Outcome
}

// Stalled reports that a target makes no progress, that a connection to it failed, or that
// its endpoint no longer serves at its address. The target gets only trial requests.
type Stalled struct {
	Target  *Target
	Silence time.Duration // time without progress; zero if a connection failed or the endpoint has moved
}

// Recovered reports that a stalled target makes progress again.
type Recovered struct{ Target *Target }

// ReachChanged reports that this instance has lost its links to most endpoints that it has tried, or
// has them again.
type ReachChanged struct {
	CutOff      bool
	Confirmed   bool          // a peer reaches an endpoint that this instance does not, so that its links are at fault; comes after a ReachChanged without it
	Unreachable int           // targets that answer nothing
	Answering   int           // targets that have answered lately; once the links are back, since they were lost
	Lasted      time.Duration // for which the instance was cut off, once the links are back
}

// Probe asks for a sign of life of the endpoint of a target, over a new connection. A Probed event follows.
type Probe struct{ Target *Target }

// LeavingStated reports that a process has said for the first time that it leaves. It gets no
// more requests; those that run there go on.
type LeavingStated struct{ Process identifier.Process }

// LimitChanged reports that a process has named another limit than before, or names none any more.
type LimitChanged struct {
	Process   identifier.Process
	PerSecond float64 // zero for none
}

// ColdChanged reports that a target has become cold, or that it is warm again.
type ColdChanged struct {
	Process   identifier.Process
	PerSecond float64     // requests that it takes from all instances together; zero if it is warm
	Until     time.Time   // as known now; zero if it is warm
	Source    LimitSource // from which this instance knows it; LimitColdEntry, LimitColdAnswer or LimitColdRestored
}

// ColdSkipped reports that a request was placed or had to wait while cold limits kept it from targets of its pool.
type ColdSkipped struct {
	Pool    identifier.Pool
	Targets int // number of those targets
}

// LimitReport holds what this instance knows about limits of processes, sorted by process, for the
// other instances. It comes once a second while there is something to report and requests are in flight.
type LimitReport struct{ News []LimitNews }

// LimitQuery asks other instances what they know about limits of processes, to be reported with LimitsReported.
type LimitQuery struct{}

// LatencyReport counts the requests of a pool over the last second by whether they met their latency goal.
type LatencyReport struct {
	Pool       identifier.Pool
	Requests   int // requests that got their first event or complete answer, or ended as NotRun or Unknown
	MissedGoal int // those after their latency goal, and those that ended as NotRun or Unknown

	service     identifier.Service
	RetriesLeft float64 // retries that this instance may still make for the pool's service
}

// CapacityChanged reports that the learned limit of a target differs by more than a quarter from the one reported last.
type CapacityChanged struct {
	Capacity
	Previous float64 // the limit reported last
}

// WakeAt requests a Ticked event at At. It replaces the previous WakeAt.
type WakeAt struct{ At time.Time }

func (LatencyReport) action()   {}
func (Send) action()            {}
func (Abandon) action()         {}
func (Wait) action()            {}
func (Finish) action()          {}
func (Stalled) action()         {}
func (Recovered) action()       {}
func (ReachChanged) action()    {}
func (Probe) action()           {}
func (LeavingStated) action()   {}
func (LimitChanged) action()    {}
func (ColdChanged) action()     {}
func (ColdSkipped) action()     {}
func (LimitReport) action()     {}
func (LimitQuery) action()      {}
func (CapacityChanged) action() {}
func (WakeAt) action()          {}
