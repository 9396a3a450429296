package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthmill/standin/relayer"
)

// Upper bounds of the random times and counts of a plan.
const (
	maxSeriesGap     = 700 * time.Millisecond // between the first faults of two successive series
	maxRepeatGap     = 250 * time.Millisecond // between two successive faults of a series
	maxFaultDuration = 2500 * time.Millisecond
	maxDelay         = 120 * time.Millisecond
	maxSeriesLength  = 3 // number of faults in a series
)

// Plan returns random faults over the given length of time. The faults come in series of one
// kind, and the series may overlap.
func Plan(r *rand.Rand, length time.Duration) []Step {
	var out []Step
	secondKeyValid := false
	for at := randomDuration(r, maxSeriesGap); at < length; at += randomDuration(r, maxSeriesGap) {
		newFault := faultMakers[r.IntN(len(faultMakers))]
		when := at
		for range 1 + r.IntN(maxSeriesLength) {
			f := newFault(r)
			if change, ok := f.(ChangeKeys); ok {
				secondKeyValid = !secondKeyValid
				change.Add = secondKeyValid
				f = change
			}
			out = append(out, Step{At: when, Fault: f})
			when += randomDuration(r, maxRepeatGap)
		}
	}
	return out
}

// delaySteps returns steps that come later by d.
func delaySteps(steps []Step, d time.Duration) []Step {
	var out []Step
	for _, step := range steps {
		out = append(out, Step{At: step.At + d, Fault: step.Fault})
	}
	return out
}

// addSteps adds faults to steps, with random times of at most gap between them, from the start to the end of
// the given length of time. The result is ordered by time.
func addSteps(steps []Step, r *rand.Rand, gap, length time.Duration, newFault func(*rand.Rand) Fault) []Step {
	out := slices.Clone(steps)
	for at := randomDuration(r, gap); at < length; at += randomDuration(r, gap) {
		out = append(out, Step{At: at, Fault: newFault(r)})
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

// randomDuration returns a random time from 1 ms up to, but not including, limit + 1 ms.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit))) + time.Millisecond
}

// randomNumber returns the number of a random instance or engine, which is taken modulo their
// count.
func randomNumber(r *rand.Rand) int { return r.IntN(1 << 10) }

func randomLink(r *rand.Rand) Link {
	return Link{Kind: LinkKind(r.IntN(int(linkKindCount))), Number: randomNumber(r)}
}

// faultMakers holds the functions that make random faults. Plan chooses them with equal
// probability. Faults that reduce the number of engines or instances are a minority, so that
// they are rarer than all others together.
var faultMakers = []func(*rand.Rand) Fault{
	func(r *rand.Rand) Fault { return KillInstance{Instance: randomNumber(r)} },
	func(r *rand.Rand) Fault { return StopInstance{Instance: randomNumber(r)} },
	func(r *rand.Rand) Fault {
		return FreezeInstance{Instance: randomNumber(r), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault { return ReloadSettings{Instance: randomNumber(r), Signal: r.IntN(2) == 0} },
	func(r *rand.Rand) Fault {
		return CutLink{Link: randomLink(r), Ways: []relayer.Direction{relayer.Upstream, relayer.Downstream}, For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault {
		return CutLink{Link: randomLink(r), Ways: []relayer.Direction{relayer.Direction(r.IntN(2))}, For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault {
		return DelayLink{Link: randomLink(r), Delay: randomDuration(r, maxDelay), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault { return ResetLink{Link: randomLink(r)} },
	func(r *rand.Rand) Fault { return SilenceLink{Link: randomLink(r)} },
	func(r *rand.Rand) Fault { return CrashEngine{Engine: randomNumber(r)} },
	func(r *rand.Rand) Fault { return DrainEngine{Engine: randomNumber(r)} },
	func(r *rand.Rand) Fault {
		return HideEngine{Engine: randomNumber(r), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault {
		return SlowEngine{Engine: randomNumber(r), Factor: 2 + r.IntN(6), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault {
		return DeafEngine{Engine: randomNumber(r), In: 2 + r.IntN(4), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault { return StoreDown{For: randomDuration(r, maxFaultDuration)} },
	func(r *rand.Rand) Fault {
		return StoreSlow{Delay: randomDuration(r, maxDelay), For: randomDuration(r, maxFaultDuration)}
	},
	func(r *rand.Rand) Fault {
		return StoreDeaf{In: 2 + r.IntN(4), For: randomDuration(r, maxFaultDuration)}
	},
	func(*rand.Rand) Fault { return Compact{} },
	func(*rand.Rand) Fault { return ChangeKeys{} },
}
