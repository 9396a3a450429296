package scheduler

import (
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
)

// Target is an endpoint of a plain service, or a replica group, which takes requests at its head.
type Target struct {
	ID                 identifier.Endpoint // the endpoint that takes the requests
	Pool               identifier.Pool
	Address            netip.AddrPort
	FailureDomain      identifier.FailureDomain
	Group              identifier.Group // empty for a plain service
	Epoch              identifier.Epoch // of the group
	ProcessStart       identifier.ProcessStart
	Members            []identifier.Endpoint // of the group
	Slots              int                   // requests that it runs at once
	SpansFabricDomains bool                  // the group spans fabric domains, which is slower
	MemberMissing      bool                  // a member is not listed any more: used last
}

// isSame reports whether t and o are the same run of the same endpoint in the same forming of its group.
func (t *Target) isSame(o *Target) bool {
	return t.ID == o.ID && t.Epoch == o.Epoch && t.Group == o.Group && t.ProcessStart == o.ProcessStart && t.Address == o.Address
}

// Load is what an endpoint says of its load. The zero value says nothing.
type Load struct {
	Running, Waiting, Slots int
}

// Weights of the estimates.
const (
	speedWeight  = 0.2             // of one measurement in a mean gap or time to the first event
	loadLife     = time.Second     // after which a report of load counts for nothing
	speedLife    = 3 * time.Second // after which a measurement of speed counts for nothing
	remoteWeight = 0.15            // of another failure domain, in parts of a target's slots
	slowWeight   = 0.5             // of each mean gap of the pool that a target is slower
	slowFactor   = 1.6             // mean gaps of the pool from which a target counts as slow
	readWeight   = 0.25            // of a thousand prompt tokens that a target has yet to read, which put off first events
	farWeight    = 0.6             // of a group that spans fabric domains
	doubtWeight  = 2               // of a doubtful target
	freshWeight  = 0.1             // of a target that just came up, so that not every instance falls on it
)

// target is a Target with what this instance knows of it.
type target struct {
	Target
	flights        map[Ref]*flight
	since          time.Time // when it came up
	progressAt     time.Time // of the last sign of life of any of its requests
	stalledAt      time.Time // zero while it is trusted
	streamsStalled bool      // streams that had begun stand still, so that none other begins
	tried          time.Time // when a request last tried it while it was stalled
	others         int       // requests of other instances there, as last reported
	othersAt       time.Time
	gap            time.Duration // mean gap between events of one stream
	gapAt          time.Time
	first          time.Duration // mean time to the first event or whole answer
	firstAt        time.Time
	consecutive    int // failures in a row without a whole answer
}

// load estimates the requests at t in parts of its slots, given those of others at a mean target of its pool.
func (t *target) load(now time.Time, meanOthers float64) float64 {
	weight := 0.0
	if age := now.Sub(t.othersAt); !t.othersAt.IsZero() && age < loadLife {
		weight = 1 - float64(age)/float64(loadLife)
	}
	others := weight*float64(t.others) + (1-weight)*meanOthers
	return (float64(len(t.flights)) + others) / float64(max(t.Slots, 1))
}

// reading returns the prompt tokens that t has yet to read for this instance's requests.
func (t *target) reading() int {
	n := 0
	for _, f := range t.flights {
		if !f.moved {
			n += f.PromptTokens
		}
	}
	return n
}

// sawLoad takes in a report of load, of which this instance's own requests are a part.
func (t *target) sawLoad(now time.Time, l Load) {
	if l.Slots == 0 {
		return
	}
	t.others = max(0, l.Running+l.Waiting-len(t.flights))
	t.othersAt = now
}

// sawFirst takes in the time to the first event, or to the whole answer of a request without events.
func (t *target) sawFirst(now time.Time, first time.Duration) {
	t.first = smoothed(t.first, first, now.Sub(t.firstAt))
	t.firstAt = now
}

// smoothed returns a mean that takes in a measurement, or the measurement alone if the mean is old.
func smoothed(mean, measured, age time.Duration) time.Duration {
	if age > speedLife {
		return measured
	}
	return mean + time.Duration(speedWeight*float64(measured-mean))
}

// sawGap takes in the time between two events of a stream.
func (t *target) sawGap(now time.Time, gap time.Duration) {
	t.gap = smoothed(t.gap, gap, now.Sub(t.gapAt))
	t.gapAt = now
}

// pool has the targets of one pool.
type pool struct {
	name    identifier.Pool
	targets []*target
}

// meanOthers returns the requests of other instances at a mean target of p, from recent reports.
func (p *pool) meanOthers(now time.Time) float64 {
	sum, n := 0, 0
	for _, t := range p.targets {
		if !t.othersAt.IsZero() && now.Sub(t.othersAt) < loadLife {
			sum += t.others
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// meanGap returns the mean of the recent gaps of p's trusted targets, or zero.
func (p *pool) meanGap(now time.Time) time.Duration {
	return p.mean(now, func(t *target) (time.Duration, time.Time) { return t.gap, t.gapAt })
}

// meanFirst returns the mean of the recent times to the first event of p's trusted targets, or zero.
func (p *pool) meanFirst(now time.Time) time.Duration {
	return p.mean(now, func(t *target) (time.Duration, time.Time) { return t.first, t.firstAt })
}

// mean returns the mean over p's trusted targets of what measure returns, leaving out old measurements.
func (p *pool) mean(now time.Time, measure func(*target) (time.Duration, time.Time)) time.Duration {
	var sum time.Duration
	n := 0
	for _, t := range p.targets {
		if v, at := measure(t); v > 0 && t.stalledAt.IsZero() && now.Sub(at) < speedLife {
			sum += v
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}
