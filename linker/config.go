package linker

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/identifier"
	"amaranthmill/router"
)

// Config configures a Linker. Instance, FailureDomain, Listen and either Credentials or
// Plaintext are required; each function may be nil.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	Listen        netip.AddrPort

	// Credentials proves this instance to its peers and checks theirs.
	Credentials *Credentials
	// Plaintext runs without TLS and believes the name that a peer gives. It is for
	// tests on the loopback interface and is refused with any other Listen address.
	Plaintext bool

	// OnMessage receives each message from a peer. The messages of one session come one
	// at a time; OnMessage must not block for long, because it holds back that session.
	OnMessage func(Peer, Message)
	// Serve carries out a request that a peer forwarded. Nil refuses all.
	Serve func(context.Context, router.Request, router.Writer) router.Outcome
	// Bundle returns the signed bundle in force for a peer that asks for it. A version
	// of zero means none.
	Bundle func() (identifier.BundleVersion, []byte)
	// OnPeersChanged is called after a peer became reachable or unreachable or began to leave.
	OnPeersChanged func()

	// DrainLimit bounds how long Run waits for forwarded requests once its context has
	// ended. Zero means 30 s.
	DrainLimit time.Duration
	// MaxBodyBytes is the limit of the size of a forwarded request's body. Zero means 8 MiB.
	MaxBodyBytes int

	// Rand varies the times of reconnects. Nil means a random seed.
	Rand rand.Source
	// Now returns the present time. Nil means time.Now.
	Now    func() time.Time
	Logger zerolog.Logger
	Meter  metric.Meter // nil means no metrics
}

func (c *Config) setDefaults() {
	if c.DrainLimit == 0 {
		c.DrainLimit = 30 * time.Second
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = 8 << 20
	}
	if c.Rand == nil {
		c.Rand = rand.NewPCG(rand.Uint64(), rand.Uint64())
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.OnMessage == nil {
		c.OnMessage = func(Peer, Message) {}
	}
	if c.Serve == nil {
		c.Serve = refuseAll
	}
	if c.Bundle == nil {
		c.Bundle = func() (identifier.BundleVersion, []byte) { return 0, nil }
	}
	if c.OnPeersChanged == nil {
		c.OnPeersChanged = func() {}
	}
	if c.Meter == nil {
		c.Meter = noop.Meter{}
	}
}

func refuseAll(context.Context, router.Request, router.Writer) router.Outcome {
	return router.NotRun{Status: 503, Reason: "notServing", Detail: "this instance serves no forwarded requests"}
}

// A ConfigError says that a field of Config cannot be used.
type ConfigError struct {
	Field    string
	Expected string
}

// Error implements error.
func (e *ConfigError) Error() string {
	return "linker: Config." + e.Field + ": expected " + e.Expected
}

func (c *Config) validate() error {
	if c.Instance == "" {
		return &ConfigError{Field: "Instance", Expected: "a name"}
	}
	if c.FailureDomain == "" {
		return &ConfigError{Field: "FailureDomain", Expected: "a name"}
	}
	if c.Plaintext && !c.Listen.Addr().IsLoopback() {
		return &ConfigError{Field: "Plaintext", Expected: "a loopback address in Listen"}
	}
	if c.Plaintext == (c.Credentials != nil) {
		return &ConfigError{Field: "Credentials", Expected: "either credentials or Plaintext"}
	}
	return nil
}
