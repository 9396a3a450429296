package quarantiner_test

import (
	"fmt"
	"net/netip"
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
					Fingerprint: identifier.Fingerprint(i + 1), Losses: []quarantiner.Process{{Endpoint: "gone", Start: 1}},
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
func newBenchCore(n int) (*quarantiner.Quarantiner, []quarantiner.Process) {
	q := quarantiner.New(quarantiner.Config{})
	var endpoints []endpointlister.Endpoint
	var processes []quarantiner.Process
	for i := range n {
		id := identifier.Endpoint(fmt.Sprintf("e%04d", i))
		endpoints = append(endpoints, endpointlister.Endpoint{ID: id, ProcessStart: 1, Address: netip.MustParseAddrPort("10.1.0.7:9000")})
		processes = append(processes, quarantiner.Process{Endpoint: id, Start: 1})
	}
	q.Step(scripter.Start, quarantiner.EndpointsSet{Endpoints: slices.Clone(endpoints)})
	return q, processes
}
