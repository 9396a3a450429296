package quarantiner_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
)

// BenchmarkAnswered measures what the core costs a request that is answered, by the number of
// endpoints. All but the event of the attempt's end is bookkeeping of the benchmark.
func BenchmarkAnswered(b *testing.B) {
	for _, n := range []int{60, 1200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			q, processes := newBenchCore(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				fp := identifier.Fingerprint(i + 1)
				q.Step(scripter.Start, quarantiner.AttemptStarted{Fingerprint: fp})
				q.Step(scripter.Start, quarantiner.AttemptEnded{Fingerprint: fp, Process: processes[i%n], Result: quarantiner.ResultAnswered})
			}
		})
	}
}

// BenchmarkTick measures a tick while requests are suspected, by their number.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{17, 765, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			q, _ := newBenchCore(1200)
			for i := range n {
				q.Step(scripter.Start, quarantiner.ReportReceived{Report: quarantiner.Report{
					Fingerprint: identifier.Fingerprint(i + 1), Losses: []identifier.Process{{Endpoint: "gone", Start: 1}},
				}})
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Step(scripter.Start.Add(time.Second), quarantiner.Ticked{})
			}
		})
	}
}

// newBenchCore returns a core with n listed endpoints, and their processes.
func newBenchCore(n int) (*quarantiner.Quarantiner, []identifier.Process) {
	q := quarantiner.New(quarantiner.Config{})
	var endpoints []endpointlister.Endpoint
	var processes []identifier.Process
	for i := range n {
		id := identifier.Endpoint(fmt.Sprintf("e%04d", i))
		endpoints = append(endpoints, endpointlister.Endpoint{ID: id, ProcessStart: 1, Address: netip.MustParseAddrPort("10.1.0.7:9000")})
		processes = append(processes, identifier.Process{Endpoint: id, Start: 1})
	}
	q.Step(scripter.Start, quarantiner.EndpointsChanged{Complete: true, Changed: slices.Clone(endpoints)})
	return q, processes
}

// BenchmarkFullMemory reports the memory of a core that holds as much as its limits allow.
func BenchmarkFullMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		q, processes := newBenchCore(1200)
		for i := range 20000 {
			now := scripter.Start.Add(time.Duration(i) * time.Microsecond)
			fp := identifier.Fingerprint(i + 1)
			q.Step(now, quarantiner.AttemptEnded{Fingerprint: fp, Process: processes[i%1200], Result: quarantiner.ResultUnanswered})
			q.Step(now, quarantiner.AttemptEnded{Fingerprint: fp + 1<<20, Process: processes[0], Result: quarantiner.ResultAnswered})
			q.Step(now, quarantiner.ReportReceived{Report: quarantiner.Report{
				Fingerprint: fp + 1<<30, Losses: []identifier.Process{{Endpoint: "gone-1", Start: 1}, {Endpoint: "gone-2", Start: 1}},
			}})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
		runtime.KeepAlive(q)
	}
}
