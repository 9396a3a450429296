package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// jump is the factor on all requests in a jump, which comes without notice.
const jump = 2.2

// TestEnginesFollowDemand replays the load of deployment J. It guards against engines that stay with a model of little
// demand while the other one is full: 8 s after the first report, a jump must fit in m1 and in m0, and m0
// must be spread so that the loss of a failure domain leaves enough for its present work.
func TestEnginesFollowDemand(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			f := newDemandFleet(seed, hardLoad, 0.64)
			is.Equal(f.countWhole()["m0"], 12) // 96 of 171 engines
			t.Log("start", f.countWhole(), f.load("m0", 1), f.load("m1", 1))
			f.startReports()
			f.run(8 * time.Second)
			t.Log("after 8 s", f.countWholeByDomain(), f.load("m0", jump), f.load("m1", jump), "lent", f.lent)
			is.True(f.load("m1", jump) <= 0.75)
			is.True(f.load("m0", jump) <= 0.75)
			for lost := range f.countWholeByDomain() {
				left := 0
				for domain, groups := range f.countWholeByDomain() {
					if domain != lost {
						left += groups["m0"]
					}
				}
				is.True(f.load("m0", 1)*float64(f.countWhole()["m0"])/float64(left) <= 0.75)
			}
			before := f.lent
			f.run(12 * time.Second)
			f.factor = func(string) float64 { return jump }
			f.run(6 * time.Second)
			f.factor = func(string) float64 { return 1 }
			f.run(20 * time.Second)
			is.Equal(f.lent, before) // the jump is no reason to move groups
			is.Equal(f.cut, 0)
			f.check(t)
		})
	}
}
