package soak

import (
	"bytes"
	"os"
	"syscall"
	"time"

	"amaranthmill/standin/relayer"
)

// Times after which what was lost comes back.
const (
	restartTime = 300 * time.Millisecond
	replaceTime = 1200 * time.Millisecond
	drainTime   = 2500 * time.Millisecond // from which on an engine that leaves is gone
)

// apply lets a fault come. What ends later ends by itself.
func (s *soak) apply(f Fault) {
	switch f := f.(type) {
	case KillInstance:
		s.background(func() { s.kill(s.instance(f.Instance)) })
	case StopInstance:
		s.background(func() { s.stop(s.instance(f.Instance)) })
	case FreezeInstance:
		s.background(func() { s.freeze(s.instance(f.Instance), f.For) })
	case ReloadSettings:
		s.reload(s.instance(f.Instance), f.Signal)
	case CutLink:
		s.disturb(f.Link, f.For, func(l *relayer.Link) {
			for _, way := range f.Ways {
				l.CutOneWay(way)
			}
		})
	case DelayLink:
		s.disturb(f.Link, f.For, func(l *relayer.Link) { l.Delay(f.Delay) })
	case ResetLink:
		s.disturb(f.Link, 0, (*relayer.Link).Reset)
	case SilenceLink:
		s.disturb(f.Link, 0, (*relayer.Link).Silence)
	case CrashEngine:
		s.crash(f.Engine)
	case DrainEngine:
		s.drain(f.Engine)
	case HideEngine:
		e := s.engine(f.Engine)
		s.lasting(allInstances, f.For, e.Hide, e.Show)
	case SlowEngine:
		e := s.engine(f.Engine)
		s.lasting(allInstances, f.For, func() { e.Slow(f.Factor) }, func() { e.Slow(1) })
	case DeafEngine:
		e := s.plainEngine(f.Engine)
		s.lasting(allInstances, f.For, func() { e.LoseAnswers(f.In) }, func() { e.LoseAnswers(0) })
	case StoreDown:
		s.lasting(allInstances, f.For, func() { s.platform.Store.SetDown(true) }, func() { s.platform.Store.SetDown(false) })
	case StoreSlow:
		s.lasting(allInstances, f.For, func() { s.platform.Store.SetDelay(f.Delay) }, func() { s.platform.Store.SetDelay(0) })
	case StoreDeaf:
		s.lasting(allInstances, f.For, func() { s.platform.Store.LoseAnswers(f.In) }, func() { s.platform.Store.LoseAnswers(0) })
	case Compact:
		s.lasting(allInstances, 0, s.platform.Store.Compact, func() {})
	case ChangeKeys:
		s.changeKeys(f.Add)
	}
}

// lasting lets trouble of an instance begin now, and end after a while.
func (s *soak) lasting(instance int, d time.Duration, begin, end func()) {
	over := s.record.trouble(instance)
	begin()
	s.background(func() {
		s.wait(d)
		end()
		over()
	})
}

// disturb does something to a link and mends the link after a while.
func (s *soak) disturb(l Link, d time.Duration, do func(*relayer.Link)) {
	link, instance := s.link(l)
	s.lasting(instance, d, func() { do(link) }, link.Restore)
}

// kill kills an instance and starts it again.
func (s *soak) kill(i *instance) {
	defer s.record.trouble(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process.Kill()
	s.wait(restartTime)
	s.start(i)
}

// stop stops an instance, which has to end well and in time, and starts it again.
func (s *soak) stop(i *instance) {
	defer s.record.trouble(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	runs := i.process.HasWritten("instance runs")
	began := time.Now()
	code, err := i.process.Terminate()
	switch took := time.Since(began); {
	case err == nil && !runs: // it was stopped before it took signals, and had no requests
	case err != nil || code != 0 || took > stopLimit:
		s.record.fault("instance %d stopped with code %d after %s: %v", i.number, code, took, err)
	}
	s.start(i)
}

// freeze stops an instance without its knowledge for a while.
func (s *soak) freeze(i *instance, d time.Duration) {
	defer s.record.trouble(i.number)()
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.process.Freeze(); err != nil {
		s.record.fault("instance %d: freeze: %v", i.number, err)
		return
	}
	s.wait(d)
	if err := i.process.Thaw(); err != nil {
		s.record.fault("instance %d: %v", i.number, err)
	}
}

// reload changes the settings file of an instance, which has to go on under it.
func (s *soak) reload(i *instance, signal bool) {
	text, err := os.ReadFile(i.settings)
	if err != nil {
		s.record.fault("settings of instance %d: %v", i.number, err)
		return
	}
	from, to := `"retrySlack":100`, `"retrySlack":101`
	if !bytes.Contains(text, []byte(from)) {
		from, to = to, from
	}
	if err := os.WriteFile(i.settings, bytes.Replace(text, []byte(from), []byte(to), 1), 0o600); err != nil {
		s.record.fault("settings of instance %d: %v", i.number, err)
	}
	if signal && i.mu.TryLock() { // one that is being restarted reads the file anyway
		defer i.mu.Unlock()
		i.process.Signal(syscall.SIGHUP)
	}
}

// crash ends an engine. An empty one comes in its place.
func (s *soak) crash(n int) {
	e := s.engine(n)
	s.lasting(allInstances, replaceTime, e.Kill, func() { s.add(e.Domain) })
}

// drain starts an empty engine and lets another one leave.
func (s *soak) drain(n int) {
	e := s.engine(n)
	s.add(e.Domain)
	s.lasting(allInstances, drainTime, e.Drain, e.Kill)
}

func (s *soak) changeKeys(add bool) {
	s.version++
	if add {
		s.platform.Configure(s.version, firstKey, secondKey)
	} else {
		s.platform.Configure(s.version, firstKey)
	}
	s.record.keyChanged(add)
}
