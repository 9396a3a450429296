package soak

import (
	"math/rand/v2"
	"time"

	"amaranthmill/standin/relayer"
)

// Times of a plan.
const (
	longestGap   = 700 * time.Millisecond // between the first faults of two series
	longestPause = 250 * time.Millisecond // between two faults of a series
	longestSpan  = 2500 * time.Millisecond
	longestDelay = 120 * time.Millisecond
	mostRepeats  = 3 // of one kind of fault in a series
)

// Plan returns the faults of some time, by chance: series of one kind, which overlap.
func Plan(r *rand.Rand, length time.Duration) []Step {
	var out []Step
	keys := false
	for at := span(r, longestGap); at < length; at += span(r, longestGap) {
		draw := kinds[r.IntN(len(kinds))]
		when := at
		for range 1 + r.IntN(mostRepeats) {
			f := draw(r)
			if change, ok := f.(ChangeKeys); ok {
				keys = !keys
				change.Add = keys
				f = change
			}
			out = append(out, Step{At: when, Fault: f})
			when += span(r, longestPause)
		}
	}
	return out
}

// span returns a time up to most.
func span(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most))) + time.Millisecond
}

// number stands for any instance or engine.
func number(r *rand.Rand) int { return r.IntN(1 << 10) }

func anyLink(r *rand.Rand) Link {
	return Link{Kind: LinkKind(r.IntN(int(linkKinds))), Number: number(r)}
}

// kinds makes a fault of each kind. Those that leave fewer engines or instances come more seldom than together the others.
var kinds = []func(*rand.Rand) Fault{
	func(r *rand.Rand) Fault { return KillInstance{Instance: number(r)} },
	func(r *rand.Rand) Fault { return StopInstance{Instance: number(r)} },
	func(r *rand.Rand) Fault { return FreezeInstance{Instance: number(r), For: span(r, longestSpan)} },
	func(r *rand.Rand) Fault { return ReloadSettings{Instance: number(r), Signal: r.IntN(2) == 0} },
	func(r *rand.Rand) Fault {
		return CutLink{Link: anyLink(r), Ways: []relayer.Direction{relayer.Upstream, relayer.Downstream}, For: span(r, longestSpan)}
	},
	func(r *rand.Rand) Fault {
		return CutLink{Link: anyLink(r), Ways: []relayer.Direction{relayer.Direction(r.IntN(2))}, For: span(r, longestSpan)}
	},
	func(r *rand.Rand) Fault {
		return DelayLink{Link: anyLink(r), Delay: span(r, longestDelay), For: span(r, longestSpan)}
	},
	func(r *rand.Rand) Fault { return ResetLink{Link: anyLink(r)} },
	func(r *rand.Rand) Fault { return SilenceLink{Link: anyLink(r)} },
	func(r *rand.Rand) Fault { return CrashEngine{Engine: number(r)} },
	func(r *rand.Rand) Fault { return DrainEngine{Engine: number(r)} },
	func(r *rand.Rand) Fault { return HideEngine{Engine: number(r), For: span(r, longestSpan)} },
	func(r *rand.Rand) Fault {
		return SlowEngine{Engine: number(r), Factor: 2 + r.IntN(6), For: span(r, longestSpan)}
	},
	func(r *rand.Rand) Fault {
		return DeafEngine{Engine: number(r), In: 2 + r.IntN(4), For: span(r, longestSpan)}
	},
	func(r *rand.Rand) Fault { return StoreDown{For: span(r, longestSpan)} },
	func(r *rand.Rand) Fault { return StoreSlow{Delay: span(r, longestDelay), For: span(r, longestSpan)} },
	func(r *rand.Rand) Fault { return StoreDeaf{In: 2 + r.IntN(4), For: span(r, longestSpan)} },
	func(*rand.Rand) Fault { return Compact{} },
	func(*rand.Rand) Fault { return ChangeKeys{} },
}
