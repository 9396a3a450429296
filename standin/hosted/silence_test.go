package hosted_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/standin/hosted"
)

const (
	silentTime = 1200 * time.Millisecond
	begunAfter = 5 // events, after which a stream has begun well
)

// streamSet is a number of streams that run at once at the first instance of a fixture.
type streamSet struct {
	f     *fixture
	begun sync.WaitGroup // until each stream has begunAfter events or has ended
	ended sync.WaitGroup

	mu       sync.Mutex
	heads    map[string]int // number of streams that began at an engine, by its ID
	failures []string
}

// startStreams sends n requests for streams.
func (f *fixture) startStreams(name string, n int) *streamSet {
	s := &streamSet{f: f, heads: map[string]int{}}
	for i := range n {
		s.begun.Add(1)
		s.ended.Go(func() { s.run(fmt.Sprintf("%s-%d", name, i)) })
	}
	return s
}

// run sends a request and reads its stream.
func (s *streamSet) run(id string) {
	var once sync.Once
	defer once.Do(s.begun.Done)
	events := 0
	resp, err := s.f.request(s.f.instances[0], http.MethodPost, "/guides/brief", id, hosted.APIKey)
	if err == nil {
		s.addHead(resp.Header.Get("X-Server-Seal"))
		err = readCompleteStream(resp, func(n int) {
			if events = n; n == begunAfter {
				once.Do(s.begun.Done)
			}
		})
	}
	if err != nil {
		s.addFailure(fmt.Sprintf("%s failed after %d events: %v", id, events, err))
	}
}

func (s *streamSet) addHead(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heads[id]++
}

func (s *streamSet) addFailure(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, text)
}

// busiestHead returns the engine at which most of the streams began.
func (s *streamSet) busiestHead() *hosted.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := slices.MaxFunc(slices.Sorted(maps.Keys(s.heads)), func(a, b string) int { return cmp.Compare(s.heads[a], s.heads[b]) })
	return s.f.engine(id)
}

// check waits for the streams and reports each one that was not delivered whole and in order.
func (s *streamSet) check() {
	s.f.t.Helper()
	s.ended.Wait()
	slices.Sort(s.failures)
	for _, text := range s.failures {
		s.f.t.Error(text)
	}
	for _, text := range s.f.platform.Violations() {
		s.f.t.Error(text)
	}
}

// engine returns the engine with an ID.
func (f *fixture) engine(id string) *hosted.Engine {
	f.t.Helper()
	for _, e := range f.platform.Engines() {
		if e.ID == id {
			return e
		}
	}
	f.t.Fatalf("no engine has the ID %q", id)
	return nil
}

// openHeads returns the heads of the groups that serve.
func (f *fixture) openHeads() []*hosted.Engine {
	var out []*hosted.Engine
	for _, e := range f.platform.Engines() {
		if e.IsHead() {
			out = append(out, e)
		}
	}
	return out
}

// setUnframed makes the answers of all engines and endpoints end with their connections.
func (f *fixture) setUnframed(unframed bool) {
	for _, e := range f.platform.Engines() {
		e.SetUnframed(unframed)
	}
}

// memberOf returns the member of a head's group that is not the head.
func (f *fixture) memberOf(head *hosted.Engine) *hosted.Engine {
	f.t.Helper()
	for _, e := range f.platform.Engines() {
		if e != head && e.Domain != "" && f.groupOf(e).Name == f.groupOf(head).Name {
			return e
		}
	}
	f.t.Fatalf("the group of %s has no other member", head.ID)
	return nil
}

// group is the group in the entry of an engine.
type group struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	State string `json:"state"`
}

// groupOf returns the group in the entry of an engine.
func (f *fixture) groupOf(e *hosted.Engine) group {
	f.t.Helper()
	var entry struct {
		Group group `json:"group"`
	}
	if err := json.Unmarshal(f.platform.Store.Get("servers/"+e.ID), &entry); err != nil {
		f.t.Fatal(err)
	}
	return entry.Group
}

// checkGroupsStay silences the engines that choose returns for the busiest head, sends streams
// until the silence is over, and checks that each engine is in the same group as before.
func checkGroupsStay(t *testing.T, choose func(f *fixture, head *hosted.Engine) []*hosted.Engine) {
	t.Helper()
	f := startFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: hosted.RetrySlack})
	s := f.startStreams("s", 6)
	s.begun.Wait()
	groups := map[*hosted.Engine]group{}
	for _, e := range f.platform.Engines() {
		groups[e] = f.groupOf(e)
	}
	end := time.Now().Add(silentTime)
	for _, e := range choose(f, s.busiestHead()) {
		t.Logf("%s of %v is silent for %s", e.ID, s.heads, silentTime)
		e.Silence(hosted.BeforeHeader, silentTime)
	}
	s.check()
	for n := 0; n == 0 || time.Now().Before(end); n++ {
		f.startStreams(fmt.Sprintf("after-%d", n), 2).check()
	}
	for e, before := range groups {
		if after := f.groupOf(e); after != before {
			t.Errorf("%s was in the group %v and is in %v", e.ID, before, after)
		}
	}
}

// TestSilentMember silences a member of a group that is not its head. The group must stay,
// because the member goes on a second later.
func TestSilentMember(t *testing.T) {
	checkGroupsStay(t, func(f *fixture, head *hosted.Engine) []*hosted.Engine { return []*hosted.Engine{f.memberOf(head)} })
}

