package runner

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/grouper"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// fleet provides the administration API with the state of instances, endpoints and groups as
// this instance observes it.
type fleet struct {
	instance *instance

	mu      sync.Mutex
	targets []router.Target
	reports []grouper.Report
	records []grouper.Record
}

func (f *fleet) setTargets(t []router.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = t
}

// lastTargets returns the most recently set targets of the local failure domain.
func (f *fleet) lastTargets() []router.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets
}

func (f *fleet) setReports(r []grouper.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = r
}

func (f *fleet) setRecords(r []grouper.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = r
}

// Instances returns the status of this instance and of its peers.
func (f *fleet) Instances(context.Context) ([]administrator.InstanceStatus, error) {
	s := f.instance.settings
	version, _ := f.instance.bundles.EncodedDocument()
	out := []administrator.InstanceStatus{{
		Instance: s.Instance, FailureDomain: s.FailureDomain, Address: s.Listen.Peers, BundleVersion: version, Reachable: true,
	}}
	for _, p := range f.instance.linker.Peers() {
		st := administrator.InstanceStatus{
			Instance: p.Instance, FailureDomain: p.FailureDomain, Address: p.Address,
			BundleVersion: p.BundleVersion, Reachable: p.Reachable, Leaving: p.Leaving,
		}
		if !p.LastHeartbeat.IsZero() {
			st.Age = formatter.Duration(time.Since(p.LastHeartbeat).Round(time.Millisecond))
		}
		out = append(out, st)
	}
	return out, nil
}

// Endpoints returns the engines and plain services of the platform's list, together with the
// results of the probes in the local failure domain.
func (f *fleet) Endpoints(context.Context) ([]administrator.EndpointStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []administrator.EndpointStatus
	for _, l := range f.instance.directory.lastListings() {
		if l.Kind == storeclient.KindEntry {
			continue
		}
		st := administrator.EndpointStatus{
			Endpoint: identifier.Endpoint(l.Name), Kind: string(l.Kind), Service: l.Service, FailureDomain: l.FailureDomain,
			FabricDomain: l.FabricDomain, Address: l.Address, State: string(l.State), Accelerators: l.Accelerators,
		}
		f.addReport(&st)
		out = append(out, st)
	}
	return out, nil
}

func (f *fleet) addReport(st *administrator.EndpointStatus) {
	for i := range f.reports {
		r := &f.reports[i]
		if r.Endpoint != st.Endpoint {
			continue
		}
		st.Group, st.InFlight = r.Group, r.InFlight
		if !r.Fresh {
			st.State = "unreachable"
		}
	}
}

// Groups returns the replica groups of all failure domains as stored at the platform. While
// the platform is unreachable, it returns those of the local failure domain.
func (f *fleet) Groups(ctx context.Context) ([]administrator.GroupStatus, error) {
	records := f.readRecords(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	if records == nil {
		records = f.records
	}
	var out []administrator.GroupStatus
	for i := range records {
		for j := range records[i].Groups {
			out = append(out, f.groupStatus(&records[i], &records[i].Groups[j]))
		}
	}
	return out, nil
}

// readRecords returns the group records stored at the platform, or nil if the platform is
// unreachable. It skips values that are not records.
func (f *fleet) readRecords(ctx context.Context) []grouper.Record {
	entries, err := f.instance.platform.List(ctx, "groups/")
	if err != nil {
		return nil
	}
	out := make([]grouper.Record, 0, len(entries))
	for _, e := range entries {
		var r grouper.Record
		if json.Unmarshal(e.Value, &r) == nil {
			out = append(out, r)
		}
	}
	return out
}

func (f *fleet) groupStatus(r *grouper.Record, a *grouper.Assignment) administrator.GroupStatus {
	st := administrator.GroupStatus{
		Group: a.Group, Pool: a.Pool, FailureDomain: r.FailureDomain, FabricDomain: r.FabricDomain,
		Epoch: a.Epoch, BundleVersion: a.BundleVersion,
	}
	for _, m := range a.Members {
		st.Members = append(st.Members, m.Endpoint)
	}
	if r.FailureDomain != f.instance.settings.FailureDomain {
		st.Remote = true
		return st
	}
	i := slices.IndexFunc(f.targets, func(t router.Target) bool { return t.ID == string(a.Group) })
	if i >= 0 && f.targets[i].Ready {
		st.Ready, st.Epoch = true, f.targets[i].Epoch
		return st
	}
	st.Reason = f.notServingReason(a)
	return st
}

// notServingReason returns why a group is not a ready target: the members that don't serve it,
// or, if all members do, that it is draining or leaving.
func (f *fleet) notServingReason(a *grouper.Assignment) string {
	reason := ""
	for _, m := range a.Members {
		i := slices.IndexFunc(f.reports, func(r grouper.Report) bool { return r.Endpoint == m.Endpoint })
		if i < 0 || !f.reports[i].Serves(a, m) {
			reason += " " + string(m.Endpoint)
		}
	}
	if reason == "" {
		return "draining or leaving"
	}
	return "not serving:" + reason
}
