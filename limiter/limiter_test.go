package limiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/limiter"
)

// session applies a script to one Limiter.
type session struct{ core *limiter.Limiter }

func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	e, err := parse(now, ev)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		switch a := a.(type) {
		case limiter.Admit:
			out = append(out, fmt.Sprintf("admit ref=%d", a.Ref))
		case limiter.Refuse:
			out = append(out, fmt.Sprintf("refuse ref=%d reason=%s retryAfter=%v", a.Ref, a.Reason, a.RetryAfter))
		case limiter.WakeAt:
			out = append(out, fmt.Sprintf("wake at=%v", a.At.Sub(scripter.Start)))
		}
	}
	return out, nil
}

func parse(now time.Time, ev scripter.Event) (limiter.Event, error) {
	ref, pool := limiter.Ref(ev.Int("ref")), identifier.Pool("guides")
	account := identifier.ClientAccount(ev.Str("account"))
	switch ev.Name {
	case "account":
		limit := limiter.Account{Name: account, RequestsPerSecond: float64(ev.Int("rate")), Burst: ev.Int("burst")}
		return limiter.AccountsSet{Accounts: []limiter.Account{limit}}, nil
	case "instances":
		return limiter.InstanceCountSet{Count: ev.Int("count")}, nil
	case "share":
		return limiter.ShareSet{Account: account, Share: float64(ev.Int("percent")) / 100}, nil
	case "slots":
		return limiter.SlotsSet{Pool: pool, Slots: ev.Int("count")}, nil
	case "request":
		return limiter.Arrived{
			Ref: ref, Account: account, Pool: pool, Priority: ev.Int("priority"),
			Deadline: now.Add(ev.Duration("within")), CountsTowardLimit: true,
		}, nil
	case "release":
		return limiter.Released{Ref: ref, Completed: ev.Bool("ran")}, nil
	case "tick":
		return limiter.Ticked{}, nil
	}
	return nil, fmt.Errorf("unknown event %q", ev.Name)
}

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105")
	os.Exit(m.Run())
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata/sessions", func(*testing.T) scripter.Session {
		return session{limiter.New(limiter.Config{LowPriorityInterval: 4})}
	})
}

// TestEachRequestHasOneAnswer checks over random sessions that each request is admitted or
// refused at most once, that the slots are never exceeded, and that no request waits past its deadline.
func TestEachRequestHasOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := limiter.New(limiter.Config{MaxQueueLength: 8})
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		now := scripter.Start
		answered, running, waiting := map[limiter.Ref]bool{}, []limiter.Ref{}, map[limiter.Ref]time.Time{}
		step := func(e limiter.Event) {
			for _, a := range core.Step(now, e) {
				switch a := a.(type) {
				case limiter.Admit:
					recordAnswer(t, answered, waiting, a.Ref)
					running = append(running, a.Ref)
				case limiter.Refuse:
					recordAnswer(t, answered, waiting, a.Ref)
				}
			}
			if len(running) > slots {
				t.Fatalf("%d requests run on %d slots", len(running), slots)
			}
		}
		step(limiter.SlotsSet{Pool: "guides", Slots: slots})
		for ref := range limiter.Ref(rapid.IntRange(1, 60).Draw(t, "requests")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			step(limiter.Ticked{})
			deadline := now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "within")) * time.Second)
			waiting[ref] = deadline
			step(limiter.Arrived{
				Ref: ref, Pool: "guides", Deadline: deadline,
				Account: identifier.ClientAccount(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account")), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			})
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				done := running[0]
				running = running[1:]
				step(limiter.Released{Ref: done, Completed: true})
			}
			for _, deadline := range waiting {
				if now.After(deadline) {
					t.Fatal("a request waits past its deadline")
				}
			}
		}
	})
}

func recordAnswer(t *rapid.T, answered map[limiter.Ref]bool, waiting map[limiter.Ref]time.Time, ref limiter.Ref) {
	if answered[ref] {
		t.Fatalf("request %d is admitted or refused twice", ref)
	}
	answered[ref] = true
	delete(waiting, ref)
}

// TestThreeTimesCapacity checks the guarantees under overload in a simulation of the queue at
// three times the capacity: of the highest priority, whose own load is below the capacity,
// at least 95 in 100 requests are answered on time; the slots spend at least 90 in 100 of
// their time on answers that are on time; and no account starves.
func TestThreeTimesCapacity(t *testing.T) {
	const slots, seconds, within = 20, 120, 10 * time.Second
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 1))
	core := limiter.New(limiter.Config{})
	core.Step(scripter.Start, limiter.SlotsSet{Pool: "guides", Slots: slots})
	type run struct {
		ref limiter.Ref
		end time.Time
	}
	var runs []run
	onTime, offered, busy := map[int]int{}, map[int]int{}, time.Duration(0)
	priority, deadline := map[limiter.Ref]int{}, map[limiter.Ref]time.Time{}
	now := scripter.Start
	apply := func(e limiter.Event) {
		for _, a := range core.Step(now, e) {
			admit, ok := a.(limiter.Admit)
			if !ok {
				continue
			}
			took := time.Duration((0.5 + rng.Float64()) * 2 * float64(time.Second))
			runs = append(runs, run{admit.Ref, now.Add(took)})
			if !now.Add(took).After(deadline[admit.Ref]) {
				onTime[priority[admit.Ref]]++
				busy += took
			}
		}
	}
	for ref := limiter.Ref(1); now.Before(scripter.Start.Add(seconds * time.Second)); ref++ {
		next := now.Add(time.Duration(rng.ExpFloat64() / (3 * slots / 2.0) * float64(time.Second)))
		for len(runs) > 0 {
			first := slices.MinFunc(runs, func(a, b run) int { return a.end.Compare(b.end) })
			if first.end.After(next) {
				break
			}
			now = first.end
			runs = slices.DeleteFunc(runs, func(r run) bool { return r.ref == first.ref })
			apply(limiter.Released{Ref: first.ref, Completed: true})
		}
		now = next
		p := []int{0, 0, 0, 1, 1, 1, 1, 2, 2}[rng.IntN(9)]
		priority[ref], deadline[ref] = p, now.Add(within)
		offered[p]++
		apply(limiter.Arrived{Ref: ref, Account: identifier.ClientAccount(fmt.Sprint("a", p)), Pool: "guides", Priority: p, Deadline: now.Add(within)})
	}
	t.Logf("on time %v of %v, busy %v", onTime, offered, busy/slots)
	is.True(onTime[2]*100 >= offered[2]*95)
	is.True(busy >= seconds*time.Second*slots*9/10)
	is.True(onTime[0] > 0)
}
