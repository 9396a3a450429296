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

// summaryEvery is the time between two load summaries to other failure domains.
const summaryEvery = time.Second

// summarize returns what the targets of the own failure domain can take from others.
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

// shareSummaries sends the load summary to peers until ctx ends.
func (i *instance) shareSummaries(ctx context.Context) error {
	return every(ctx, summaryEvery, func(context.Context) {
		i.linker.Broadcast(summarize(i.settings.FailureDomain, i.fleet.lastTargets()))
	})
}
