package claimer

import (
	"fmt"
	"testing"

	"amaranthmill/internal/scripter"
)

// BenchmarkCall measures the time that the core spends on one call, from its arrival to its stored
// result, while other calls are open at the same instance, and the size of the claim.
func BenchmarkCall(b *testing.B) {
	for _, open := range []int{0, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			c := NewCore("entry-1", Limits{})
			for i := range open {
				token := Token(fmt.Sprint("open", i))
				c.Step(scripter.Start, Arrived{Token: token, Key: Key{IdempotencyKey: string(token)}})
				c.Step(scripter.Start, Stored{Token: token, Revision: 1})
			}
			var record Record
			b.ReportAllocs()
			for i := range b.N {
				token := Token(fmt.Sprintf("entry-1/18a0b0c0d0e0f000/%d/0123456789abcdef", i))
				c.Step(scripter.Start, Arrived{Token: token, Key: Key{Account: "family", IdempotencyKey: "renewal-4711"}})
				c.Step(scripter.Start, Stored{Token: token, Revision: 1})
				acts := c.Step(scripter.Start, Settled{Token: token, Result: Answered{Status: 200, Body: make([]byte, 200)}})
				record = acts[0].(SwapClaim).Record
				c.Step(scripter.Start, Stored{Token: token, Revision: 2})
				if i%1000 == 0 {
					c.Step(scripter.Start, Ticked{})
				}
			}
			value, err := record.encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(value)), "claim-bytes")
		})
	}
}
