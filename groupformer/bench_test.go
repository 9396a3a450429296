package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/groupformer"
)

// BenchmarkSecond measures one second of the Former at the instance that forms groups, with
// all groups complete.
func BenchmarkSecond(b *testing.B) {
	for _, perDomain := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("engines=%d", 6*perDomain), func(b *testing.B) {
			f := newFleet(1, 3, 2, perDomain)
			f.run(8 * time.Second)
			f.startRequests()
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					f.now = f.now.Add(100 * time.Millisecond)
					f.core.Step(f.now, groupformer.Ticked{})
				}
			}
		})
	}
}

// BenchmarkStart measures the Former's part of forming all groups of a fleet from engines without
// weights, at an instance that is not delayed by it.
func BenchmarkStart(b *testing.B) {
	for _, perDomain := range []int{4, 16, 32} {
		b.Run(fmt.Sprintf("engines=%d", 24*perDomain), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f := newFleetWithProfile(&wideProfile, 1, 4, 6, perDomain)
				f.run(8 * time.Second)
				if got := f.countServing(); got["large"]+got["small"] == 0 {
					b.Fatal("no group serves")
				}
			}
		})
	}
}
