package evictor_test

import (
	"fmt"
	"time"

	"amaranthmill/evictor"
)

// A request that stops short of its end gives way to one that needs its memory.
func ExampleCore() {
	c := evictor.NewCore(evictor.Config{Limit: 1000, SmallBytes: 100})
	now := time.Unix(0, 0)
	for _, e := range []evictor.Event{
		evictor.Requested{Ref: 1, Bytes: 600},
		evictor.Requested{Ref: 2, Bytes: 600},
		evictor.Requested{Ref: 3, Bytes: 600},
	} {
		for _, a := range c.Step(now, e) {
			fmt.Printf("%s: %T%+v\n", now.Sub(time.Unix(0, 0)), a, a)
		}
		now = now.Add(700 * time.Millisecond)
	}
	// Output:
	// 0s: evictor.Grant{Ref:1}
	// 700ms: evictor.Refuse{Ref:2}
	// 1.4s: evictor.Evict{Ref:1 Bytes:600}
	// 1.4s: evictor.Grant{Ref:3}
}

// A request asks for memory as it arrives, and gives it back when it has its answer.
func ExampleMemory() {
	m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: 1000}})
	a := m.Open(func() { fmt.Println("reading the request must end") })
	defer a.Release()
	fmt.Println(a.Reserve(600), a.Complete())
	b := m.Open(func() {})
	defer b.Release()
	fmt.Println(b.Reserve(600))
	// Output:
	// <nil> <nil>
	// evictor: no memory is left for 600 more bytes of a request
}
