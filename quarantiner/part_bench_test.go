package quarantiner_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/quarantiner"
)

// benchParts returns the parts of the n-th request of a benchmark, of total parts in all.
func benchParts(n, total int) []quarantiner.Part {
	var out []quarantiner.Part
	for i := range 4 {
		id := (n*4 + i) % total
		out = append(out, quarantiner.Part{Fingerprint: identifier.Fingerprint(id + 1), ID: identifier.Part(fmt.Sprintf("%08x", id))})
	}
	return out
}

// BenchmarkAnsweredParts measures what the core costs a request with four parts that is answered, by the
// number of parts, with the ticks at 300 requests a second, and reports the memory that the core then holds.
func BenchmarkAnsweredParts(b *testing.B) {
	for _, total := range []int{100, 100000} {
		b.Run(fmt.Sprintf("parts=%d", total), func(b *testing.B) {
			const requests = 100000
			const interval = time.Second / 300
			attempts := make([][]quarantiner.Part, requests)
			for i := range attempts {
				attempts[i] = benchParts(i, total)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			q, processes := newBenchCore(1200)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := scripter.Start.Add(time.Duration(i) * interval)
				q.Step(now, quarantiner.AttemptEnded{
					Fingerprint: identifier.Fingerprint(1<<50 + i), Parts: attempts[i%requests], Process: processes[i%1200], Result: quarantiner.ResultAnswered,
				})
				if i%75 == 0 {
					q.Step(now, quarantiner.Ticked{})
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
			runtime.KeepAlive(q)
			runtime.KeepAlive(attempts)
		})
	}
}

// BenchmarkPartLoss measures a peer's report that quarantines a part and its answer that clears it, by the number of suspects.
func BenchmarkPartLoss(b *testing.B) {
	for _, n := range []int{100, 4095} {
		b.Run(fmt.Sprintf("suspects=%d", n), func(b *testing.B) {
			q, _ := newBenchCore(1200)
			for i := range n {
				q.Step(scripter.Start, quarantiner.ReportReceived{Report: quarantiner.Report{
					Fingerprint: identifier.Fingerprint(i + 1), Kind: quarantiner.KindPart, Losses: benchLosses(i%3 + 1),
				}})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				fp := identifier.Fingerprint(1<<40 + i) // a part that was cleared is not suspected again at once
				q.Step(scripter.Start, quarantiner.ReportReceived{Report: quarantiner.Report{Fingerprint: fp, Kind: quarantiner.KindPart, Losses: benchLosses(5)}})
				q.Step(scripter.Start, quarantiner.ReportReceived{Report: quarantiner.Report{Fingerprint: fp, Kind: quarantiner.KindPart, Cleared: true}})
			}
		})
	}
}

// benchLosses returns the first n of a list of processes.
func benchLosses(n int) []identifier.Process {
	var out []identifier.Process
	for i := range n {
		out = append(out, identifier.Process{Endpoint: identifier.Endpoint(fmt.Sprintf("gone-%d", i)), Start: 1})
	}
	return out
}

// BenchmarkPartReport measures a peer's report of losses that are known, by the number of answers without proof.
func BenchmarkPartReport(b *testing.B) {
	for _, answers := range []int{0, 16384} {
		b.Run(fmt.Sprintf("answers=%d", answers), func(b *testing.B) {
			q, processes := newBenchCore(1200)
			for i := range answers {
				q.Step(scripter.Start, quarantiner.AttemptEnded{
					Fingerprint: identifier.Fingerprint(1<<50 + i), Parts: benchParts(i, 4*answers), Process: processes[i%1200], Result: quarantiner.ResultAnswered,
				})
			}
			r := quarantiner.ReportReceived{Report: quarantiner.Report{Fingerprint: 1 << 40, Kind: quarantiner.KindPart, Losses: benchLosses(5)}}
			q.Step(scripter.Start, r)
			b.ReportAllocs()
			for b.Loop() {
				q.Step(scripter.Start, r)
			}
		})
	}
}
