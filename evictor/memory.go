package evictor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
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
	return "evictor: the request had not arrived completely when its memory or its connection was needed for others"
}

// MemoryConfig configures a Memory. The zero value is usable.
type MemoryConfig struct {
	Config
	Logger zerolog.Logger
	Meter  metric.Meter // nil disables metrics
}

// Memory is the memory for the requests that an instance receives. It is safe for concurrent use.
type Memory struct {
	logger    zerolog.Logger // logs at most one line in logInterval
	refusals  metric.Int64Counter
	evictions metric.Int64Counter

	mu       sync.Mutex // guards the fields below
	core     *Core
	accounts map[Ref]*Account // until they are released; each request of the core has one
	lastRef  Ref
}

// Account is the memory of one request. Its methods may be called on nil, which has no bound. It is safe for concurrent use.
type Account struct {
	memory    *Memory
	ref       Ref
	onEvict   func()
	isEvicted bool // guarded by memory.mu
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
	m.refusals, _ = cfg.Meter.Int64Counter("evictor.refusals", metric.WithDescription("Requests that got no memory."))
	m.evictions, _ = cfg.Meter.Int64Counter("evictor.evictions", metric.WithDescription("Requests that gave way to others before they had arrived completely."))
	_, _ = cfg.Meter.Int64ObservableGauge("evictor.used", metric.WithUnit("By"), metric.WithDescription("Memory of the requests that arrive or are served."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			m.mu.Lock()
			defer m.mu.Unlock()
			o.Observe(m.core.Used())
			return nil
		}))
	return m
}

// Open returns the account of a new request. It calls onEvict, which must not block and must not call the account,
// if the request gives way to others.
func (m *Memory) Open(onEvict func()) *Account {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastRef++
	a := &Account{memory: m, ref: m.lastRef, onEvict: onEvict}
	m.accounts[a.ref] = a
	return a
}

// Displace makes the request that has been arriving for longest give way, because its connection is needed for
// others. It returns false if no request can give way.
func (m *Memory) Displace() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.step(Displaced{}).(Evict)
	return ok
}

// step applies e and carries out the actions that it causes. It returns the last one, or nil. m.mu is held.
func (m *Memory) step(e Event) (last Action) {
	for _, a := range m.core.Step(time.Now(), e) {
		m.handle(a)
		last = a
	}
	return last
}

// handle carries out an action of the core. m.mu is held.
func (m *Memory) handle(a Action) {
	switch a := a.(type) {
	case Refuse:
		m.refusals.Add(context.Background(), 1)
		m.logger.Warn().Int64("used", m.core.Used()).Int("requests", len(m.accounts)).Msg("no memory is left for a request, it is refused")
	case Evict:
		victim := m.accounts[a.Ref]
		victim.isEvicted = true
		victim.onEvict()
		m.evictions.Add(context.Background(), 1)
		m.logger.Warn().Int64("bytes", a.Bytes).Int64("used", m.core.Used()).Int("requests", len(m.accounts)).
			Msg("a request that has not arrived completely gives way to others")
	}
}

// Reserve asks for memory for n more bytes. Its errors are *FullError and *EvictedError, the latter also after Release: the connection of a
// request may be closed while it is read.
func (a *Account) Reserve(n int64) error {
	if a == nil {
		return nil
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.isEvicted || m.accounts[a.ref] == nil {
		return &EvictedError{}
	}
	if _, isRefused := m.step(Requested{Ref: a.ref, Bytes: n}).(Refuse); isRefused {
		return &FullError{Bytes: n}
	}
	return nil
}

// Return gives back n bytes.
func (a *Account) Return(n int64) {
	if a == nil {
		return
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(Returned{Ref: a.ref, Bytes: n})
}

// Complete reports that the request has arrived completely. It returns *EvictedError if it has given way before.
func (a *Account) Complete() error {
	if a == nil {
		return nil
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.isEvicted {
		return &EvictedError{}
	}
	m.step(Completed{Ref: a.ref})
	return nil
}

// Release ends the request and gives back its memory. Further calls do nothing.
func (a *Account) Release() {
	if a == nil {
		return
	}
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step(Released{Ref: a.ref})
	delete(m.accounts, a.ref)
}
