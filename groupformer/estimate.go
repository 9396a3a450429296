package groupformer

import (
	"maps"
	"math"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// Parameters of the estimate of demand.
const (
	demandMemory     = 15 * time.Second // covered time after which a report's weight has fallen to 1/e
	silentIntervals  = 3                // intervals without a report after which an instance's rates begin to fall
	demandForgotten  = time.Minute      // without a report, after which an instance is forgotten
	minKnownRequests = 50               // requests of a service below which the operator's shares apply; fewer say little about the shares
	priorRequests    = 8                // weight of the profile's mean tokens among those that were measured
	planLoad         = 0.7              // load at which requests meet their goals: at 0.8, a tenth of the requests waits twice as long as at 0.6
	jumpLoad         = 0.75             // load that may be reached in a jump
	prefillLoad      = 0.9              // part of the time that a group may spend on prefill, also in a jump; more makes prompts wait for one another
	errorMargin      = 0.5              // standard errors by which a rate counts higher than measured, because a group too few costs more than one too many
	jumpFactor       = 2.2              // of the requests of all models in a jump, which comes without notice
)

// workCounts holds decaying counts of the work for one model at one instance.
type workCounts struct {
	requests, prompts, promptTokens, answers, answerTokens, judged, missedGoal float64
}

// add lets the counts decay by a factor and adds those of a report, multiplied by weight.
func (c *workCounts) add(factor, weight float64, m ModelDemand) {
	c.requests = c.requests*factor + weight*float64(m.Requests)
	c.prompts = c.prompts*factor + weight*float64(m.Prompts)
	c.promptTokens = c.promptTokens*factor + weight*float64(m.PromptTokens)
	c.answers = c.answers*factor + weight*float64(m.Answers)
	c.answerTokens = c.answerTokens*factor + weight*float64(m.AnswerTokens)
	c.judged = c.judged*factor + weight*float64(m.Judged)
	c.missedGoal = c.missedGoal*factor + weight*float64(m.MissedGoal)
}

// instanceDemand is the work that arrives at one instance. Counts and the time that they cover decay together, so that the
// rates are right from the first report on, whatever the phases of the instances.
type instanceDemand struct {
	failureDomain identifier.FailureDomain
	reportedAt    time.Time
	elapsed       time.Duration // of the last report
	covered       float64       // seconds that the counts cover, decaying
	models        map[poolKey]*workCounts
}

// add adds a report. One that covers more than demandMemory weighs as much as one of that time, because most of what it covers
// would have decayed if it had been reported in parts. Time before the first request says nothing about the rate: when traffic begins,
// the rate is known from the first report that has work.
func (d *instanceDemand) add(now time.Time, r DemandReported) {
	factor := math.Exp(-r.Elapsed.Seconds() / demandMemory.Seconds())
	weight := min(demandMemory.Seconds()/max(r.Elapsed.Seconds(), 1e-9), 1)
	d.failureDomain, d.reportedAt, d.elapsed = r.FailureDomain, now, r.Elapsed
	if len(d.models)+len(r.Models) == 0 {
		return
	}
	d.covered = d.covered*factor + weight*r.Elapsed.Seconds()
	reported := map[poolKey]ModelDemand{}
	for _, m := range r.Models {
		k := poolKey{m.Service, m.Model}
		reported[k] = m
		if d.models[k] == nil {
			d.models[k] = &workCounts{}
		}
	}
	for k, c := range d.models {
		c.add(factor, weight, reported[k])
	}
}

// weight returns the factor on the rates of an instance. It falls while the instance does not report: it has no requests, or
// its reports are lost.
func (d *instanceDemand) weight(now time.Time) float64 {
	late := now.Sub(d.reportedAt) - silentIntervals*d.elapsed
	return math.Exp(-max(late, 0).Seconds() / demandMemory.Seconds())
}

// arrivals is the work for one model that arrives at all instances.
type arrivals struct {
	known        float64 // decayed number of requests that the rate is measured from
	perSecond    float64
	byDomain     map[identifier.FailureDomain]float64 // requests per second, by the failure domain of the instances at which they arrive
	promptTokens float64                              // mean of a request
	answerTokens float64                              // mean of a request
	judged       float64                              // decayed number of requests by which missedPart is known
	missedPart   float64                              // part of the requests that missed their latency goal or were given up
}

// demandReports holds the reports of all instances.
type demandReports struct {
	instances map[identifier.Instance]*instanceDemand
	firstAt   time.Time     // of the first report that has work; zero before it
	interval  time.Duration // longest time that a first report covered
	listed    int           // instances that exist
	forgotAt  time.Time     // when silent instances were last forgotten
}

// add adds a report and forgets instances that have not reported for demandForgotten.
func (r *demandReports) add(now time.Time, report DemandReported) {
	if r.instances == nil {
		r.instances = map[identifier.Instance]*instanceDemand{}
	}
	if r.firstAt.IsZero() && len(report.Models) > 0 {
		r.firstAt = now
	}
	if now.Sub(r.forgotAt) > demandForgotten/4 {
		r.forgotAt = now
		maps.DeleteFunc(r.instances, func(_ identifier.Instance, d *instanceDemand) bool { return now.Sub(d.reportedAt) > demandForgotten })
	}
	r.listed = report.Instances
	d := r.instances[report.Instance]
	if d == nil {
		d = &instanceDemand{models: map[poolKey]*workCounts{}}
		r.instances[report.Instance] = d
		r.interval = max(r.interval, min(report.Elapsed, maxFirstInterval))
	}
	d.add(now, report)
}

// Bounds of the time after the first report in which the instances report for the first time.
const (
	minFirstInterval = 2 * time.Second
	maxFirstInterval = 15 * time.Second
)

// hasBegun reports whether an instance has reported work.
func (r *demandReports) hasBegun() bool { return !r.firstAt.IsZero() }

// isComplete reports whether each instance has had the time to report its work once.
func (r *demandReports) isComplete(now time.Time) bool {
	return r.hasBegun() && now.Sub(r.firstAt) >= max(r.interval, minFirstInterval)
}

// maxSampleFactor bounds sampleFactor. A sample that is smaller says as much about the shares, which are ratios.
const maxSampleFactor = 10

// sampleFactor returns the factor from the work that was reported to all work. Instances of an earlier version never
// report; others report also without work.
func (r *demandReports) sampleFactor() float64 {
	return min(max(float64(r.listed)/float64(max(len(r.instances), 1)), 1), maxSampleFactor)
}

// arrivals sums the work for a model over the instances. This is the only place that sums demand over instances and
// failure domains.
func (r *demandReports) arrivals(now time.Time, k poolKey, profile *resolver.EngineProfile) arrivals {
	out := arrivals{byDomain: map[identifier.FailureDomain]float64{}}
	var t workCounts
	sample := r.sampleFactor()
	for _, name := range slices.Sorted(maps.Keys(r.instances)) {
		d := r.instances[name]
		c := d.models[k]
		if c == nil || d.covered <= 0 {
			continue
		}
		w := d.weight(now)
		rate := sample * w * c.requests / d.covered
		out.perSecond += rate
		out.byDomain[d.failureDomain] += rate
		out.known += w * c.requests
		t.prompts += w * c.prompts
		t.promptTokens += w * c.promptTokens
		t.answers += w * c.answers
		t.answerTokens += w * c.answerTokens
		t.judged += w * c.judged
		t.missedGoal += w * c.missedGoal
	}
	out.promptTokens = (t.promptTokens + priorRequests*float64(profile.MeanPromptTokens)) / (t.prompts + priorRequests)
	out.judged, out.missedPart = t.judged, t.missedGoal/max(t.judged, 1)
	out.answerTokens = (t.answerTokens + priorRequests*float64(profile.MeanAnswerTokens)) / (t.answers + priorRequests)
	return out
}

// FollowsDemand reports whether the engines of a profile follow demand: it says how long requests take, so that demand can be
// estimated, and has several models.
func FollowsDemand(profile *resolver.EngineProfile) bool {
	return profile != nil && len(profile.Models) > 1 && profile.Slots > 0 && profile.DecodeStep > 0
}

// need is what the work for a model needs, in groups, as a fraction.
type need struct {
	model    resolver.Model
	present  float64                              // for the present work at planLoad
	loss     float64                              // the same after the loss of the largest failure domain
	byDomain map[identifier.FailureDomain]float64 // requests per second, by the failure domain where they arrive
	burst    float64                              // for jumpFactor times the present work at jumpLoad
	jump     float64                              // the larger of loss and burst
}

// groupsFor returns the groups that a rate of requests keeps at a load. A running request lengthens each step of the others. At
// planLoad the time of prefill counts in full beside that of the decode steps, because a group does either; in a jump, which
// lasts some seconds, decode steps may come later.
func groupsFor(profile *resolver.EngineProfile, m resolver.Model, a arrivals, perSecond, load float64) float64 {
	factor := m.TimeFactor
	if factor <= 0 {
		factor = 1
	}
	running := load * float64(profile.Slots)
	step := profile.DecodeStep.Seconds() + running*profile.DecodeStepPerRequest.Seconds()
	prefill := 0.0
	if profile.PrefillTokensPerSecond > 0 {
		prefill = a.promptTokens / profile.PrefillTokensPerSecond * factor
	}
	bySlots := perSecond * (prefill + a.answerTokens*step*factor) / running
	if load <= planLoad {
		return bySlots + perSecond*prefill
	}
	return max(bySlots, perSecond*prefill/prefillLoad)
}

// needOf returns the need of a model. largestPart is the part of the engines that the largest failure domain has, and out the
// number of groups that are out of service because of losses. A model with a share keeps a group also without requests.
func needOf(profile *resolver.EngineProfile, m resolver.Model, a arrivals, largestPart, out float64) need {
	perSecond := a.perSecond
	if a.known > 0 {
		perSecond *= 1 + errorMargin/math.Sqrt(a.known)
	}
	n := need{model: m, byDomain: a.byDomain, present: groupsFor(profile, m, a, perSecond, planLoad)}
	if m.Share > 0 || a.perSecond > 0 {
		n.present = max(n.present, 1)
	}
	n.loss = n.present + out
	if largestPart < 1 {
		n.loss = n.present/(1-largestPart) + out
	}
	n.present += out
	n.burst = groupsFor(profile, m, a, jumpFactor*perSecond, jumpLoad) + out
	n.jump = max(n.loss, n.burst)
	return n
}

// coverage returns the part of the need that groups meet, at most 1.
func (n need) coverage(groups float64) float64 { return coverage(groups, n.jump) }
