package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// evacuatedText returns the evacuated domains that an instance knows, sorted.
func evacuatedText(e *messenger.Explanation) string {
	var names []string
	for _, d := range e.EvacuatedDomains {
		names = append(names, string(d))
	}
	slices.Sort(names)
	return listText(names)
}

// candidatesText returns the targets that an instance knows, sorted, and which of them leave. Other obstacles differ between
// instances that work well: each has its own share of a limit and its own requests.
func candidatesText(e *messenger.Explanation) string {
	var names []string
	for _, s := range e.Services {
		for _, c := range s.Candidates {
			name := string(s.Pool) + ":" + string(c.Endpoint)
			if c.Obstacle == scheduler.ObstacleLeaving {
				name += "(leaving)"
			}
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return listText(names)
}

func listText(names []string) string {
	if len(names) == 0 {
		return "(none)"
	}
	return strings.Join(names, " ")
}

func (a *app) printPlacements(r placementReport) {
	for _, v := range r.Instances {
		if v.Explanation == nil {
			a.printf("%s: %s\n\n", v.Address, v.Problem)
			continue
		}
		a.printPlacement(v.Address, v.Explanation)
	}
	for _, d := range r.Differences {
		a.printf("instances differ in: %s\n", d.Input)
		for _, address := range slices.Sorted(maps.Keys(d.Values)) {
			a.printf("  %s: %s\n", address, d.Values[address])
		}
	}
}

func (a *app) printPlacement(address string, e *messenger.Explanation) {
	a.printf("%s: instance %s in failure domain %s, configuration version %d, evacuated domains %s\n", address, e.Instance, e.FailureDomain, e.Version, evacuatedText(e))
	if r := e.Refusal; r != nil {
		a.printf("refused before it is scheduled: %s (status %d): %s\n\n", r.Reason, r.Status, r.Detail)
		return
	}
	account := string(e.Account)
	if account == "" {
		account = "(none)"
	}
	a.printf("route %s, account %s, priority %d\n", e.Route, account, e.Priority)
	for _, s := range e.Services {
		a.printf("pool %s, service %s, weight %d: %s\n", s.Pool, s.Service, s.Weight, decisionText(s.Decision))
		if s.Hint != "" {
			a.printf("%s; give another --model\n", s.Hint)
		}
		var rows []string
		for _, c := range s.Candidates {
			rows = append(rows, candidateRow(c))
		}
		a.table("  ENDPOINT\tDOMAIN\tSCORE\tLOAD\tLEARNED LIMIT\tREPORT AGE\tTAKES IT\tFOR AND AGAINST", rows)
	}
	a.printf("\n")
}

// decisionText says in words what the request would get.
func decisionText(d messenger.ExplainedDecision) string {
	switch {
	case d.Peer != "":
		return fmt.Sprintf("sent through peer %s", d.Peer)
	case d.Outcome == messenger.ExplainedSent:
		return fmt.Sprintf("sent to %s", d.Endpoint)
	case d.Outcome == messenger.ExplainedWaits:
		expected := "at an unknown time"
		if d.ExpectedIn != 0 {
			expected = "in " + d.ExpectedIn.String()
		}
		return fmt.Sprintf("waits (%s) at position %d, expected to be sent %s, given up after %s", d.Reason, d.Position, expected, d.GivenUpIn)
	}
	return fmt.Sprintf("refused (%s), retry after %s", d.Reason, d.RetryAfter)
}

func candidateRow(c messenger.ExplainedCandidate) string {
	takes, learned, age := "yes", "", ""
	if c.Obstacle != "" {
		takes = "no: " + string(c.Obstacle)
		if c.ObstacleEndsIn > 0 {
			takes += " for " + c.ObstacleEndsIn.String()
		}
	}
	if c.LearnedLimit > 0 {
		learned = fmt.Sprintf("%.2f", c.LearnedLimit)
	}
	if c.LoadReportAge != nil {
		age = c.LoadReportAge.String()
	}
	return fmt.Sprintf("  %s\t%s\t%.2f\t%.2f\t%s\t%s\t%s\t%s", c.Endpoint, c.FailureDomain, c.Score, c.Load, learned, age, takes, strings.Join(notesOf(c), ", "))
}

// notesOf returns what counts for and against a candidate.
func notesOf(c messenger.ExplainedCandidate) []string {
	var notes []string
	if c.PastLimit {
		notes = append(notes, "past its learned limit")
	}
	for _, name := range slices.Sorted(maps.Keys(c.Penalties)) {
		notes = append(notes, fmt.Sprintf("%s %+.2f", name, c.Penalties[name]))
	}
	if c.ColdFor > 0 {
		notes = append(notes, "cold for "+c.ColdFor.String())
	}
	if c.RateLimit > 0 {
		notes = append(notes, fmt.Sprintf("limit %g/s", c.RateLimit))
	}
	if c.StalledFor > 0 {
		notes = append(notes, "stalled for "+c.StalledFor.String())
	}
	return notes
}
