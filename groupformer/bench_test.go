package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/groupformer"
	"amaranthmill/internal/identifier"
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

// BenchmarkSecondWithDemand measures one second of the Former at the instance that forms groups, with all groups complete and
// reports of the given number of instances.
func BenchmarkSecondWithDemand(b *testing.B) {
	for _, size := range []struct{ perDomain, instances int }{{19, 31}, {19, 106}, {133, 370}} {
		b.Run(fmt.Sprintf("engines=%d/instances=%d", 9*size.perDomain, size.instances), func(b *testing.B) {
			f := newFleetWithProfile(&demandProfile, 1, 3, 3, size.perDomain)
			f.run(15 * time.Second)
			f.startRequests()
			reports := 0
			report := func() {
				reports++
				f.core.Step(f.now, groupformer.DemandReported{
					Instance: identifier.Instance(fmt.Sprint(reports % size.instances)), FailureDomain: "z0", Elapsed: 2 * time.Second, Instances: size.instances,
					Models: []groupformer.ModelDemand{{Service: "guides", Model: "m0", Requests: 4}, {Service: "guides", Model: "m1", Requests: 4}},
				})
			}
			for range 2 * size.instances {
				report()
			}
			f.run(10 * time.Second)
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					for range min(size.instances/2, 36) / 10 { // see scheduler.DemandReport
						report()
					}
					f.now = f.now.Add(100 * time.Millisecond)
					f.core.Step(f.now, groupformer.Ticked{})
				}
			}
		})
	}
}
