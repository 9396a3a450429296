package groupformer

import (
	"math"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Parameters of the decision to allocate engines by demand.
const (
	allocateInterval = 500 * time.Millisecond // between two looks at the demand of a service
	firstGain        = 0.05                   // gain of coverage from which shares change within refineTime, in which they rest on a few seconds of reports
	heldGain         = 0.03                   // gain from which a new holder of the lease leaves the groups that it finds
	changeGain       = 0.25                   // the same later, unless a model lacks groups for its present work that another one can spare; demand that varies by a fifth changes the coverage by less
	unevenGain       = 0.01                   // while a model's load exceeds planLoad and another one can spare a group; in a large fleet a group gains less than firstGain
	refineTime       = 15 * time.Second       // since the demand was first known
	gainLasts        = 4 * time.Second        // for which the gain of a change must last: two reports of each instance; within refineTime, one
	shareLogged      = 0.1                    // change of a share from which it is logged
	successorWait    = 6 * time.Second        // for which a new holder of the lease moves no group to another model
)

// successorLimit bounds the time for which a new holder of the lease moves no group to another model while it has reports but not yet
// those of all instances, which take 10 s in a fleet of 370.
const successorLimit = successorWait + maxFirstInterval + allocateInterval

// allocation is the number of groups of each model of a service that demand asks for. The zero value means that the
// operator's shares apply.
type allocation struct {
	groups      map[string]int // nil while the operator's shares apply
	live        int            // live engines when groups were counted
	capacity    int            // of these, the engines that groups within a fabric domain can use
	needs       []need         // the latest estimate, in the order of the profile's models; nil if too little is known
	since       time.Time      // when the demand was first known; zero before
	isCorrected bool           // a model clearly misses its goals more often than another
	gainSince   time.Time      // since when a change would gain enough; zero while it would not
	lookedAt    time.Time
}

// isActive reports whether demand has replaced the operator's shares.
func (a *allocation) isActive() bool { return a != nil && a.groups != nil }

// share returns the part of the engines that a model should have.
func (a *allocation) share(profile *resolver.EngineProfile, m resolver.Model) float64 {
	total := 0
	for _, o := range profile.Models {
		total += a.groups[o.Name] * o.GroupSize
	}
	return float64(a.groups[m.Name]*m.GroupSize) / float64(max(total, 1))
}

// needOf returns the need of a model, or false if it is not known.
func (a *allocation) needOf(model string) (need, bool) {
	for _, n := range a.needs {
		if n.model.Name == model {
			return n, true
		}
	}
	return need{}, false
}

// fleetCapacity is what the engines of a service can be used for.
type fleetCapacity struct {
	live        int // engines that are neither dead nor draining
	usable      int // of these, the engines that groups within a fabric domain can use
	largestPart float64
}

// capacityOf sums the engines of a service over its failure domains. It is the only place that does so for demand.
// A failure domain whose capacity counts as absent is left out.
func (f *Former) capacityOf(service identifier.Service, domains []*domain) fleetCapacity {
	var c fleetCapacity
	byDomain := map[identifier.FailureDomain]int{}
	largest := 0
	for _, d := range domains {
		if d.service != service || f.evacuated[d.failureDomain] {
			continue
		}
		smallest := d.profile.Models[0].GroupSize
		for _, m := range d.profile.Models {
			smallest = min(smallest, m.GroupSize)
		}
		live := d.countLive()
		usable := live - live%max(smallest, 1)
		c.live += live
		c.usable += usable
		byDomain[d.failureDomain] += usable
		largest = max(largest, byDomain[d.failureDomain])
	}
	c.largestPart = float64(largest) / float64(max(c.usable, 1))
	return c
}

// updateAllocations looks at the demand of each service whose demand can be estimated.
func (f *Former) updateAllocations(now time.Time, domains []*domain) {
	done := map[identifier.Service]bool{}
	for _, d := range domains {
		if done[d.service] || !FollowsDemand(d.profile) {
			continue
		}
		done[d.service] = true
		a := f.allocations[d.service]
		if a == nil {
			a = &allocation{}
			f.allocations[d.service] = a
		}
		if now.Sub(a.lookedAt) >= allocateInterval {
			a.lookedAt = now
			f.updateAllocation(now, a, d.service, d.profile, f.capacityOf(d.service, domains))
		}
	}
}

// updateAllocation changes the allocation of a service if the demand asks for it.
func (f *Former) updateAllocation(now time.Time, a *allocation, service identifier.Service, profile *resolver.EngineProfile, c fleetCapacity) {
	a.needs = f.estimateNeeds(now, service, profile, c)
	a.isCorrected = f.isCorrected(service, profile)
	if a.needs == nil || c.usable == 0 {
		if a.isActive() && f.demandReports.isComplete(now) {
			f.setAllocation(now, a, service, profile, c, nil)
		}
		a.since, a.gainSince = time.Time{}, time.Time{}
		return
	}
	best := allocate(a.needs, c.usable)
	switch {
	case a.since.IsZero():
		a.since = now
		if lowestCoverage(a.needs, best)-lowestCoverage(a.needs, operatorGroups(profile, c.usable)) < firstGain {
			return
		}
		if held, ok := f.heldGroups(a.needs, service, best, c); ok {
			best = held
		}
	case !a.isActive():
		if !a.gains(now, best, operatorGroups(profile, c.usable)) {
			return
		}
	case c.usable < a.usedEngines(profile) || c.usable >= a.capacity+smallestGroup(profile):
		// engines were lost or came back, so that the groups must be counted again in any case
	default:
		a.capacity, a.live = c.usable, c.live
		if !a.gains(now, best, a.groups) {
			return
		}
	}
	f.setAllocation(now, a, service, profile, c, best)
}

// gains reports whether the gain of a change from current to best is large enough and has lasted. Where engines are scarce, the
// lowest coverage may stay below 0.6 whatever is changed, so that unevenGain suffices while a model lacks groups for its present work
// that another one can spare.
func (a *allocation) gains(now time.Time, best, current map[string]int) bool {
	limit, lasts := changeGain, gainLasts
	switch {
	case isPresentUneven(a.needs, current):
		limit = unevenGain
	case a.isCorrected:
		limit = firstGain
	}
	if now.Sub(a.since) < refineTime {
		limit, lasts = firstGain, minFirstInterval
	}
	if lowestCoverage(a.needs, best)-lowestCoverage(a.needs, current) < limit {
		a.gainSince = time.Time{}
		return false
	}
	if a.gainSince.IsZero() {
		a.gainSince = now
	}
	return now.Sub(a.gainSince) >= lasts
}

// isPresentUneven reports whether a model has fewer groups than its present work needs at planLoad, as in a jump without the
// full time of prefill, which some seconds of a jump would exceed, while another one could give a group and keep
// what its own needs. If all models lack groups, a change only shifts the lack.
func isPresentUneven(needs []need, groups map[string]int) bool {
	lacks, spares := false, false
	for _, n := range needs {
		lacks = lacks || float64(groups[n.model.Name]) < n.burst/jumpFactor*jumpLoad/planLoad
		spares = spares || float64(groups[n.model.Name]-1) >= n.present
	}
	return lacks && spares
}

// usedEngines returns the engines of the allocated groups.
func (a *allocation) usedEngines(profile *resolver.EngineProfile) int {
	n := 0
	for _, m := range profile.Models {
		n += a.groups[m.Name] * m.GroupSize
	}
	return n
}

func smallestGroup(profile *resolver.EngineProfile) int {
	n := profile.Models[0].GroupSize
	for _, m := range profile.Models {
		n = min(n, m.GroupSize)
	}
	return max(n, 1)
}

// estimateNeeds returns the needs of a service's models, or nil if too little is known.
func (f *Former) estimateNeeds(now time.Time, service identifier.Service, profile *resolver.EngineProfile, c fleetCapacity) []need {
	if !f.demandReports.isComplete(now) {
		return nil
	}
	var needs []need
	var arrived []arrivals
	known := 0.0
	for _, m := range profile.Models {
		a := f.demandReports.arrivals(now, poolKey{service, m.Name}, profile)
		known += a.known
		arrived = append(arrived, a)
		needs = append(needs, needOf(profile, m, a, c.largestPart, f.groupsOut(now, service, m.Name)))
	}
	if known < minKnownRequests {
		return nil
	}
	f.correctNeeds(service, profile, arrived, needs)
	return needs
}

// heldGroups returns the groups that serve or form now as an allocation, and whether they meet the needs about as well as the
// best one. A new holder of the lease keeps them, so that noise in its first reports moves no group.
func (f *Former) heldGroups(needs []need, service identifier.Service, best map[string]int, c fleetCapacity) (map[string]int, bool) {
	held, used := map[string]int{}, 0
	adopted := false
	for _, g := range f.groups {
		if g.service == service && g.phase != phaseDissolving && !f.spansFabricDomains(g) {
			held[g.model.Name]++
			used += g.model.GroupSize
			adopted = adopted || g.adopted
		}
	}
	if !adopted || used > c.usable || lowestCoverage(needs, best)-lowestCoverage(needs, held) >= heldGain {
		return nil, false
	}
	fillUp(needs, held, c.usable-used)
	return held, true
}

// operatorGroups returns the groups that the operator's shares of the engines would form.
func operatorGroups(profile *resolver.EngineProfile, engines int) map[string]int {
	total := 0.0
	for _, m := range profile.Models {
		total += m.Share
	}
	out := map[string]int{}
	for _, m := range profile.Models {
		out[m.Name] = int(math.Round(m.Share / max(total, 0.01) * float64(engines) / float64(m.GroupSize)))
	}
	return out
}

// lowestCoverage returns the mean of two coverages, each of the model whose need is met least: of the need for a jump, and of the
// need after the loss of a failure domain. What one model gains for a jump must outweigh what another loses for a loss.
func lowestCoverage(needs []need, groups map[string]int) float64 {
	burst, loss := 1.0, 1.0
	for _, n := range needs {
		g := float64(groups[n.model.Name])
		burst, loss = min(burst, coverage(g, n.burst)), min(loss, coverage(g, n.loss))
	}
	return (burst + loss) / 2
}

// coverage returns the part of a need that groups meet, at most 1.
func coverage(groups, need float64) float64 {
	if need <= 0 {
		return 1
	}
	return min(groups/need, 1)
}

// allocate returns the groups of each model that engines should form: first what the present work needs, then what a jump
// needs, then what the present work needs after the loss of a failure domain, and the rest in proportion to that. What is not sufficient
// for all models is shared in proportion to what they lack.
func allocate(needs []need, engines int) map[string]int {
	given := make([]float64, len(needs)) // engines
	left := float64(engines)
	for _, level := range []func(need) float64{
		func(n need) float64 { return n.present },
		func(n need) float64 { return n.burst },
		func(n need) float64 { return n.jump },
	} {
		lacks, total := make([]float64, len(needs)), 0.0
		for i, n := range needs {
			lacks[i] = max(level(n)*float64(n.model.GroupSize)-given[i], 0)
			total += lacks[i]
		}
		left -= share(given, lacks, min(total, left))
	}
	wants := make([]float64, len(needs))
	for i, n := range needs {
		wants[i] = n.jump * float64(n.model.GroupSize)
	}
	share(given, wants, left)
	groups, used := map[string]int{}, 0
	for i, n := range needs {
		groups[n.model.Name] = int(given[i]/float64(n.model.GroupSize) + 1e-9)
		used += groups[n.model.Name] * n.model.GroupSize
	}
	fillUp(needs, groups, engines-used)
	return groups
}

// share adds an amount to given in proportion to weights and returns the amount that was added.
func share(given, weights []float64, amount float64) float64 {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	if total <= 0 || amount <= 0 {
		return 0
	}
	for i, w := range weights {
		given[i] += amount * w / total
	}
	return amount
}

// fillUp adds groups that the engines left are sufficient for, each to the model whose need is met least. A model with a
// need and without a group gets its first from the model that is covered best, if that has enough of them.
func fillUp(needs []need, groups map[string]int, left int) {
	ratio := func(n need) float64 { return float64(groups[n.model.Name]) / n.jump }
	for _, n := range needs {
		if n.jump <= 0 || groups[n.model.Name] > 0 {
			continue
		}
		for left < n.model.GroupSize {
			donor := -1
			for i, o := range needs {
				if groups[o.model.Name] > 1 && (donor < 0 || ratio(o) > ratio(needs[donor])) {
					donor = i
				}
			}
			if donor < 0 {
				break
			}
			groups[needs[donor].model.Name]--
			left += needs[donor].model.GroupSize
		}
		if left >= n.model.GroupSize {
			groups[n.model.Name]++
			left -= n.model.GroupSize
		}
	}
	for {
		next := -1
		for i, n := range needs {
			if n.jump > 0 && n.model.GroupSize <= left && (next < 0 || ratio(n) < ratio(needs[next])) {
				next = i
			}
		}
		if next < 0 {
			return
		}
		groups[needs[next].model.Name]++
		left -= needs[next].model.GroupSize
	}
}

// setAllocation puts an allocation in force, or the operator's shares if groups is nil.
func (f *Former) setAllocation(now time.Time, a *allocation, service identifier.Service, profile *resolver.EngineProfile, c fleetCapacity, groups map[string]int) {
	before := map[string]float64{}
	for _, m := range profile.Models {
		before[m.Name] = f.currentShare(service, profile, m)
	}
	a.groups, a.live, a.capacity, a.gainSince = groups, c.live, c.usable, time.Time{}
	for _, m := range profile.Models {
		share := f.currentShare(service, profile, m)
		if math.Abs(share-before[m.Name]) <= shareLogged {
			continue
		}
		arrivals := f.demandReports.arrivals(now, poolKey{service, m.Name}, profile)
		n, _ := a.needOf(m.Name)
		f.emit(ShareChanged{
			Service: service, Model: m.Name, Before: before[m.Name], Share: share, Groups: groups[m.Name], Engines: c.usable, LargestPart: c.largestPart,
			RequestsPerSecond: arrivals.perSecond, PromptTokens: arrivals.promptTokens, AnswerTokens: arrivals.answerTokens,
			Present: n.present, Loss: n.loss, Jump: n.jump,
		})
	}
}
