package soak

import (
	"context"
	"math"
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
	Binary      string // path of the program amaranthmill
	Dir         string // an empty folder for settings and logs
	Seed        uint64
	Instances   int           // zero means 3
	Engines     int           // number of engines in each of two fabric domains; zero means 6
	Callers     int           // zero means 12
	Crashing    bool          // copies of a request that crashes the engines that run it are sent
	Silences    bool          // engines are silent for a while, also before the period of the other faults, and few retries are allowed
	Limits      bool          // engines name limits of requests per second
	Cuts        bool          // instances lose their paths to all engines for a time, also before the period of the other faults
	Leaving     bool          // engines say in their answers that they leave or that they want no requests for a time
	Evacuations bool          // failure domains are evacuated for a time
	Length      time.Duration // the period in which faults are injected; zero means 8 s
	Restores    bool          // the store is restored from older copies
	Drills      bool          // in place of the other faults, the store is restored in series while versions of the configuration follow one another and are judged
	Cold        bool          // engines are cold after their start, and at other times
	Large       bool          // the configuration grows to many routes and changes ten times per second, also after the last fault, and instances name the bandwidths of their links

	CrashingPart bool // requests are sent that differ in all but a part of their prompts, which crashes the engines that answer them; Crashing is then ignored
}

// Names, sizes and time limits of the deployment.
const (
	modelName       = "small"
	modelSize       = 2
	firstKey        = hosted.APIKey
	plainCount      = 3
	stopLimit       = 8 * time.Second
	startTimeout    = 20 * time.Second // within which every instance must serve after the start
	recoveryTimeout = 15 * time.Second // within which every instance must serve after the last fault
	pollInterval    = 50 * time.Millisecond
)

var domains = []string{"d1", "d2"}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Steps      []Step
	Sent       int
	Answered   int      // with a complete answer
	Crashes    int      // runs of the crashing requests
	NotRun     int      // refused with a status that guarantees that the request was not run
	Violations []string // of guarantees; empty if all were kept

	Judged             int // requests that show which version an instance has, while it had to have each in time
	BoundByEvacuations int // requests that were sent while an evacuation had to be in force at their instance
}

// soak is the state of one run.
type soak struct {
	cfg       Config
	platform  *hosted.Platform
	processes spawner.Processes
	instances []*instance
	record    record
	faultWork sync.WaitGroup // faults in the background

	version        int       // of the configuration
	secondKeyValid bool      // in the configuration
	moreRoutes     int       // in the configuration
	operator       *operator // nil without drills

	mu           sync.Mutex               // guards the fields below
	links        map[string]*relayer.Link // to engines, by engine ID
	engines      []*hosted.Engine         // all engines and endpoints that were started, including killed ones
	enginesAdded int
	cuts         map[int]func(*relayer.Link) // what cuts the paths of an instance to engines, by the number of the instance
}

// Run runs the faults of one seed. It returns an error if the run can't be set up; violations
// of guarantees are in the report.
func Run(cfg Config) (Report, error) {
	cfg = cfg.withDefaults()
	p, err := hosted.Start([]hosted.Model{{Name: modelName, GroupSize: modelSize}})
	if err != nil {
		return Report{}, err
	}
	defer p.Close()
	s := &soak{cfg: cfg, platform: p, processes: spawner.Processes{Dir: cfg.Dir}, links: map[string]*relayer.Link{}, cuts: map[int]func(*relayer.Link){}, version: 1}
	p.ListedAddress = s.addLink
	if cfg.Cold {
		p.Cold = coldEngines
		p.Configure(s.version, firstKey)
	}
	defer s.close()
	if err := s.startDeployment(); err != nil {
		return Report{}, err
	}
	return s.injectFaults(), nil
}

func (c Config) withDefaults() Config {
	defaulter.Set(&c.Instances, 3)
	defaulter.Set(&c.Engines, 6)
	defaulter.Set(&c.Callers, 12)
	defaulter.Set(&c.Length, 8*time.Second)
	return c
}

// startDeployment starts the engines, the endpoints of the plain service and the instances.
func (s *soak) startDeployment() error {
	for _, d := range domains {
		for range s.cfg.Engines {
			s.addEngine(d)
		}
	}
	for range plainCount {
		s.addEngine("")
	}
	for n := range s.cfg.Instances {
		if err := s.newInstance(n); err != nil {
			return err
		}
	}
	return nil
}

// injectFaults injects the planned faults while callers send requests, and checks the
// guarantees.
func (s *soak) injectFaults() Report {
	r := rand.New(rand.NewPCG(s.cfg.Seed, s.cfg.Seed))
	out := Report{Seed: s.cfg.Seed, Steps: s.plan(r)}
	s.awaitService("at the start", startTimeout, r)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range s.cfg.Callers {
		c := s.newCaller(n, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n))))
		callers.Go(func() { c.run(ctx) })
	}
	stopCrashing, stopDrills := func() {}, func() int { return 0 }
	if s.cfg.Drills {
		stopDrills = s.startDrills(r)
	}
	switch {
	case s.cfg.CrashingPart:
		stopCrashing = s.startCrashingPart()
	case s.cfg.Crashing:
		stopCrashing = s.startCrashing()
	}
	start := time.Now()
	for _, step := range out.Steps {
		s.sleep(time.Until(start.Add(step.At)))
		s.apply(step.Fault)
	}
	s.faultWork.Wait()
	stopCrashing()
	out.Judged = stopDrills()
	stop()
	callers.Wait()
	s.awaitService("after the last fault", recoveryTimeout, r)
	if s.cfg.Large {
		s.checkLargeConfiguration()
	}
	if s.cfg.Restores {
		s.checkAfterRestores()
	}
	s.summarize(&out)
	return out
}

