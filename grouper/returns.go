package grouper

import "time"

// returnsKept is how many of the last returns a core remembers.
const returnsKept = 64

// returnTimes remembers how long endpoints that returned had been away.
type returnTimes struct{ seen []time.Duration }

func (r *returnTimes) add(away time.Duration) {
	r.seen = append(r.seen, away)
	if len(r.seen) > returnsKept {
		r.seen = r.seen[1:]
	}
}