// TestSilentPlainEndpoint silences an endpoint of the plain service at each point of its answers.
// Its requests must not be repeated, and each must be answered, because its time suffices.
func TestSilentPlainEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	endpoint := f.engine("ledger-1")
	tests := map[string]struct {
		point    hosted.SilencePoint
		unframed bool
	}{
		"before header":         {point: hosted.BeforeHeader},
		"before body":           {point: hosted.BeforeFirstEvent},
		"inside body":           {point: hosted.InsideEvent},
		"inside body, unframed": {point: hosted.InsideEvent, unframed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			endpoint.SetUnframed(test.unframed)
			endpoint.Silence(test.point, silentTime)
			var requests sync.WaitGroup
			for n := range 6 {
				requests.Go(func() {
					id := fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), n)
					if err := f.requestPlain(id); err != nil {
						t.Errorf("%s: %v", id, err)
					}
					if runs := endpoint.Runs(id); runs != 1 {
						t.Errorf("%s ran %d times", id, runs)
					}
				})
			}
			requests.Wait()
		})
	}
}

// requestPlain sends a request to the plain service and checks that its answer is complete.
func (f *fixture) requestPlain(id string) error {
	resp, err := f.request(f.instances[0], http.MethodPost, "/holds/7", id, hosted.APIKey)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := "POST /holds/7 for " + hosted.Account; resp.StatusCode != http.StatusOK || string(text) != want {
		return fmt.Errorf("status %d, body %q", resp.StatusCode, text)
	}
	return nil
}

// TestUnframedAnswersAreComplete checks that answers whose end is the end of their connection
// arrive whole.
func TestUnframedAnswersAreComplete(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	f.setUnframed(true)
	f.startStreams("s", 4).check()
	is.NoErr(f.requestPlain("h"))
}

// TestUnframedStreamBrokenInsideEvent ends streams without a length inside an event. A stream
// must go on at another engine if one delivers it whole, and must not look complete otherwise.
func TestUnframedStreamBrokenInsideEvent(t *testing.T) {
	const brokenEvent = 20
	is := is.New(t)
	f := newFixture(t, 1)
	heads := f.openHeads()
	f.setUnframed(true)
	heads[0].BreakStreams(brokenEvent)
	f.startStreams("one", 4).check()
	for _, e := range f.platform.Engines() {
		e.BreakStreams(brokenEvent)
	}
	resp, err := f.request(f.instances[0], http.MethodPost, "/guides/brief", "all", hosted.APIKey)
	is.NoErr(err)
	text, err := io.ReadAll(resp.Body)
	is.True(err != nil)
	is.True(strings.HasSuffix(string(text), "\n\n")) // only whole events
}

// TestSilentEndpointCutsAnswersBesideConfigurationChange silences the head of a group while the
// configuration changes, with fewer retries or slots left than streams. Attempts were ended in
// the hope of another endpoint, and those for which none was left ended their answers, although
// the silent endpoint went on a second later.
func TestSilentEndpointCutsAnswersBesideConfigurationChange(t *testing.T) {
	tests := map[string]struct {
		streams, retrySlack int
		point               hosted.SilencePoint
		unframed            bool
		beforeStreams       bool // the silence begins before the streams
		holdsLink           bool // the link to the head holds its bytes back, and the head is not silent
	}{
		"few retries":        {streams: 10, retrySlack: 2},
		"few slots":          {streams: 15, retrySlack: hosted.RetrySlack},
		"unframed":           {streams: 10, retrySlack: 2, unframed: true},
		"before header":      {streams: 10, retrySlack: 2, beforeStreams: true},
		"before first event": {streams: 10, retrySlack: 2, point: hosted.BeforeFirstEvent, beforeStreams: true},
		"inside event":       {streams: 10, retrySlack: 2, point: hosted.InsideEvent},
		"link":               {streams: 10, retrySlack: 2, holdsLink: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFixture(t, fixtureConfig{instances: 1, engines: 4, retrySlack: test.retrySlack, hasLinks: test.holdsLink})
			f.setUnframed(test.unframed)
			head := f.openHeads()[0]
			if test.beforeStreams {
				head.Silence(test.point, silentTime)
			}
			s := f.startStreams("s", test.streams)
			if !test.beforeStreams {
				s.begun.Wait()
				head = s.busiestHead()
				t.Logf("%s of %v is silent for %s", head.ID, s.heads, silentTime)
			}
			switch {
			case test.holdsLink:
				f.links[head.ID].Cut()
				time.AfterFunc(silentTime, f.links[head.ID].Restore)
			case !test.beforeStreams:
				head.Silence(test.point, silentTime)
			}
			f.platform.Configure(2, hosted.APIKey)
			s.check()
		})
	}
}

// TestSilentHeadLosesGroup silences the head of a group, alone or with the other member, in the
// middle of its streams. The head counted as dead after two unanswered queries, and its group was
// dissolved, although it went on a second later.
func TestSilentHeadLosesGroup(t *testing.T) {
	t.Run("head", func(t *testing.T) {
		checkGroupsStay(t, func(_ *fixture, head *hosted.Engine) []*hosted.Engine { return []*hosted.Engine{head} })
	})
	t.Run("head and member", func(t *testing.T) {
		checkGroupsStay(t, func(f *fixture, head *hosted.Engine) []*hosted.Engine {
			return []*hosted.Engine{head, f.memberOf(head)}
		})
	})
}
