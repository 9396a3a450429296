package scheduler

import (
	"time"

	"amaranthmill/internal/identifier"
)

// abandonDelay is the time that the end of an abandoned attempt takes at most to reach its target over
// a link that is not disturbed.
const abandonDelay = 10 * time.Millisecond

// endedProcessTTL is the time for which a process is known to have ended. It is longer than the time that
// callers wait for an answer.
const endedProcessTTL = time.Minute

// possibleRun is an ended attempt that may have run.
type possibleRun struct {
	process identifier.Process // zero for an attempt through a peer
}

// countRuns returns the number of ended attempts of f that count against f.MaxAttempts: those that may have
// run, except at processes that have ended since.
func (s *Scheduler) countRuns(now time.Time, f *flight) int {
	n := 0
	for _, r := range f.possibleRuns {
		if !s.hasEnded(now, r.process) {
			n++
		}
	}
	return n
}

// countRunning returns the number of running attempts of f that count against f.MaxAttempts.
func (s *Scheduler) countRunning(now time.Time, f *flight) int {
	n := 0
	for _, a := range f.running {
		if a.target == nil || !s.hasEnded(now, a.target.Process()) {
			n++
		}
	}
	return n
}

// hasEnded reports whether a process is known to have ended. One without a start time is never, because its successor
// at the endpoint looks the same.
func (s *Scheduler) hasEnded(now time.Time, p identifier.Process) bool {
	at, ok := s.endedProcesses[p]
	return ok && now.Sub(at) < endedProcessTTL && p.Start != 0
}

// countPossibleRun counts the ended attempt a, which may have run.
func (f *flight) countPossibleRun(a *attempt) {
	f.sentAttempts++
	f.recordRun(a)
}

func (f *flight) recordRun(a *attempt) {
	r := possibleRun{}
	if a.target != nil {
		r.process = a.target.Process()
	}
	f.possibleRuns = append(f.possibleRuns, r)
}

// handleProcessEnded records that a process has ended and hedges its requests, which no longer count
// the attempts there. An attempt that makes progress is not hedged: the process may have closed its listener only.
func (s *Scheduler) handleProcessEnded(now time.Time, p identifier.Process) {
	if s.endedProcesses == nil {
		s.endedProcesses = map[identifier.Process]time.Time{}
	}
	for old, at := range s.endedProcesses {
		if now.Sub(at) >= endedProcessTTL {
			delete(s.endedProcesses, old)
		}
	}
	s.endedProcesses[p] = now
	for _, f := range s.runningFlights() {
		last := f.running[len(f.running)-1]
		if last.target != nil && last.target.Process() == p && now.Sub(last.lastProgressAt) >= s.cfg.MinStreamStall {
			s.hedge(now, last, ReasonStalled)
		}
	}
}
