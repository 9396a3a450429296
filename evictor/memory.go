package evictor

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/stepper"
)

// RetryAfter is the time after which a caller whose request was refused or evicted should retry. By then, requests
// that stop short can give way.
const RetryAfter = time.Second

// logInterval is the shortest time between two log lines about requests that were refused or evicted.
const logInterval = time.Second

// FullError reports that a request gets no memory, because other requests use what there is.
type FullError struct{ Bytes int64 } // that the request asked for

func (e *FullError) Error() string {
	return fmt.Sprintf("evictor: no memory is left for %d more bytes of a request", e.Bytes)
}

// EvictedError reports that a request gave way to others before it had arrived completely.
type EvictedError struct{}

func (e *EvictedError) Error() string {
	return "evictor: the request had not arrived completely when its memory was needed for others"
}

// MemoryConfig configures a Memory. The zero value is usable.
type MemoryConfig struct {
	Config
	Logger zerolog.Logger
	Meter  metric.Meter // nil disables metrics
}

// Memory is the memory for the requests that an instance receives. It is safe for concurrent use.
type Memory struct {
	core      *Core
	step      *stepper.Stepper[Event, Action]
	lastRef   atomic.Uint64
	logger    zerolog.Logger // logs at most one line in logInterval
	refusals  metric.Int64Counter
	evictions metric.Int64Counter

	accounts map[Ref]*Account // guarded by step
}

// Account is the memory of one request. Its methods may be called on nil, which has no bound. They are for one goroutine at a time.
type Account struct {
	memory    *Memory
	ref       Ref
	onEvict   func()
	isRefused bool // the answer to the last Reserve, within which it is set
	isEvicted atomic.Bool
}

// NewMemory returns a Memory for cfg.
func NewMemory(cfg MemoryConfig) *Memory {
	if cfg.Meter == nil {
		cfg.Meter = noop.NewMeterProvider().Meter("evictor")
	}
	m := &Memory{
		core: NewCore(cfg.Config), accounts: map[Ref]*Account{},
		logger: cfg.Logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval}),
	}
	m.step = stepper.New(stepper.Config[Event, Action]{Core: m.core, Handle: m.handle})
	m.refusals, _ = cfg.Meter.Int64Counter("evictor.refusals", metric.WithDescription("Requests that got no memory."))
	m.evictions, _ = cfg.Meter.Int64Counter("evictor.evictions", metric.WithDescription("Requests that gave way to others before they had arrived completely."))
	_, _ = cfg.Meter.Int64ObservableGauge("evictor.used", metric.WithUnit("By"), metric.WithDescription("Memory of the requests that arrive or are served."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.step.Inspect(func() { o.Observe(m.core.Used()) })
			return nil
		}))
	return m
}

// Open returns the account of a new request. It calls onEvict, which must not block and must not call the account,
// if the request gives way to others.
func (m *Memory) Open(onEvict func()) *Account {
	a := &Account{memory: m, ref: Ref(m.lastRef.Add(1)), onEvict: onEvict}
	m.step.Inspect(func() { m.accounts[a.ref] = a })
	return a
}

// handle carries out an action of the core.
func (m *Memory) handle(a Action) {
	switch a := a.(type) {
	case Grant:
		m.accounts[a.Ref].isRefused = false
	case Refuse:
		m.accounts[a.Ref].isRefused = true
		m.refusals.Add(context.Background(), 1)
		m.logger.Warn().Int64("used", m.core.Used()).Int("requests", len(m.accounts)).Msg("no memory is left for a request, it is refused")
	case Evict:
		victim := m.accounts[a.Ref]
		victim.isEvicted.Store(true)
		victim.onEvict()
		m.evictions.Add(context.Background(), 1)
		m.logger.Warn().Int64("bytes", a.Bytes).Int64("used", m.core.Used()).Int("requests", len(m.accounts)).
			Msg("a request that has not arrived completely gives way to others")
	}
}

// Reserve asks for memory for n more bytes. Its errors are *FullError and *EvictedError.
func (a *Account) Reserve(n int64) error {
	if a == nil {
		return nil
	}
	a.memory.step.Submit(Requested{Ref: a.ref, Bytes: n})
	switch {
	case a.isEvicted.Load():
		return &EvictedError{}
	case a.isRefused:
		return &FullError{Bytes: n}
	}
	return nil
}

// Err returns *EvictedError if the request has given way to others.
func (a *Account) Err() error {
	if a != nil && a.isEvicted.Load() {
		return &EvictedError{}
	}
	return nil
}

// Return gives back n bytes.
func (a *Account) Return(n int64) {
	if a != nil {
		a.memory.step.Submit(Returned{Ref: a.ref, Bytes: n})
	}
}

// Complete reports that the request has arrived completely. It returns *EvictedError if it has given way before.
func (a *Account) Complete() error {
	if a == nil {
		return nil
	}
	a.memory.step.Submit(Completed{Ref: a.ref})
	return a.Err()
}

// Release ends the request and gives back its memory. Further calls do nothing.
func (a *Account) Release() {
	if a == nil {
		return
	}
	a.memory.step.Submit(Released{Ref: a.ref})
	a.memory.step.Inspect(func() { delete(a.memory.accounts, a.ref) })
}
