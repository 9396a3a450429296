package runner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// loadCase is a variant of the load.
type loadCase struct {
	name    string
	disturb func(f *loadFleet) // in the middle of the load; may be nil
}

// TestLargeConfigurationOnNarrowLinks replays the load in virtual time with the program's own exchanges, trees and
// views. Each version in full saturated the links of the instances, so that versions were in force past 3 s and
// small entries came as late. In the variants, instances with wide links die, with and without refusing
// connections. The followers must go over to the other one, or to one of another failure domain, in time, and not to the store.
func TestLargeConfigurationOnNarrowLinks(t *testing.T) {
	wide := func(f *loadFleet, i int) *loadNode { return f.order[loadNarrow+i] }
	for _, c := range []loadCase{
		{name: "undisturbed"},
		{name: "silent", disturb: func(f *loadFleet) { wide(f, 0).die(true) }},
		{name: "both refuse", disturb: func(f *loadFleet) {
			wide(f, 0).die(false)
			wide(f, 1).die(false)
		}},
		{name: "both silent", disturb: func(f *loadFleet) {
			wide(f, 0).die(true)
			wide(f, 1).die(true)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLoad(t, c) })
		})
	}
}

func playLoad(t *testing.T, c loadCase) {
	ctx, cancel := context.WithCancel(t.Context())
	links := make([]float64, loadNarrow+loadWide+1) // the last one is in another failure domain
	for i := range links {
		links[i] = loadNarrowMbps
		if i >= loadNarrow {
			links[i] = loadWideMbps
		}
	}
	f := newLoadFleet(ctx, t, links)
	time.Sleep(500 * time.Millisecond) // the first list comes from the store
	atStart := f.storeBytes()
	time.Sleep(2500 * time.Millisecond)
	f.expectVersion(t, 1, "before the load")
	f.logIdleCalls(t)
	if c.disturb != nil {
		time.AfterFunc(loadVersions*loadInterval/2+13*time.Millisecond, func() { c.disturb(f) })
	}
	f.replay(t)
	f.report(t, atStart)
	cancel()
	synctest.Wait()
	time.Sleep(10 * time.Second) // calls without a context end
}

func (f *loadFleet) expectVersion(t *testing.T, version int, when string) {
	for _, n := range f.order {
		if got := int(n.hosted.resolver.Version()); got < version && !n.isDead() {
			t.Errorf("%s: version %d is in force at %s, not %d", when, got, n.name, version)
		}
	}
}

func (f *loadFleet) storeBytes() map[*loadNode]int64 {
	out := map[*loadNode]int64{}
	for _, n := range f.order {
		out[n] = n.storeBytes()
	}
	return out
}

