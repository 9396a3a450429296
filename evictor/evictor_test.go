package evictor_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/evictor"
	"amaranthmill/internal/scripter"
)

// scriptConfig is the Config of the scripts, in bytes of convenient size.
var scriptConfig = evictor.Config{Limit: 1000, SmallBytes: 50, LargeShare: 0.75, Patience: time.Second}

// session applies a script to one Core.
type session struct{ core *evictor.Core }

func (s session) Handle(now time.Time, ev scripter.Event) ([]string, error) {
	ref, bytes := evictor.Ref(ev.Int("ref")), int64(ev.Int("bytes"))
	var e evictor.Event
	switch ev.Name {
	case "request":
		e = evictor.Requested{Ref: ref, Bytes: bytes}
	case "return":
		e = evictor.Returned{Ref: ref, Bytes: bytes}
	case "complete":
		e = evictor.Completed{Ref: ref}
	case "release":
		e = evictor.Released{Ref: ref}
	case "displace":
		e = evictor.Displaced{}
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	var out []string
	for _, a := range s.core.Step(now, e) {
		switch a := a.(type) {
		case evictor.Grant:
			out = append(out, fmt.Sprintf("grant ref=%d used=%d", a.Ref, s.core.Used()))
		case evictor.Refuse:
			out = append(out, fmt.Sprintf("refuse ref=%d used=%d", a.Ref, s.core.Used()))
		case evictor.Evict:
			out = append(out, fmt.Sprintf("evict ref=%d bytes=%d", a.Ref, a.Bytes))
		}
	}
	return out, nil
}

func TestSessions(t *testing.T) {
	scripter.Run(t, "testdata", func(*testing.T) scripter.Session { return session{evictor.NewCore(scriptConfig)} })
}

// model is a plain account of what a Core has granted.
type model struct {
	bytes    map[evictor.Ref]int64
	since    map[evictor.Ref]time.Time
	complete map[evictor.Ref]bool
}

func (m *model) used() int64 {
	sum := int64(0)
	for _, n := range m.bytes {
		sum += n
	}
	return sum
}

func (m *model) remove(ref evictor.Ref) {
	delete(m.bytes, ref)
	delete(m.since, ref)
	delete(m.complete, ref)
}

// TestCoreKeepsLimits checks for random sequences that the sum stays within the limit and agrees with what was granted, that larger requests
// leave the rest of the limit to small ones, that only requests which have been arriving for the patience give way, and that a request is refused only if those
// could not make room.
func TestCoreKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := evictor.NewCore(scriptConfig)
		m := &model{map[evictor.Ref]int64{}, map[evictor.Ref]time.Time{}, map[evictor.Ref]bool{}}
		now := scripter.Start
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			ref := evictor.Ref(rapid.IntRange(1, 12).Draw(t, "ref"))
			bytes := int64(rapid.IntRange(1, 300).Draw(t, "bytes"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				c.Step(now, evictor.Completed{Ref: ref})
				if _, ok := m.bytes[ref]; ok {
					m.complete[ref] = true
				}
			case 1:
				c.Step(now, evictor.Released{Ref: ref})
				m.remove(ref)
			case 2:
				c.Step(now, evictor.Returned{Ref: ref, Bytes: bytes})
				if n, ok := m.bytes[ref]; ok {
					m.bytes[ref] = n - min(bytes, n)
				}
			default:
				checkRequest(t, c, m, now, ref, bytes)
			}
			if c.Used() != m.used() || c.Used() > scriptConfig.Limit {
				t.Fatalf("%d bytes are used, %d granted, limit %d", c.Used(), m.used(), scriptConfig.Limit)
			}
		}
	})
}

// checkRequest asks for memory and compares the actions with the model.
func checkRequest(t *rapid.T, c *evictor.Core, m *model, now time.Time, ref evictor.Ref, bytes int64) {
	if _, ok := m.bytes[ref]; !ok {
		m.bytes[ref], m.since[ref] = 0, now
	}
	ceiling := scriptConfig.Limit
	if m.bytes[ref]+bytes > scriptConfig.SmallBytes {
		ceiling = scriptConfig.Limit * 3 / 4
	}
	before, available := m.used(), int64(0)
	for other, n := range m.bytes {
		if other != ref && !m.complete[other] && now.Sub(m.since[other]) >= scriptConfig.Patience {
			available += n
		}
	}
	for _, a := range c.Step(now, evictor.Requested{Ref: ref, Bytes: bytes}) {
		switch a := a.(type) {
		case evictor.Evict:
			if a.Ref == ref || m.complete[a.Ref] || now.Sub(m.since[a.Ref]) < scriptConfig.Patience || m.bytes[a.Ref] != a.Bytes {
				t.Fatalf("request %d must not give way", a.Ref)
			}
			m.remove(a.Ref)
		case evictor.Grant:
			m.bytes[ref] += bytes
			if m.used() > ceiling {
				t.Fatalf("%d bytes are used after a grant, ceiling %d", m.used(), ceiling)
			}
		case evictor.Refuse:
			if before+bytes-available <= ceiling {
				t.Fatalf("%d bytes refused although %d of %d may give way, ceiling %d", bytes, available, before, ceiling)
			}
		}
	}
}

