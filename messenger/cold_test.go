package messenger

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// TestColdNewsOnTheWire checks that news of cold processes is the same after it was encoded, and that an instance which does not know the
// field takes none of it: such an instance leaves out elements with a negative number of requests per second. With zero it
// would take a cold process for one that names no limit any more.
func TestColdNewsOnTheWire(t *testing.T) {
	is := is.New(t)
	process := identifier.Process{Endpoint: "e", Start: 7}
	news := []scheduler.LimitNews{
		{Process: process, PerSecond: 2.5, Age: time.Second},
		{Process: process, PerSecond: 15, Age: time.Second, Source: scheduler.LimitColdAnswer, ColdFor: 2 * time.Second},
		{Process: process, PerSecond: 15, Source: scheduler.LimitColdRestored, ColdFor: 2 * time.Second},
		{Process: process, PerSecond: 15, Source: scheduler.LimitColdEntry, ColdFor: 2 * time.Second},
	}
	body, err := json.Marshal(encodeLimits(news))
	is.NoErr(err)
	var wire []limitWire
	is.NoErr(json.Unmarshal(body, &wire))
	is.Equal(decodeLimits(wire), news)
	var old []struct{ PerSecond float64 }
	is.NoErr(json.Unmarshal(body, &old))
	is.Equal(old[0].PerSecond, 2.5)
	is.True(old[1].PerSecond < 0 && old[2].PerSecond < 0 && old[3].PerSecond < 0)

	is.Equal(len(decodeLimits([]limitWire{{PerSecond: coldWire}, {PerSecond: coldWire, Cold: &coldLimitWire{PerSecond: -1}}, {Cold: &coldLimitWire{PerSecond: 1, Left: -1}}})), 0) // malformed
	is.Equal(withoutEntries(news), news[:3])                                                                                                                                       // each instance reads the entries itself

	board := limitBoard{}
	now := time.Now()
	board.set(now, news)
	after := board.current(now.Add(1500 * time.Millisecond))
	is.Equal(after[1].ColdFor, 500*time.Millisecond)
	is.Equal(len(board.current(now.Add(3*time.Second))), 1) // the cold time has ended
}
