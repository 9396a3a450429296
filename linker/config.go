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
// Plaintext are required. Each function may be nil.
type Config struct {
	Instance      identifier.Instance
	FailureDomain identifier.FailureDomain
	Listen        netip.AddrPort

	// Credentials authenticates this instance to its peers and verifies their certificates.
	Credentials *Credentials
	// Plaintext disables TLS and accepts the name in a peer's Hello without proof. It is
	// for tests on the loopback interface and is rejected with any other Listen address.
	Plaintext bool

	// OnMessage receives each message from a peer. The messages of one session arrive one
	// at a time, except that a BundleOffer can arrive concurrently with another message.
	// OnMessage must not block for long, because it delays all further messages and
	// heartbeats on the stream.
	OnMessage func(Peer, Message)
	// Serve runs a request that a peer forwarded. Nil refuses all requests.
	Serve func(context.Context, router.Request, router.Writer) router.Outcome
	// Bundle returns the signed bundle in force, which is sent to peers that request it.
	// Version zero means that there is none.
	Bundle func() (identifier.BundleVersion, []byte)
	// OnPeersChanged is called after a peer became reachable or unreachable or began to leave.
	OnPeersChanged func()

	// DrainLimit bounds how long Run waits for forwarded requests after its context has
	// ended. Zero means 30 s.
	DrainLimit time.Duration
	// MaxBodyBytes limits the size of a forwarded request's body. Zero means 8 MiB.
	MaxBodyBytes int

	// Rand is the source of the jitter of redials. Nil means a random seed.
	Rand rand.Source
	// Now returns the current time. Nil means time.Now.
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

// A ConfigError reports a field of Config with an invalid value.
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
