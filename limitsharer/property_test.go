package limitsharer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/limitsharer"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105") // rapid defines the flag
	flag.Parse()
	os.Exit(m.Run())
}

// fleet is a set of cores that exchange messages in order and without delay, except across a partition.
type fleet struct {
	cores   []*limitsharer.Core
	rates   map[identifier.Instance]float64
	splitAt int // the instances below this index are disconnected from the rest; 0 without a partition
	now     time.Time
}

const limit = 100.0

func newFleet(n int) *fleet {
	f := &fleet{rates: map[identifier.Instance]float64{}, now: scripter.Start}
	for i := range n {
		f.cores = append(f.cores, limitsharer.New(limitsharer.Config{Instance: name(i)}))
	}
	f.each(limitsharer.AccountsSet{Accounts: []limitsharer.Account{{Name: "post", RequestsPerSecond: limit}}})
	f.heal()
	return f
}

func name(i int) identifier.Instance { return identifier.Instance(fmt.Sprint("entry-", i)) }

func (f *fleet) each(e limitsharer.Event) {
	for i := range f.cores {
		f.submit(i, e)
	}
}

// heal ends a partition: every instance can reach every other.
func (f *fleet) heal() {
	f.splitAt = 0
	for i := range f.cores {
		for j := range f.cores {
			if i != j {
				f.submit(i, limitsharer.PeerReachable{Instance: name(j)})
			}
		}
	}
}

func (f *fleet) submit(i int, e limitsharer.Event) {
	for _, a := range f.cores[i].Step(f.now, e) {
		switch a := a.(type) {
		case limitsharer.SetRate:
			f.rates[name(i)] = a.RequestsPerSecond
		case limitsharer.Announce:
			for j := range f.cores {
				if j != i && (a.To == "" || a.To == name(j)) && (i < f.splitAt) == (j < f.splitAt) {
					f.submit(j, limitsharer.AnnouncementReceived{From: name(i), Announcement: a.Announcement})
				}
			}
		}
	}
}

func (f *fleet) sum(from, to int) float64 {
	total := 0.0
	for i := from; i < to; i++ {
		total += f.rates[name(i)]
	}
	return total
}

// TestShares applies random demand and network partitions. It checks that the instances together
// admit exactly the limit while all can reach each other, and that neither side of a partition
// admits more than the limit.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		n := rapid.IntRange(1, 5).Draw(t, "instances")
		f := newFleet(n)
		f.check(is)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ask", "ask", "tick", "tick", "cut", "heal"}).Draw(t, "step") {
			case "ask":
				i := rapid.IntRange(0, n-1).Draw(t, "instance")
				for range rapid.IntRange(0, 200).Draw(t, "requests") {
					f.submit(i, limitsharer.RequestArrived{Account: "post"})
				}
			case "tick":
				f.now = f.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 2 * time.Second, 70 * time.Second}).Draw(t, "time"))
				f.each(limitsharer.Ticked{})
			case "cut":
				if f.splitAt == 0 {
					f.splitAt = rapid.IntRange(0, n-1).Draw(t, "cut")
				}
			case "heal":
				f.heal()
			}
			f.check(is)
		}
	})
}

// check compares the sums of the rates with the limit.
func (f *fleet) check(is *is.I) {
	is.Helper()
	if f.splitAt == 0 {
		is.True(near(f.sum(0, len(f.cores)), limit)) // exactly the limit
		return
	}
	is.True(f.sum(0, f.splitAt) < limit+1e-6)
	is.True(f.sum(f.splitAt, len(f.cores)) < limit+1e-6)
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

// BenchmarkAnnouncement measures the cost of one peer announcement at one instance.
func BenchmarkAnnouncement(b *testing.B) {
	for _, n := range []int{4, 37, 370} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			core := limitsharer.New(limitsharer.Config{Instance: name(0)})
			var set limitsharer.AccountsSet
			for i := range 10 {
				set.Accounts = append(set.Accounts, limitsharer.Account{Name: identifier.ClientAccount(fmt.Sprint("account-", i)), RequestsPerSecond: limit})
			}
			core.Step(scripter.Start, set)
			for i := range n {
				core.Step(scripter.Start, limitsharer.PeerReachable{Instance: name(i)})
			}
			b.ReportAllocs()
			for i := range b.N {
				demand := limitsharer.Demand{Account: "account-3", RequestsPerSecond: float64(i % 50)}
				core.Step(scripter.Start, limitsharer.AnnouncementReceived{From: name(1), Announcement: limitsharer.Announcement{Sequence: uint64(i + 1), Demands: []limitsharer.Demand{demand}}})
			}
		})
	}
}
