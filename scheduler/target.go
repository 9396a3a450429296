package scheduler

import (
	"net/netip"
	"time"

	"amaranthmill/estimator"
	"amaranthmill/internal/identifier"
)

// Target is an endpoint of a plain service, or a replica group, whose head receives its requests.
type Target struct {
	ID                 identifier.Endpoint // the endpoint that receives the requests
	Pool               identifier.Pool
	Address            netip.AddrPort
	FailureDomain      identifier.FailureDomain
	Group              identifier.Group // empty for a plain service
	Epoch              identifier.Epoch // epoch of the group
	ProcessStart       identifier.ProcessStart
	Members            []identifier.Endpoint // members of the group
	Slots              int                   // requests that the target runs concurrently
	SpansFabricDomains bool                  // the group has members in more than one fabric domain, which makes it slower
	MemberMissing      bool                  // fewer members of the group are listed than it needs, or one is evacuated, so that the target is used last
	Evacuated          bool                  // its failure domain is evacuated, so that nothing is sent to it; running requests go on
	ColdLimit          float64               // requests per second that the target takes from all instances together while it is cold; zero for no limit
	ColdUntil          time.Time             // until when the target is cold, as its entry says, and RestoredUntil; zero or in the past if it is warm
	RestoredUntil      time.Time             // until when the target is cold because this instance saw the evacuation of its failure domain end; zero if it saw none
}

// isSameIncarnation reports whether t and o are the same process of the same endpoint in the
// same epoch of its group.
func (t *Target) isSameIncarnation(o *Target) bool {
	return t.ID == o.ID && t.Epoch == o.Epoch && t.Group == o.Group && t.ProcessStart == o.ProcessStart && t.Address == o.Address
}

// Load is the load that an endpoint reports. The zero value means that it reports none.
type Load struct {
	Running, Waiting, Slots int
}

// Weights of the estimates. A penalty is a fraction of a target's slots.
const (
	latencySampleWeight  = 0.2             // weight of one sample in a mean gap or mean time to the first event
	loadReportTTL        = time.Second     // after which a load report is ignored
	latencySampleTTL     = 3 * time.Second // after which a mean gap or mean time to the first event is ignored
	remoteDomainPenalty  = 0.15            // for a target in another failure domain
	slowPenalty          = 0.5             // for each mean gap of the pool by which a slow target's gap exceeds that mean
	slowThreshold        = 1.6             // multiple of the pool's mean gap above which a target counts as slow
	prefillPenalty       = 0.25            // for each thousand prompt tokens still to be prefilled, because they delay first events
	fabricSpanPenalty    = 0.6             // for a group that spans fabric domains
	missingMemberPenalty = 2               // for a group with a missing member
	coldPenalty          = 0.8             // for a cold target, so that warm ones with room are used first
	newTargetPenalty     = 0.1             // for a target that was added less than a second ago, so that not all instances use it at once
)

// target is a Target with the measurements of this instance.
type target struct {
	*Target // never modified, because actions refer to it

	hash                 uint64           // of the process
	endpointHash         uint64           // of its name alone, which ranks the senders of a cold process
	position             int              // in the targets of its pool
	attempts             map[Ref]*attempt // running attempts at the target
	addedAt              time.Time        // when this instance first saw this incarnation
	lastProgressAt       time.Time        // time of the last progress of any request at the target
	contactAt            time.Time        // when something last came from the endpoint; zero if nothing has
	probedAt             time.Time        // when the endpoint was last probed
	isProbed             bool             // a probe has not ended
	unreachableAt        time.Time        // when a connection last failed, requests last stalled or a probe got no answer; zero if something has come from the endpoint since
	stalledAt            time.Time        // zero if the target is not stalled
	streamsStalled       bool             // the target stalled while streams were running, so that no other stream has begun since
	lastTrialAt          time.Time        // time of the stall or of the last trial request after it
	otherRequests        int              // requests of other instances at the target, from the last load report
	otherRequestsAt      time.Time
	meanGap              time.Duration // mean time between two events of one stream
	gapMeasuredAt        time.Time
	meanFirstEvent       time.Duration // mean time to the first event or complete answer
	firstEventMeasuredAt time.Time
	consecutiveFailures  int        // failures since the last complete answer
	consecutiveRefusals  int        // refusals since the last progress of a request
	refusedUntil         time.Time  // until when the target gets no requests because it has refused one
	statement            *statement // what the process has said about itself; nil if nothing

	pool      *pool
	estimator estimator.Estimator
	isLoaded  bool    // its endpoint has reported its load
	backlog   int     // prompt tokens of this instance's requests that it has not yet prefilled
	pending   int     // attempts without an event
	toldLimit float64 // the learned limit that was reported last; zero if none was
}

// load estimates the requests at t as a fraction of its slots. As the last load report ages,
// meanOtherRequests, the pool's mean number of requests of other instances, replaces it.
func (t *target) load(now time.Time, meanOtherRequests float64) float64 {
	weight := 0.0
	if age := now.Sub(t.otherRequestsAt); !t.otherRequestsAt.IsZero() && age < loadReportTTL {
		weight = 1 - float64(age)/float64(loadReportTTL)
	}
	otherRequests := weight*float64(t.otherRequests) + (1-weight)*meanOtherRequests
	return (float64(len(t.attempts)) + otherRequests) / float64(max(t.Slots, 1))
}

