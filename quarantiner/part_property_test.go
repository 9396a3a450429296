package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
	"amaranthmill/scheduler"
)

// partCrashesBeforeBound is the number of crashes by requests with one part after which the
// operators' bound on such requests applies.
const partCrashesBeforeBound = 5

// Fingerprints of parts.
const (
	crashingPart  = identifier.Fingerprint(1 << 40)
	firstPart     = crashingPart + 1 // of all requests
	secondPart    = crashingPart - 1 // of all requests of TestSoundRequestsOfSmallServiceAreServed
	documentParts = crashingPart + 2 // the first of the documents that requests share
)

// Simulated requests with parts.
const (
	partFleetTime   = 40 * time.Second
	documentCount   = 60
	soundInterval   = 40 * time.Millisecond
	earliestCrashes = 5 * time.Second
)

// partCounts counts the tries of sound requests.
type partCounts struct {
	counted       func(f *fleet) bool // selects the tries by the time of their arrival or refusal
	sent, refused int
}

// TestCrashingPartStops sends requests that differ in all but one part, which crashes their
// endpoints, beside sound requests that share the first part, documents and endpoints. Groups of
// endpoints crash for other reasons, endpoints are replaced and cut off, messages are delayed and lost, links
// and the store fail, and instances restart. Later than stableTime after the fifth crash by the part,
// instances that were not disrupted may send maxLateSends requests with the part to endpoints;
// and later than twice that time, at most half of the sound requests may be refused.
func TestCrashingPartStops(t *testing.T) {
	var all partCounts
	crashes, worstCrashes, worstLate, worstRefused := 0, 0, 0, 0.0
	var known, lastKnown time.Duration
	seeds := max(*fleetSeeds/10, 1)
	instances := 0
	for seed := range seeds {
		f, counts := runPartFleet(seed)
		delay := stableTime
		if f.accepts {
			delay = listingDelay + listingSlack // the list alone shows that an endpoint has ended
		}
		late := f.countLateSends(partCrashesBeforeBound, delay)
		if late > maxLateSends {
			t.Errorf("seed %d: %d sends later than %s after crash %d, at most %d allowed; %d crashes in all", seed, late, delay, partCrashesBeforeBound, maxLateSends, len(f.crashes))
		}
		refused := float64(counts.refused) / float64(max(counts.sent, 1))
		if refused > 0.5 {
			t.Errorf("seed %d: %d of %d sound requests refused", seed, counts.refused, counts.sent)
		}
		crashes += len(f.crashes)
		worstCrashes, worstLate, worstRefused = max(worstCrashes, len(f.crashes)), max(worstLate, late), max(worstRefused, refused)
		all.sent, all.refused = all.sent+counts.sent, all.refused+counts.refused
		if f.accepts || len(f.crashes) < partCrashesBeforeBound {
			continue
		}
		for _, at := range f.knownAt {
			d := max(at.Sub(f.crashes[partCrashesBeforeBound-1]), 0)
			known, lastKnown, instances = known+d, max(lastKnown, d), instances+1
		}
	}
	t.Logf("%d fleets: %.2f crashes by the part on average, %d at most, %d late sends at most; sound tries after the verdict: %d sent, %d refused as quarantined, %.3f at most of a fleet",
		seeds, float64(crashes)/float64(seeds), worstCrashes, worstLate, all.sent, all.refused, worstRefused)
	t.Logf("from the fifth crash until an instance refuses requests with the part, where addresses without a process refuse connections: %s on average, %s at most, of %d instances",
		known/time.Duration(max(instances, 1)), lastKnown, instances)
}

