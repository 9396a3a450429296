package soak

import (
	"bytes"
	"fmt"
	"os"
	"syscall"
	"time"

	"amaranthmill/standin/relayer"
)

// Delays until killed instances and engines are replaced, and until a draining engine ends.
const (
	restartTime = 300 * time.Millisecond
	replaceTime = 1200 * time.Millisecond
	drainTime   = 2500 * time.Millisecond // from the drain until the engine is killed
)

// apply injects a fault without waiting for its end. Faults that last are ended in the
// background.
func (s *soak) apply(f Fault) {
	switch f := f.(type) {
	case KillInstance:
		s.runInBackground(func() { s.kill(s.instance(f.Instance)) })
	case StopInstance:
		s.runInBackground(func() { s.stop(s.instance(f.Instance)) })
	case FreezeInstance:
		s.runInBackground(func() { s.freeze(s.instance(f.Instance), f.For) })
	case ReloadSettings:
		s.reload(s.instance(f.Instance), f.Signal)
	case CutLink:
		s.disturbLink(f.Link, f.For, func(l *relayer.Link) {
			for _, way := range f.Ways {
				l.CutOneWay(way)
			}
		})
	case DelayLink:
		s.disturbLink(f.Link, f.For, func(l *relayer.Link) { l.Delay(f.Delay) })
	case ResetLink:
		s.disturbLink(f.Link, 0, (*relayer.Link).Reset)
	case SilenceLink:
		s.disturbLink(f.Link, 0, (*relayer.Link).Silence)
	case CrashEngine:
		s.crashEngine(f.Engine)
	case DrainEngine:
		s.drainEngine(f.Engine)
	case HideEngine:
		e := s.liveEngine(f.Engine)
		s.applyFor(allEngines, f.For, e.Hide, e.Show)
	case SlowEngine:
		e := s.liveEngine(f.Engine)
		s.applyFor(allEngines, f.For, func() { e.Slow(f.Factor) }, func() { e.Slow(1) })
	case DeafEngine:
		e := s.livePlainEndpoint(f.Engine)
		s.applyFor(allEngines, f.For, func() { e.LoseAnswers(f.In) }, func() { e.LoseAnswers(0) })
	case SilenceEngine:
		s.liveEngine(f.Engine).Silence(f.Point, f.For)
		s.runInBackground(func() { s.sleep(f.For) })
	case LeaveEngine:
		s.leaveEngine(f)
	case LimitEngine:
		s.limitEngine(f)
	case ChillEngine:
		s.liveEngine(f.Engine).Chill(f.For)
	case CutEndpoints:
		s.cutEndpoints(f)
	case EvacuateDomain:
		s.evacuateDomain(f)
	case CloseEngine:
		e := s.liveEngine(f.Engine)
		s.applyFor(allEngines, f.For, func() { e.Close(f.For) }, func() {})
	case CutStore, StoreDown, StoreSlow, StoreDeaf, RestoreStore, Compact:
		s.applyToStore(f)
	case ChangeKeys:
		s.changeKeys(f.Add)
	case Reconfigure:
		s.configure()
	case GrowConfiguration:
		s.growConfiguration()
	}
}

func (s *soak) applyToStore(f Fault) {
	switch f := f.(type) {
	case CutStore:
		s.cutStore(f)
	case StoreDown:
		s.applyFor(allInstances, f.For, func() { s.platform.Store.SetDown(true) }, func() { s.platform.Store.SetDown(false) })
	case StoreSlow:
		s.applyFor(allInstances, f.For, func() { s.platform.Store.SetDelay(f.Delay) }, func() { s.platform.Store.SetDelay(0) })
	case StoreDeaf:
		s.applyFor(allInstances, f.For, func() { s.platform.Store.LoseAnswers(f.In) }, func() { s.platform.Store.LoseAnswers(0) })
	case RestoreStore:
		s.restoreStore(f)
	case Compact:
		s.applyFor(allInstances, 0, s.platform.Store.Compact, func() {})
	}
}