// pendingRunDelay returns the sum of the times that t needs at least to prefill the prompts of this instance's
// requests that have no event yet.
func (t *target) pendingRunDelay() time.Duration {
	var sum time.Duration
	for _, a := range t.attempts {
		if !a.hasEvent {
			sum += a.flight.MinRunDelay
		}
	}
	return sum
}

// recordLoad derives the requests of other instances from a load report, which includes this instance's requests.
func (t *target) recordLoad(now time.Time, l Load) {
	if l.Slots == 0 {
		return
	}
	t.isLoaded = true
	t.otherRequests = max(0, l.Running+l.Waiting-len(t.attempts))
	t.otherRequestsAt = now
}

// Bounds on the time for which a target that refuses requests gets none. It doubles with each refusal
// in a row: a head whose group is broken refuses at once and reports no load, so that it would
// otherwise look like the best target to each request.
const (
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = 1600 * time.Millisecond
)

// recordRefusal keeps requests from t for a time.
func (t *target) recordRefusal(now time.Time) {
	t.refusedUntil = now.Add(min(minRefusalPause<<min(t.consecutiveRefusals, 8), maxRefusalPause))
	t.consecutiveRefusals++
}

// recordFirstEvent records the time to the first event, or to the complete answer of a request without events.
func (t *target) recordFirstEvent(now time.Time, elapsed time.Duration) {
	t.meanFirstEvent = updatedMean(t.meanFirstEvent, elapsed, now.Sub(t.firstEventMeasuredAt))
	t.firstEventMeasuredAt = now
}

// updatedMean returns the moving average mean updated with sample, or sample alone if mean is older than latencySampleTTL.
func updatedMean(mean, sample, age time.Duration) time.Duration {
	if age > latencySampleTTL {
		return sample
	}
	return mean + time.Duration(latencySampleWeight*float64(sample-mean))
}

// recordGap records the time between two events of a stream.
func (t *target) recordGap(now time.Time, gap time.Duration) {
	t.meanGap = updatedMean(t.meanGap, gap, now.Sub(t.gapMeasuredAt))
	t.gapMeasuredAt = now
}

// pool holds the targets of one pool.
type pool struct {
	name           identifier.Pool
	targets        []*target
	refusals       int       // requests refused while all targets are closed
	refusalsUntil  time.Time // end of the closure in which they were refused
	limitReturnsAt time.Time // when the next caller should return who is refused because of limits
	version        int       // counts the changes of targets
	evacuated      int       // targets that are evacuated
	homes          []*target // the home of each instance that shares limits, in their order; see Scheduler.computeShare
	homesBasis     rankingBasis
	capacity       poolCapacity
}

// add adds a target.
func (p *pool) add(t *target) {
	p.version++
	p.countEvacuated(t, 1)
	t.position = len(p.targets)
	p.targets = append(p.targets, t)
}

// remove removes a target. The last one takes its place.
func (p *pool) remove(t *target) {
	p.version++
	p.countEvacuated(t, -1)
	last := p.targets[len(p.targets)-1]
	p.targets[t.position] = last
	last.position = t.position
	p.targets = p.targets[:len(p.targets)-1]
}

// means are the means over the targets of a pool that the choice of a target depends on.
type means struct {
	otherRequests float64       // requests of other instances per target
	gap           time.Duration // between two events of a stream; zero if it is not known
}

func (p *pool) means(now time.Time) means {
	m := means{otherRequests: p.meanOtherRequests(now), gap: p.meanGap(now)}
	p.capacity.otherRequests = m.otherRequests
	p.refreshCapacity(now)
	return m
}

// meanOtherRequests returns the mean number of requests of other instances per target of p that is not evacuated, from
// recent load reports.
func (p *pool) meanOtherRequests(now time.Time) float64 {
	sum, n := 0, 0
	for _, t := range p.targets {
		if !t.Evacuated && !t.otherRequestsAt.IsZero() && now.Sub(t.otherRequestsAt) < loadReportTTL {
			sum += t.otherRequests
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// meanGap returns the mean of the recent mean gaps of p's targets that are not stalled, or zero.
func (p *pool) meanGap(now time.Time) time.Duration {
	return p.meanOf(now, func(t *target) (time.Duration, time.Time) { return t.meanGap, t.gapMeasuredAt })
}

// meanFirstEvent returns the mean of the recent times to the first event of p's targets that are not stalled, or zero.
func (p *pool) meanFirstEvent(now time.Time) time.Duration {
	return p.meanOf(now, func(t *target) (time.Duration, time.Time) { return t.meanFirstEvent, t.firstEventMeasuredAt })
}

// meanOf returns the mean of measure over p's targets that are not stalled, or zero. It
// ignores measurements older than latencySampleTTL.
func (p *pool) meanOf(now time.Time, measure func(*target) (time.Duration, time.Time)) time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range p.targets {
		if v, at := measure(t); v > 0 && t.stalledAt.IsZero() && now.Sub(at) < latencySampleTTL {
			sum += v
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
