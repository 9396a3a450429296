package prober_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/prober"
	"amaranthmill/storeclient"
)

// BenchmarkSecond runs the core for one second in which this instance alone probes all endpoints: a
// tick every 100 ms, two probes per endpoint, and groups of four members.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{20, 60, 120} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			core := prober.NewCore(prober.Config{Instance: "a", FailureDomain: "alpine"})
			var listings []storeclient.Listing
			var rec grouper.Record
			for i := range n {
				name := fmt.Sprintf("e%03d", i)
				listings = append(listings, storeclient.Listing{Name: name, Kind: storeclient.KindEngine, FailureDomain: "alpine", State: storeclient.StateLive})
				if i%4 == 0 {
					rec.Groups = append(rec.Groups, grouper.Assignment{Group: identifier.Group(name), Epoch: 64})
				}
				g := &rec.Groups[i/4]
				g.Members = append(g.Members, grouper.Member{Endpoint: identifier.Endpoint(name), ProcessStart: 1})
			}
			now := scripter.Start
			core.Step(now, prober.Listed{Listings: listings})
			core.Step(now, prober.RecordsSet{Records: []grouper.Record{rec}})
			b.ReportAllocs()
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, a := range core.Step(now, prober.Tick{}) {
						if p, ok := a.(prober.Probe); ok {
							core.Step(now, prober.Probed{Endpoint: p.Endpoint, Status: prober.Status{ProcessStart: 1, Epoch: 64}, SentAt: now})
						}
					}
				}
			}
		})
	}
}