// applyFor begins a fault now and ends it in the background after d. The record counts the
// instance, or all instances or engines, as disrupted for that time.
func (s *soak) applyFor(instance int, d time.Duration, begin, end func()) {
	endDisruption := s.record.startDisruption(instance)
	begin()
	s.runInBackground(func() {
		s.sleep(d)
		end()
		endDisruption()
	})
}

// disturbLink applies a fault to a link and restores the link after d.
func (s *soak) disturbLink(l Link, d time.Duration, do func(*relayer.Link)) {
	link, instance := s.link(l)
	s.applyFor(instance, d, func() { do(link) }, link.Restore)
}

// kill kills an instance and restarts it after restartTime.
func (s *soak) kill(i *instance) {
	defer s.record.startDisruption(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process.Kill()
	s.sleep(restartTime)
	s.start(i)
}

// stop sends SIGTERM to an instance and restarts it. The instance must end with exit code 0
// within stopLimit.
func (s *soak) stop(i *instance) {
	defer s.record.startDisruption(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	isRunning := i.process.HasWritten("instance runs")
	began := time.Now()
	code, err := i.process.Terminate()
	switch elapsed := time.Since(began); {
	case err == nil && !isRunning: // the signal came before the instance handled signals, when it had no requests
	case err != nil || code != 0 || elapsed > stopLimit:
		s.record.addViolation("instance %d stopped with code %d after %s: %v", i.number, code, elapsed, err)
	}
	s.start(i)
}

// freeze suspends an instance's process with SIGSTOP for d.
func (s *soak) freeze(i *instance, d time.Duration) {
	defer s.record.startDisruption(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.process.Freeze(); err != nil {
		s.record.addViolation("instance %d: freeze: %v", i.number, err)
		return
	}
	s.sleep(d)
	if err := i.process.Thaw(); err != nil {
		s.record.addViolation("instance %d: %v", i.number, err)
	}
}

// reload changes the settings file of an instance, which must keep serving.
func (s *soak) reload(i *instance, signal bool) {
	slack := s.cfg.retrySlack()
	from, to := fmt.Sprintf(`"retrySlack":%d`, slack), fmt.Sprintf(`"retrySlack":%d`, slack+1)
	if !s.editSettings(i, from, to) {
		s.editSettings(i, to, from)
	}
	if !signal || !i.mu.TryLock() { // an instance that is being restarted reads the file anyway; one that is frozen gets no signal
		return
	}
	defer i.mu.Unlock()
	if i.process.HasWritten("instance runs") { // before, the signal may come before the program has begun, and ends it
		i.process.Signal(syscall.SIGHUP)
	}
}

// editSettings replaces from by to in the settings file of an instance. It returns false if the
// file does not contain from.
func (s *soak) editSettings(i *instance, from, to string) bool {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		s.record.addViolation("settings of instance %d: %v", i.number, err)
		return false
	}
	if !bytes.Contains(text, []byte(from)) {
		return false
	}
	if err := os.WriteFile(i.settings, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600); err != nil {
		s.record.addViolation("settings of instance %d: %v", i.number, err)
	}
	return true
}

// crashEngine kills an engine and starts one without weights after replaceTime.
func (s *soak) crashEngine(n int) {
	e := s.liveEngine(n)
	s.applyFor(allEngines, replaceTime, e.Kill, func() { s.addEngine(e.Domain) })
}

// drainEngine starts an engine without weights and drains another one, which is killed after
// drainTime.
func (s *soak) drainEngine(n int) {
	e := s.liveEngine(n)
	s.addEngine(e.Domain)
	s.applyFor(allEngines, drainTime, e.Drain, e.Kill)
}

// changeKeys adds the second key to the configuration, or removes it.
func (s *soak) changeKeys(add bool) {
	s.secondKeyValid = add
	s.configure()
	s.record.addKeyChange(add)
}

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.version++
	keys := []string{firstKey}
	if s.secondKeyValid {
		keys = append(keys, secondKey)
	}
	s.platform.Configure(s.version, keys...)
}
