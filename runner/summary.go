package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// summaryInterval is the time between two load summaries to other failure domains.
const summaryInterval = time.Second

// summarize returns the total and the free capacity of the ready targets, by pool. Other
// failure domains use it to decide which requests to forward to the domain.
func summarize(domain identifier.FailureDomain, targets []router.Target) linker.LoadSummary {
	loads := map[identifier.Pool]*linker.ServiceLoad{}
	for i := range targets {
		t := &targets[i]
		if loads[t.Pool] == nil {
			loads[t.Pool] = &linker.ServiceLoad{Pool: t.Pool}
		}
		if !t.Ready || t.Leaving {
			continue
		}
		loads[t.Pool].Capacity += t.Capacity
		loads[t.Pool].Free += max(0, t.Capacity-t.InFlight-t.Queued)
	}
	out := linker.LoadSummary{FailureDomain: domain}
	for _, l := range loads {
		out.Services = append(out.Services, *l)
	}
	slices.SortFunc(out.Services, func(a, b linker.ServiceLoad) int { return cmp.Compare(a.Pool, b.Pool) })
	return out
}

// sendSummaries sends the load summary of the local failure domain to peers until ctx is done.
func (i *instance) sendSummaries(ctx context.Context) error {
	return runEvery(ctx, summaryInterval, func(context.Context) {
		i.linker.Broadcast(summarize(i.settings.FailureDomain, i.fleet.lastTargets()))
	})
}
