package evictor_test

import (
	"fmt"
	"testing"

	"amaranthmill/evictor"
)

// BenchmarkMemory is what a request costs beside others that arrive.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{0, 100, 2000} {
		b.Run(fmt.Sprintf("arriving=%d", n), func(b *testing.B) {
			m := evictor.NewMemory(evictor.MemoryConfig{})
			for range n {
				if err := m.Open(func() {}).Reserve(1000); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				a := m.Open(func() {})
				if err := a.Reserve(1000); err != nil {
					b.Fatal(err)
				}
				_ = a.Complete() // it has not given way
				a.Release()
			}
		})
	}
}

// BenchmarkFullMemory is what a refusal costs when the memory is used up by requests of which none may give way.
func BenchmarkFullMemory(b *testing.B) {
	for _, n := range []int{100, 2000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: int64(n) * 1000}})
			for range n {
				a := m.Open(func() {})
				if err := a.Reserve(1000); err != nil {
					b.Fatal(err)
				}
				_ = a.Complete() // it has not given way
			}
			b.ReportAllocs()
			for b.Loop() {
				a := m.Open(func() {})
				if a.Reserve(1000) == nil {
					b.Fatal("memory is left")
				}
				a.Release()
			}
		})
	}
}
