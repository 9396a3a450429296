package hosted_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/messenger"
	"amaranthmill/standin/hosted"
)

// Prompts of the requests of TestPartCrashesEngineAfterEngine.
const (
	firstPart    = "a11ce0" // of all requests
	crashingPart = "bad0bad0"
	documents    = 5 // parts that sound requests and requests with the crashing part share

	firstAfterLift = 300000 // number of the first request with the part after the lift
)

// Times of the requests of TestPartCrashesEngineAfterEngine.
const (
	soundInterval  = 60 * time.Millisecond  // between two sound requests
	guiltyInterval = 120 * time.Millisecond // between two requests with the crashing part
	calmTime       = 3 * time.Second        // without requests with the crashing part
	crashTimeLimit = 12 * time.Second       // of sending them before the last crash that the bound allows
	soundTime      = 5 * time.Second        // in which sound requests must be served again
)

// soundRequest is the result of a sound request.
type soundRequest struct {
	sentAt time.Time
	begun  bool // an event came at the first attempt of its caller
}

// promptTraffic sends sound requests, and requests with the crashing part, to all instances in turn.
type promptTraffic struct {
	f       *fixture
	senders sync.WaitGroup
	mu      sync.Mutex // guards the field below
	sound   []soundRequest
}

// TestPartCrashesEngineAfterEngine sends requests that differ in everything but one part of their
// prompts, which crashes each engine that begins to answer them, beside sound requests that share
// the client account and the other parts. Once five engines have crashed, the instances must stop
// sending requests with that part to engines, and must go on serving the sound ones. After the
// operator has lifted the quarantine, all instances must serve requests with the part.
func TestPartCrashesEngineAfterEngine(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 3)
	for n := range 18 {
		f.add(fmt.Sprintf("x%d", n), "d1")
	}
	f.await("ten groups", func() bool { return f.countHeads() >= 10 })
	f.platform.CrashOnPart(crashingPart, time.Second, nil)
	traffic := &promptTraffic{f: f}
	calmAt := time.Now()
	stopSound := traffic.sendEvery(soundInterval, traffic.sendSound)
	time.Sleep(calmTime)
	guiltyAt := time.Now()
	stopGuilty := traffic.sendEvery(guiltyInterval, func(n int) { traffic.sendGuilty(n) })
	fifthAt := f.awaitCrashes(hosted.PartCrashesBeforeBound, crashTimeLimit)
	soundAt := fifthAt.Add(2 * hosted.CrashBoundDelay)
	time.Sleep(time.Until(soundAt.Add(soundTime)))
	endAt := time.Now()
	stopGuilty()
	stopSound()
	traffic.senders.Wait()

	runs := f.platform.CrashRuns()
	is.True(len(runs) > 0)
	for _, r := range runs {
		t.Logf("%s: %s ran at %s", r.At.Sub(fifthAt).Round(time.Millisecond), r.Request, r.Engine)
	}
	late := hosted.CountLateCrashRuns(runs, hosted.PartCrashesBeforeBound, func(hosted.CrashRun) bool { return true })
	if late > hosted.MaxLateCrashRuns {
		t.Errorf("%d runs later than %s after the part crashed engine %d, at most %d allowed; %d runs in all",
			late, hosted.CrashBoundDelay, hosted.PartCrashesBeforeBound, hosted.MaxLateCrashRuns, len(runs))
	}
	before, after := traffic.begunShare(calmAt, guiltyAt), traffic.begunShare(soundAt, endAt)
	t.Logf("sound requests that began at the first attempt: %.3f before the crashes, %.3f after; %d runs of requests with the part, %d late", before, after, len(runs), late)
	if after < before/2 {
		t.Errorf("%.3f of the sound requests began at the first attempt from %s after crash %d on, %.3f before the crashes; at least half as many must begin",
			after, 2*hosted.CrashBoundDelay, hosted.PartCrashesBeforeBound, before)
	}
	f.liftQuarantine()
	for n := range f.instances {
		f.await("service of the part after the lift", func() bool { return traffic.sendGuilty(firstAfterLift + n) })
	}
}

// liftQuarantine makes the crashing part harmless and lifts its quarantine at one instance.
func (f *fixture) liftQuarantine() {
	is := is.New(f.t)
	f.platform.CrashOnPart("", 0, nil)
	operator := messenger.Operator{HTTP: http.DefaultClient}
	quarantines, err := operator.Quarantines(f.t.Context(), f.instances[0].peers)
	is.NoErr(err)
	is.Equal(len(quarantines), 1)
	is.Equal(string(quarantines[0].Part), crashingPart)
	is.NoErr(operator.Lift(f.t.Context(), f.instances[0].peers, quarantines[0].Fingerprint))
}

// awaitCrashes waits until n runs have crashed their engines, at most limit, and returns the time.
func (f *fixture) awaitCrashes(n int, limit time.Duration) time.Time {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for end := time.Now().Add(limit); time.Now().Before(end); <-tick.C {
		engines := map[string]bool{}
		for _, r := range f.platform.CrashRuns() {
			engines[r.Engine] = true
			if len(engines) == n {
				return r.At
			}
		}
	}
	return time.Now()
}

// sendEvery calls send with increasing numbers until the returned function is called.
func (p *promptTraffic) sendEvery(interval time.Duration, send func(n int)) (stop func()) {
	done := make(chan struct{})
	p.senders.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
				p.senders.Go(func() { send(n) })
			}
		}
	})
	return sync.OnceFunc(func() { close(done) })
}

func (p *promptTraffic) sendSound(n int) {
	sentAt := time.Now()
	parts := []string{firstPart + ":800", fmt.Sprintf("d0c%d:300", n%documents), fmt.Sprintf("f%06x:50", n)}
	begun := p.send(n, "sound", parts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, soundRequest{sentAt: sentAt, begun: begun})
}

func (p *promptTraffic) sendGuilty(n int) bool {
	return p.send(n, "guilty", []string{firstPart + ":800", fmt.Sprintf("d0c%d:300", n%documents), crashingPart + ":200", fmt.Sprintf("e%06x:50", n)})
}

// send sends a request without another attempt and reports whether an event of its answer came.
func (p *promptTraffic) send(n int, kind string, parts []string) bool {
	i := p.f.instances[n%len(p.f.instances)]
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/guides/%s-%d", i.callers, kind, n), strings.NewReader(fmt.Sprintf("%s %d", kind, n)))
	if err != nil {
		p.f.t.Error(err)
		return false
	}
	setRequestHeader(r, fmt.Sprintf("%s-%d", kind, n), hosted.APIKey)
	r.Header.Set("X-Prompt-Prefix", strings.Join(parts, ","))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false
	}
	begun := false
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		begun = begun || strings.HasPrefix(in.Text(), "data: ")
	}
	return begun
}

// begunShare returns the share of the sound requests sent in a period that began at the first attempt.
func (p *promptTraffic) begunShare(from, to time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent, begun := 0, 0
	for _, r := range p.sound {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		sent++
		if r.begun {
			begun++
		}
	}
	return float64(begun) / float64(max(sent, 1))
}
