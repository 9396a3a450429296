package grouper_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/modeler"
	"amaranthmill/internal/scripter"
)

// BenchmarkSecond measures one second of a core that holds every lease of its failure domain:
// four ticks and ten sets of reports, while all groups of four members are serving.
func BenchmarkSecond(b *testing.B) {
	for _, n := range []int{20, 60, 120} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			core := grouper.NewCore(grouper.Policy{FailureDomain: "alpine"})
			now := scripter.Start
			stored, reports := completeGroups(engines(n, 1, false))
			core.Step(now, grouper.BundleSet{Bundle: &bundler.Bundle{Version: 1, Pools: []bundler.Pool{{
				Name: "guides", GroupSize: 4, Groups: []bundler.Placement{{FailureDomain: "alpine", Count: n / 4}},
			}}}})
			core.Step(now, grouper.RecordsRead{Records: []grouper.StoredRecord{stored}})
			b.ReportAllocs()
			for b.Loop() {
				core.Step(now, grouper.LeaseChanged{FabricDomain: "fab0", Until: now.Add(10 * time.Second)})
				for i := range 10 {
					now = now.Add(100 * time.Millisecond)
					core.Step(now, grouper.ReportsReceived{Reports: reports})
					if i%3 == 0 && len(core.Step(now, grouper.Tick{})) > 0 {
						b.Fatal("the core acted on a failure domain without faults")
					}
				}
			}
		})
	}
}

// completeGroups returns a record that assigns all engines to groups of four, and the matching
// reports.
func completeGroups(es []*modeler.Engine) (grouper.StoredRecord, []grouper.Report) {
	s := grouper.StoredRecord{Revision: 1, Record: grouper.Record{FabricDomain: "fab0", FailureDomain: "alpine"}}
	var reports []grouper.Report
	for i, e := range es {
		if i%4 == 0 {
			s.Record.LastEpoch += grouper.EpochStep
			s.Record.Groups = append(s.Record.Groups, grouper.Assignment{
				Group: identifier.Group(fmt.Sprintf("g%03d", i)), Pool: "guides", Epoch: s.Record.LastEpoch, BundleVersion: 1,
			})
		}
		a := &s.Record.Groups[i/4]
		a.Members = append(a.Members, grouper.Member{Endpoint: e.Name, Address: e.Address, ProcessStart: 1})
		reports = append(reports, grouper.Report{
			Endpoint: e.Name, Address: e.Address, FabricDomain: "fab0", ProcessStart: 1, Group: a.Group, Epoch: a.Epoch,
			BundleVersion: 1, Loaded: true, Fresh: true,
		})
	}
	return s, reports
}
