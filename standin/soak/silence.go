package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/standin/hosted"
)

// Times and counts of the silences.
const (
	calmTime      = 8 * time.Second         // from the start, in which silences, or cuts between instances and all engines, are the only faults
	maxSilenceGap = 1500 * time.Millisecond // between the first silences of two successive series
	minSilence    = 500 * time.Millisecond
	maxSilence    = 1500 * time.Millisecond
)

// silenceRetrySlack is the retry slack of the instances in a run with silences. With more
// retries, few attempts at a silent engine have no other engine left.
const silenceRetrySlack = 3

// cutLimit is the time from the sending of a request after which the end of its answer is not
// attributed to a silence, because most of its time is used.
const cutLimit = deadline * 7 / 10

// crashSlack is the time from the end of a request until the crash that ended it is recorded.
const crashSlack = 100 * time.Millisecond

// retrySlack returns the number of retries that all instances together may accumulate.
func (c Config) retrySlack() int {
	if c.Silences {
		return silenceRetrySlack
	}
	return hosted.RetrySlack
}

// AddSilences returns steps, all of them calmTime later, with random silences of engines from
// the start to the end of the given length of time. The silences come in series, which may
// overlap. Some begin together with a new version of the configuration. The result is ordered
// by time.
func AddSilences(steps []Step, r *rand.Rand, length time.Duration) []Step {
	out := delaySteps(steps, calmTime)
	for at := randomDuration(r, maxSilenceGap); at < calmTime+length; at += randomDuration(r, maxSilenceGap) {
		when := at
		for range 1 + r.IntN(maxSeriesLength) {
			out = append(out, Step{At: when, Fault: randomSilence(r)})
			when += randomDuration(r, maxRepeatGap)
		}
		if r.IntN(2) == 0 {
			out = append(out, Step{At: at, Fault: Reconfigure{}})
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

func randomSilence(r *rand.Rand) Fault {
	points := []hosted.SilencePoint{hosted.BeforeHeader, hosted.BeforeFirstEvent, hosted.InsideEvent}
	return SilenceEngine{Engine: randomNumber(r), Point: points[r.IntN(len(points))], For: minSilence + randomDuration(r, maxSilence-minSilence)}
}

// findCutAnswers describes the requests that an engine ran and that ended without a complete
// answer, although only silences affected the instance and the engines from stableTime before
// and the request had time left.
func (r *record) findCutAnswers(runs map[string]int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, s := range r.requests {
		if runs[s.id] > 0 && r.isCutBySilence(s) {
			out = append(out, fmt.Sprintf("request %s at instance %d, sent %s: ended after %s without a complete answer, plain=%t status=%d",
				s.id, s.instance, s.sentAt.Format("05.000"), s.endedAt.Sub(s.sentAt), s.plain, s.status))
		}
	}
	return out
}

// isCutBySilence reports whether a request that an engine ran ended without a complete answer,
// and nothing but a silence can be the cause. The caller holds the lock.
func (r *record) isCutBySilence(s sentRequest) bool {
	switch {
	case s.isServed(), guaranteesNotRun(s.status), s.silenced:
		return false
	case s.endedAt.Sub(s.sentAt) >= cutLimit:
		return false
	}
	stableSince := s.sentAt.Add(-stableTime)
	return r.isStable(s.instance, stableSince, s.endedAt) && r.isUndisrupted(stableSince, s.endedAt.Add(crashSlack), allEngines)
}
