package groupformer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateAnswersToOrders checks that groups form while the answers to orders arrive later than the
// entries that the orders change, as at an instance that is busy. The state that follows from an
// accepted order is then older than the listed one, and no further change of the entry corrects it.
func TestLateAnswersToOrders(t *testing.T) {
	for _, delay := range []time.Duration{0, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprintf("delay=%s", delay), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 3, 2, 10) // 60 engines, half of them in groups of four
			f.answerDelay = delay
			f.run(12 * time.Second)
			f.check(t)
			now := f.countServing()
			is.True(now["large"] >= 7)
			is.True(now["small"] >= 14)
		})
	}
}
