package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/standin/hosted"
	"amaranthmill/standin/relayer"
	"amaranthmill/standin/spawner"
)

// Config configures a run. Binary and Dir are required.
type Config struct {
	Binary    string // the program amaranthmill
	Dir       string // an empty folder for settings and logs
	Seed      uint64
	Instances int           // zero means 3
	Engines   int           // of each of two domains; zero means 6
	Callers   int           // zero means 12
	Length    time.Duration // of the faults; zero means 8 s
}

// Names and sizes of the deployment.
const (
	modelName   = "small"
	modelSize   = 2
	firstKey    = hosted.APIKey
	plainCount  = 3
	stopLimit   = 8 * time.Second
	startTime   = 20 * time.Second // in which every instance must serve at first
	recoverTime = 15 * time.Second // in which every instance must serve after the last fault
	lookTime    = 50 * time.Millisecond
)

var domains = []string{"d1", "d2"}

// Report is what a run found.
type Report struct {
	Seed       uint64
	Steps      []Step
	Sent       int
	Answered   int      // whole
	NotRun     int      // refused
	Violations []string // promises; none if all were kept
}

// soak is one run.
type soak struct {
	cfg       Config
	platform  *hosted.Platform
	processes spawner.Processes
	instances []*instance
	record    record
	version   int
	work      sync.WaitGroup // of the faults

	mu      sync.Mutex               // guards the fields below
	links   map[string]*relayer.Link // to engines, by ID
	engines []*hosted.Engine         // that were not ended by a fault
	added   int
}

// Run plays one seed. Its error says that the run could not be set up; broken promises are
// in the report.
func Run(cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	p, err := hosted.Start([]hosted.Model{{Name: modelName, GroupSize: modelSize}})
	if err != nil {
		return Report{}, err
	}
	defer p.Close()
	s := &soak{cfg: cfg, platform: p, processes: spawner.Processes{Dir: cfg.Dir}, links: map[string]*relayer.Link{}, version: 1}
	p.ListedAddress = s.reach
	defer s.close()
	if err := s.bringUp(); err != nil {
		return Report{}, err
	}
	return s.play(), nil
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.Instances, 3)
	defaulter.Set(&c.Engines, 6)
	defaulter.Set(&c.Callers, 12)
	defaulter.Set(&c.Length, 8*time.Second)
	return c
}

// bringUp starts engines and instances.
func (s *soak) bringUp() error {
	for _, d := range domains {
		for range s.cfg.Engines {
			s.add(d)
		}
	}
	for range plainCount {
		s.add("")
	}
	for n := range s.cfg.Instances {
		if err := s.newInstance(n); err != nil {
			return err
		}
	}
	return nil
}

// play lets the faults come while callers send, and holds what was seen against the promises.
func (s *soak) play() Report {
	r := rand.New(rand.NewPCG(s.cfg.Seed, s.cfg.Seed))
	out := Report{Seed: s.cfg.Seed, Steps: Plan(r, s.cfg.Length)}
	s.awaitService("at the start", startTime, r)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range s.cfg.Callers {
		c := s.newCaller(n, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n))))
		callers.Go(func() { c.run(ctx) })
	}
	start := time.Now()
	for _, step := range out.Steps {
		s.wait(time.Until(start.Add(step.At)))
		s.apply(step.Fault)
	}
	s.work.Wait()
	stop()
	callers.Wait()
	s.awaitService("after the last fault", recoverTime, r)
	s.finish(&out)
	return out
}

// finish sums up the record.
func (s *soak) finish(out *Report) {
	for _, i := range s.instances {
		if !i.process.IsRunning() {
			s.record.fault("instance %d ended by itself", i.number)
		}
	}
	out.Violations = append(s.record.verdict(s.platform.RunCounts()), s.platform.Violations()...)
	out.Sent = len(s.record.all)
	for _, one := range s.record.all {
		if one.isServed() {
			out.Answered++
		}
		if saysNotRun(one.status) {
			out.NotRun++
		}
	}
}

// awaitService waits until every instance has served a stream and a plain request.
func (s *soak) awaitService(when string, limit time.Duration, r *rand.Rand) {
	end := time.Now().Add(limit)
	c := s.newCaller(s.cfg.Callers, r)
	c.name = "wait-" + strings.ReplaceAll(when, " ", "-")
	defer c.client.CloseIdleConnections()
	for n := range s.instances {
		for _, plain := range []bool{false, true} {
			for {
				one := c.send(n, plain, false)
				s.record.add(one)
				if one.isServed() {
					break
				}
				if time.Now().After(end) {
					s.record.fault("instance %d does not serve %s: plain=%t status=%d", n, when, plain, one.status)
					break
				}
				s.wait(lookTime)
			}
		}
	}
}

// background runs a fault in the background.
func (s *soak) background(f func()) { s.work.Go(f) }

// wait lets time pass.
func (s *soak) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
