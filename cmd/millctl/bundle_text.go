package main

import (
	"fmt"
	"time"

	"amaranthmill/administrator"
	"amaranthmill/bundler"
	"amaranthmill/internal/identifier"
)

// difference is the JSON form of a comparison of two bundles.
type difference struct {
	From    identifier.BundleVersion `json:"from"`
	To      identifier.BundleVersion `json:"to"`
	Changes []string                 `json:"changes"`
}

func (a *app) printDiff(from, to *bundler.Bundle, lines []string) {
	a.printf("from version %d to version %d by %s\n", from.Version, to.Version, to.Author)
	if len(lines) == 0 {
		a.printf("  nothing changes\n")
	}
	for _, line := range lines {
		a.printf("  %s\n", line)
	}
}

func (a *app) printBundles(l administrator.BundleList) {
	var rows []string
	for _, v := range l.Accepted {
		state := "accepted"
		if v.Version == l.InForce {
			state = "in force"
		}
		rows = append(rows, fmt.Sprintf("%d\t%d\t%s\t%s\t%s\t%s", v.Version, v.Previous, state, v.Signer, v.At.Format(time.RFC3339), v.Note))
	}
	for _, p := range l.Proposals {
		rows = append(rows, fmt.Sprintf("%d\t%d\tproposed\t%s\t\t%s", p.Version, p.Previous, p.Author, p.Note))
	}
	a.table("VERSION\tPREVIOUS\tSTATE\tBY\tAT\tNOTE", rows)
}

func (a *app) printRollout(r administrator.Rollout) {
	a.printf("version %d is in force on the instance asked; %d of %d instances are behind\n", r.InForce, r.Behind, len(r.Instances))
	a.printInstances(r.Instances)
}

func (a *app) printInstances(instances []administrator.InstanceStatus) {
	var rows []string
	for _, i := range instances {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%s", i.Instance, i.FailureDomain, i.Address, i.BundleVersion, stateOf(i), i.Age))
	}
	a.table("INSTANCE\tFAILURE DOMAIN\tADDRESS\tVERSION\tSTATE\tAGE", rows)
}

func stateOf(i administrator.InstanceStatus) string {
	switch {
	case !i.Reachable:
		return "unreachable"
	case i.Leaving:
		return "leaving"
	}
	return "live"
}