// replay writes the versions and a small entry every 50 ms, and checks every 5 ms what is in force and what the replicas
// have.
func (f *loadFleet) replay(t *testing.T) {
	var writes []loadWrite
	start := time.Now()
	watchers := make([]*loadWatcher, len(f.order))
	for i, n := range f.order {
		watchers[i] = &loadWatcher{t: t, node: n, parentHad: map[string]time.Time{}}
	}
	for step := 0; time.Since(start) < loadVersions*loadInterval+inForceBound+time.Second; step++ {
		if time.Since(start) < loadVersions*loadInterval {
			if step%20 == 0 {
				version := 2 + step/20
				f.store.put("op/config", loadConfiguration(version, loadRoutes-loadVersions+version))
				writes = append(writes, loadWrite{at: time.Now(), key: "op/config", revision: f.store.revision, version: version})
			}
			if step%10 == 0 {
				key := fmt.Sprintf("mill/loss/%d", step)
				f.store.put(key, []byte("{}"))
				writes = append(writes, loadWrite{at: time.Now(), key: key, revision: f.store.revision})
			}
		}
		for _, w := range watchers {
			if !w.node.isDead() {
				w.check(writes, f.parentOf(w.node))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	var version, small time.Duration
	for _, w := range watchers {
		version, small = max(version, w.longestVersion), max(small, w.longestSmall)
	}
	t.Logf("longest: version in force %v plus %v to apply it, small entry after its parent %v", version, applyCost, small)
}

// logIdleCalls logs the calls per second of the instances while nothing changes.
func (f *loadFleet) logIdleCalls(t *testing.T) {
	const length = 5 * time.Second
	before := map[*loadNode]int64{}
	for _, n := range f.order {
		before[n] = n.up.total() + n.down.total()
	}
	time.Sleep(length)
	var narrow, wide int64
	for _, n := range f.order {
		calls := (n.up.total() + n.down.total() - before[n]) / (2 * callOverhead) // the bodies are nearly empty
		if n.down.mbps < loadWideMbps {
			narrow = max(narrow, calls)
		} else {
			wide = max(wide, calls)
		}
	}
	t.Logf("idle: %.1f calls per second at an instance with a narrow link, %.1f with a wide one", float64(narrow)/length.Seconds(), float64(wide)/length.Seconds())
}

// loadWrite is a write of the load that the store has acknowledged.
type loadWrite struct {
	at       time.Time
	key      string
	revision uint64
	version  int // of the configuration; zero for a small entry
}

// loadWatcher checks when the writes reach a node.
type loadWatcher struct {
	t         *testing.T
	node      *loadNode
	known     int         // writes that pending has had
	pending   []loadWrite // that the node does not have
	version   int         // in force
	parentHad map[string]time.Time

	longestVersion, longestSmall time.Duration
}

// check reports the writes that are late.
func (w *loadWatcher) check(writes []loadWrite, parent *loadNode) {
	w.pending = append(w.pending, writes[w.known:]...)
	w.known = len(writes)
	version := int(w.node.hosted.resolver.Version())
	if version < w.version {
		w.t.Fatalf("%s went back from version %d to %d", w.node.name, w.version, version)
	}
	w.version = version
	w.pending = slices.DeleteFunc(w.pending, func(x loadWrite) bool {
		if x.version > 0 {
			return w.checkVersion(x)
		}
		return w.checkSmall(x, parent)
	})
}

// checkVersion returns whether a version or a later one is in force, or late.
func (w *loadWatcher) checkVersion(x loadWrite) bool {
	late := time.Since(x.at)
	if w.version >= x.version {
		w.longestVersion = max(w.longestVersion, late)
		return true
	}
	if late+applyCost > inForceBound {
		w.t.Errorf("%s: version %d is not in force after %v", w.node.name, x.version, late+applyCost)
	}
	return late+applyCost > inForceBound
}

// checkSmall returns whether the node has a small entry, or has not had it in time since its parent has had it.
func (w *loadWatcher) checkSmall(x loadWrite, parent *loadNode) bool {
	had, ok := w.parentHad[x.key]
	if !ok {
		if parent == nil || parent.isDead() || !parent.hasKey(x.key, x.revision) {
			return w.node.hasKey(x.key, x.revision)
		}
		had = time.Now()
		w.parentHad[x.key] = had
	}
	late := time.Since(had)
	if w.node.hasKey(x.key, x.revision) {
		w.longestSmall = max(w.longestSmall, late)
		return true
	}
	if late > smallEntryBound {
		w.t.Errorf("%s: small entry %s is missing %v after the parent had it", w.node.name, x.key, late)
	}
	return late > smallEntryBound
}

// parentOf returns the node that n follows now, or nil for the store.
func (f *loadFleet) parentOf(n *loadNode) *loadNode {
	peer, _, ok := n.hosted.upstream.selectPeer()
	if !ok {
		return nil
	}
	return f.nodes[peer.Address.String()]
}

// report logs the bytes per link and checks that no instance with a narrow link has used the store.
func (f *loadFleet) report(t *testing.T, atStart map[*loadNode]int64) {
	var users []string
	var narrowDown, narrowUp, wideDown, wideUp int64
	for _, n := range f.order {
		if n.down.mbps < loadWideMbps {
			narrowDown, narrowUp = max(narrowDown, n.down.total()), max(narrowUp, n.up.total())
			if n.storeBytes() > atStart[n] {
				users = append(users, n.name)
			}
			continue
		}
		wideDown, wideUp = max(wideDown, n.down.total()), max(wideUp, n.up.total())
	}
	if len(users) > 0 {
		t.Errorf("instances with narrow links have used the store after their first list: %v", users)
	}
	t.Logf("largest bytes per link with the start: narrow %d down, %d up; wide %d down, %d up", narrowDown, narrowUp, wideDown, wideUp)
}

// TestValueComesFromStoreBesideSilentPeers checks that a fetch from two peers that have fallen silent goes on to the
// store while their calls are pending. It waited until both calls had timed out, 3 s, past the bound of a version.
func TestValueComesFromStoreBesideSilentPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newLoadFleet(ctx, t, []float64{loadNarrowMbps, loadWideMbps, loadWideMbps, loadNarrowMbps, loadNarrowMbps})
		time.Sleep(2 * time.Second)
		f.order[1].die(true)
		f.order[2].die(true)
		u := f.order[0].hosted.upstream
		is.Equal(len(u.valuePeers()), maxValuePeers)
		start := time.Now()
		e, err := u.FetchValue(ctx, replicator.Reference{Key: "op/config", Revision: 1}, storeclient.Entry{})
		is.NoErr(err)
		is.Equal(e.Value, loadConfiguration(1, loadRoutes-loadVersions))
		const transfer = 350 * time.Millisecond // of the value in base64 over a narrow link
		is.True(time.Since(start) <= maxValuePeers*valueHedgeDelay+transfer)
		cancel()
		synctest.Wait()
		time.Sleep(10 * time.Second) // calls without a context end
	})
}