// TestMemoryEvicts checks that a request which stops short learns that it gives way, that one which has arrived completely keeps its memory,
// and that Release makes room.
func TestMemoryEvicts(t *testing.T) {
	is := is.New(t)
	m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: 1000, SmallBytes: 50, LargeShare: 1, Patience: time.Nanosecond}})
	evicted := 0
	short, whole := m.Open(func() { evicted++ }), m.Open(func() { t.Error("a complete request gives way") })
	is.NoErr(whole.Reserve(500))
	is.NoErr(whole.Complete())
	is.NoErr(short.Reserve(500))
	next := m.Open(func() { t.Error("the request that asks gives way") })
	is.NoErr(next.Reserve(400))
	is.NoErr(next.Complete())
	is.Equal(evicted, 1)
	is.True(errors.As(short.Complete(), new(*evictor.EvictedError)))
	is.True(errors.As(short.Reserve(1), new(*evictor.EvictedError)))
	short.Release()
	full := m.Open(func() {})
	is.True(errors.As(full.Reserve(200), new(*evictor.FullError)))
	whole.Release()
	is.NoErr(full.Reserve(200))
}

// TestMemoryIsShared uses one Memory from many goroutines, for the race detector, and checks that all of it is free afterwards.
func TestMemoryIsShared(t *testing.T) {
	is := is.New(t)
	m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: 1000, SmallBytes: 50, LargeShare: 1, Patience: time.Nanosecond}})
	var users sync.WaitGroup
	for range 16 {
		users.Go(func() {
			for range 200 {
				a := m.Open(func() {})
				if a.Reserve(300) == nil && a.Reserve(300) == nil {
					a.Return(300)
					_ = a.Complete() // evicted or not, the account is released
				}
				a.Release()
			}
		})
	}
	users.Wait()
	all := m.Open(func() {})
	is.NoErr(all.Reserve(1000))
}

// TestReleasedAccountGetsNoMemory guards against a request whose connection is closed while its head is read: what it asks for later belongs to nobody, would
// never be free again, and nobody could be told that it gives way.
func TestReleasedAccountGetsNoMemory(t *testing.T) {
	is := is.New(t)
	m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: 1000, SmallBytes: 1000, Patience: time.Nanosecond}})
	a := m.Open(func() { t.Error("a released request gives way") })
	is.NoErr(a.Reserve(500))
	a.Release()
	is.True(errors.As(a.Reserve(500), new(*evictor.EvictedError)))
	b := m.Open(func() {})
	is.NoErr(b.Reserve(1000))
	is.True(!errors.As(b.Complete(), new(*evictor.EvictedError)))
	is.True(!m.Displace())
}

// TestNilAccount checks that a request without an account has no bound.
func TestNilAccount(t *testing.T) {
	is := is.New(t)
	var a *evictor.Account
	is.NoErr(a.Reserve(1 << 40))
	is.NoErr(a.Complete())
	a.Return(1)
	a.Release()
}

// TestDisplace checks that the request that has been arriving for longest gives way for its connection, and none if all have arrived.
func TestDisplace(t *testing.T) {
	is := is.New(t)
	m := evictor.NewMemory(evictor.MemoryConfig{Config: evictor.Config{Limit: 1000, Patience: time.Nanosecond}})
	evicted := []string{}
	for _, name := range []string{"complete", "first", "second"} {
		a := m.Open(func() { evicted = append(evicted, name) })
		is.NoErr(a.Reserve(1))
		if name == "complete" {
			is.NoErr(a.Complete())
		}
	}
	time.Sleep(time.Millisecond) // longer than the patience
	is.True(m.Displace())
	is.True(m.Displace())
	is.True(!m.Displace())
	is.Equal(evicted, []string{"first", "second"})
}