// TestSoundPartsAreServed simulates fleets without a crashing part whose endpoints end for other
// reasons. At most half of the sound requests may be refused, and none where endpoints are only
// replaced as planned and all instances learn of it before.
func TestSoundPartsAreServed(t *testing.T) {
	for _, test := range []struct {
		name     string
		schedule func(f *fleet)
		limit    float64 // share of refused requests
	}{
		{"crashes", func(f *fleet) {
			f.scheduleFaults()
			f.scheduleCrashes(12)
		}, 0.5},
		{"replacements", func(f *fleet) { f.scheduleReplacements(30) }, 0},
		{"cuts", func(f *fleet) {
			f.scheduleFaults()
			f.scheduleCuts(30)
		}, 0.5},
		{"answers without a length", func(f *fleet) {
			f.looksComplete = true
			f.scheduleFaults()
			f.scheduleCrashes(12)
		}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			all := partCounts{counted: func(*fleet) bool { return true }}
			for seed := range max(*fleetSeeds/60, 1) {
				f, counts := newFleet(seed), all
				f.scheduleSoundTraffic(&counts)
				test.schedule(f)
				f.run(partFleetTime + 10*time.Second)
				if refused := counts.refused - all.refused; float64(refused) > test.limit*float64(counts.sent-all.sent) {
					t.Errorf("seed %d: %d of %d sound requests refused", seed, refused, counts.sent-all.sent)
				}
				all = counts
			}
			t.Logf("%d tries, %d refused as quarantined", all.sent, all.refused)
		})
	}
}

// runPartFleet simulates a fleet with the crashing part.
func runPartFleet(seed uint64) (*fleet, *partCounts) {
	f := newFleet(seed)
	f.crashTime, f.looksComplete = f.crashTime/2, f.rand.IntN(3) == 0
	counts := &partCounts{counted: (*fleet).isAfterVerdict}
	f.scheduleCrashingTraffic(earliestCrashes + f.random(8000))
	f.scheduleSoundTraffic(counts)
	f.scheduleFaults()
	f.scheduleCrashes(f.rand.IntN(4))
	f.scheduleReplacements(f.rand.IntN(8))
	f.scheduleCuts(f.rand.IntN(4))
	f.run(partFleetTime + 10*time.Second)
	return f, counts
}

// smallFleet is the number of endpoints of a small service.
const smallFleet = 3

// TestSoundRequestsOfSmallServiceAreServed sends requests with the crashing part to undisturbed
// fleets with few endpoints, from the first second on, before any part was answered. All requests
// share two parts. As in TestCrashingPartStops, at most half of the sound requests may be refused
// later.
func TestSoundRequestsOfSmallServiceAreServed(t *testing.T) {
	var all partCounts
	for seed := range max(*fleetSeeds/10, 1) {
		f := newFleetOf(seed, smallFleet)
		f.crashTime, f.accepts = f.crashTime/2, false
		f.commonParts = append(f.commonParts, quarantiner.Part{Fingerprint: secondPart, ID: "second"})
		counts := &partCounts{counted: (*fleet).isAfterVerdict}
		f.scheduleCrashingTraffic(f.random(800))
		f.scheduleSoundTraffic(counts)
		f.run(partFleetTime + 10*time.Second)
		if 2*counts.refused > counts.sent {
			t.Errorf("seed %d: %d of %d sound requests refused", seed, counts.refused, counts.sent)
		}
		if late := f.countLateSends(partCrashesBeforeBound, stableTime); late > maxLateSends {
			t.Errorf("seed %d: %d sends later than %s after crash %d, at most %d allowed", seed, late, stableTime, partCrashesBeforeBound, maxLateSends)
		}
		all.sent, all.refused = all.sent+counts.sent, all.refused+counts.refused
	}
	t.Logf("sound tries after the verdict: %d sent, %d refused as quarantined", all.sent, all.refused)
}

// scheduleCrashingTraffic schedules requests with the crashing part from a time on.
func (f *fleet) scheduleCrashingTraffic(from time.Duration) {
	fp := identifier.Fingerprint(1000000)
	interval := 50 + f.rand.IntN(500)
	for at := from; at < partFleetTime; at += f.random(interval) {
		fp++
		r := simRequest{fingerprint: fp, crashes: true, onEnd: func(scheduler.Outcome) {}}
		r.parts = append(f.promptParts(), quarantiner.Part{Fingerprint: crashingPart, ID: "bad"})
		f.after(at, func() { f.send(f.instances[f.rand.IntN(fleetInstances)], r) })
	}
}