// The random streams of the faults of each kind.
const (
	silenceStream = math.MaxUint64 - iota
	statementStream
	limitStream
	cutStream
	evacuationStream
	coldStream
	restoreStream
)

// plan returns the faults of the run. Silences and statements have generators of their own, so
// that a seed gives the same other faults without them.
func (s *soak) plan(r *rand.Rand) []Step {
	if s.cfg.Drills {
		return planDrills(r, s.cfg.Length, s.cfg.Instances)
	}
	steps := Plan(r, s.cfg.Length)
	if s.cfg.Silences {
		steps = AddSilences(steps, rand.New(rand.NewPCG(s.cfg.Seed, silenceStream)), s.cfg.Length)
	}
	if s.cfg.Leaving {
		steps = AddStatements(steps, rand.New(rand.NewPCG(s.cfg.Seed, statementStream)), s.cfg.Length)
	}
	if s.cfg.Limits {
		steps = AddLimits(steps, rand.New(rand.NewPCG(s.cfg.Seed, limitStream)), s.cfg.Length)
	}
	if s.cfg.Cold {
		steps = AddCold(steps, rand.New(rand.NewPCG(s.cfg.Seed, coldStream)), s.cfg.Length)
	}
	if s.cfg.Large {
		steps = AddVersions(steps, s.cfg.Length)
	}
	if s.cfg.Cuts {
		steps = AddEndpointCuts(steps, rand.New(rand.NewPCG(s.cfg.Seed, cutStream)), s.cfg.Length)
	}
	if s.cfg.Evacuations {
		steps = AddEvacuations(steps, rand.New(rand.NewPCG(s.cfg.Seed, evacuationStream)), s.cfg.Length)
	}
	if s.cfg.Restores {
		steps = AddRestores(steps, rand.New(rand.NewPCG(s.cfg.Seed, restoreStream)), s.cfg.Length)
	}
	return steps
}

// summarize checks the record and writes the violations and counts to the report.
func (s *soak) summarize(out *Report) {
	for _, i := range s.instances {
		if !i.process.IsRunning() {
			s.record.addViolation("instance %d ended by itself", i.number)
		}
	}
	runs := s.platform.RunCounts()
	out.Violations = append(s.record.findViolations(runs), s.platform.Violations()...)
	if s.cfg.Silences {
		out.Violations = append(out.Violations, s.record.findCutAnswers(runs)...)
	}
	out.Violations = append(out.Violations, s.record.findUnwantedRequests(s.platform.Engines())...)
	out.Violations = append(out.Violations, s.record.findRequestsBeyondLimits(s.platform.Engines())...)
	violations, bound := s.record.findRequestsToEvacuated(s.platform.Engines())
	out.Violations, out.BoundByEvacuations = append(out.Violations, violations...), bound
	out.Violations = append(out.Violations, s.record.findRequestsBeyondCold(s.platform.Engines(), s.platform.Cold.Allowed())...)
	if violation := s.record.checkServiceOfCutInstances(len(s.instances)); violation != "" {
		out.Violations = append(out.Violations, violation)
	}
	crashRuns := s.platform.CrashRuns()
	out.Crashes = len(crashRuns)
	if violation := s.record.checkCrashRuns(crashRuns, s.cfg.crashesBeforeBound()); violation != "" {
		out.Violations = append(out.Violations, violation)
	}
	out.Sent = len(s.record.requests)
	for _, result := range s.record.requests {
		if result.isServed() {
			out.Answered++
		}
		if guaranteesNotRun(result.status) {
			out.NotRun++
		}
	}
}

// awaitService waits until every instance has served a stream and a plain request. It records
// a violation for each request kind that an instance does not serve within the limit.
func (s *soak) awaitService(when string, limit time.Duration, r *rand.Rand) {
	end := time.Now().Add(limit)
	c := s.newCaller(s.cfg.Callers, r)
	c.name = "wait-" + strings.ReplaceAll(when, " ", "-")
	defer c.client.CloseIdleConnections()
	for n := range s.instances {
		for _, plain := range []bool{false, true} {
			for {
				result := c.send(n, plain, false)
				s.record.addRequest(result)
				if result.isServed() {
					break
				}
				if time.Now().After(end) {
					s.record.addViolation("instance %d does not serve %s: plain=%t status=%d", n, when, plain, result.status)
					break
				}
				s.sleep(pollInterval)
			}
		}
	}
}

// runInBackground runs f in a goroutine that injectFaults waits for.
func (s *soak) runInBackground(f func()) { s.faultWork.Go(f) }

// sleep waits for d.
func (s *soak) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
}