// scheduleSoundTraffic schedules sound requests from the start.
func (f *fleet) scheduleSoundTraffic(counts *partCounts) {
	fp := identifier.Fingerprint(1000)
	for at := time.Duration(0); at < partFleetTime; at += soundInterval {
		fp++
		f.scheduleSound(at, simRequest{fingerprint: fp, parts: f.promptParts(), processes: map[identifier.Process]bool{}}, counts)
	}
}

// scheduleSound schedules a sound request, whose caller tries it three times at most.
func (f *fleet) scheduleSound(at time.Duration, r simRequest, counts *partCounts) {
	tries := 0
	var try func()
	r.onEnd = func(o scheduler.Outcome) {
		if n, ok := o.(scheduler.NotRun); ok && n.Reason == scheduler.ReasonQuarantined && counts.counted(f) {
			counts.refused++
		}
		if _, ok := o.(scheduler.Delivered); !ok && tries < 3 {
			f.after(f.random(1500), try)
		}
	}
	try = func() {
		tries++
		if counts.counted(f) {
			counts.sent++
		}
		f.send(f.instances[f.rand.IntN(fleetInstances)], r)
	}
	f.after(at, try)
}

// isAfterVerdict reports whether sound requests must be served as before the crashes: later than
// 2 * stableTime after the fifth crash, or the last if there are fewer.
func (f *fleet) isAfterVerdict() bool {
	n := min(len(f.crashes), partCrashesBeforeBound)
	return n > 0 && f.now.Sub(f.crashes[n-1]) >= 2*stableTime
}

// promptParts returns the parts that all requests share and one or two documents. Low numbers are more frequent.
func (f *fleet) promptParts() []quarantiner.Part {
	out := slices.Clone(f.commonParts)
	for range 1 + f.rand.IntN(2) {
		n := f.rand.IntN(1 + f.rand.IntN(documentCount))
		out = append(out, quarantiner.Part{Fingerprint: documentParts + identifier.Fingerprint(n), ID: identifier.Part(fmt.Sprintf("d%d", n))})
	}
	return out
}

// scheduleCrashes schedules n crashes of several endpoints at once that have nothing to do with requests.
func (f *fleet) scheduleCrashes(n int) {
	for range n {
		f.after(f.random(int(partFleetTime.Milliseconds())), func() {
			for range 1 + f.rand.IntN(fleetEndpoints/2) {
				if e := f.randomEndpoint(); e.up {
					f.crash(e)
				}
			}
		})
	}
}

// scheduleReplacements schedules n planned replacements of endpoints.
func (f *fleet) scheduleReplacements(n int) {
	for range n {
		f.after(f.random(int(partFleetTime.Milliseconds())), func() { f.replace(f.randomEndpoint()) })
	}
}

// scheduleCuts schedules n cuts of endpoints.
func (f *fleet) scheduleCuts(n int) {
	for range n {
		f.after(f.random(int(partFleetTime.Milliseconds())), func() { f.cutOff(f.randomEndpoint()) })
	}
}

func (f *fleet) randomEndpoint() *simEndpoint {
	return f.endpoints[identifier.Endpoint(fmt.Sprintf("e%02d", f.rand.IntN(fleetEndpoints)))]
}

// replace lists an endpoint as draining and ends its process a short time later, without regard to
// its requests.
func (f *fleet) replace(e *simEndpoint) {
	start := e.start
	if !e.up {
		return
	}
	f.list(func(entries []endpointlister.Endpoint) []endpointlister.Endpoint {
		for n := range entries {
			entries[n].Draining = entries[n].Draining || entries[n].ID == e.id
		}
		return entries
	})
	f.after(time.Second, func() {
		if e.up && e.start == start {
			f.crash(e)
		}
	})
}

// cutOff breaks the connections of an endpoint, whose address then refuses connections for a
// time although its process lives.
func (f *fleet) cutOff(e *simEndpoint) {
	if !e.up {
		return
	}
	start, runs := e.start, e.runs
	f.crash(e)
	f.after(f.random(900), func() {
		if !e.up && e.start == start {
			e.up, e.runs = true, runs
			clear(e.runs)
		}
	})
}
