package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/internal/identifier"
	"amaranthmill/limiter"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// Defaults of Config.
const (
	defaultDialTimeout     = time.Second
	defaultIdleConnections = 64
	defaultMaxAnswerBytes  = 16 << 20
)

// Config configures a Dispatcher. The zero value is usable: it serves the targets of
// the local failure domain and makes no claims.
type Config struct {
	Instance        identifier.Instance
	Router          router.Config
	Limiter         limiter.Config
	Forwarder       Forwarder         // nil: nothing is forwarded
	Claimer         Claimer           // nil: keyed calls run without a claim
	Transport       http.RoundTripper // nil: an http.Transport with the two limits below
	DialTimeout     time.Duration     // zero means 1 s
	IdleConnections int               // maximum per endpoint; zero means 64
	MaxAnswerBytes  int               // maximum size of an answer that is buffered until it is complete; zero means 16 MiB
	Meter           metric.Meter      // nil: nothing is measured
	Logger          zerolog.Logger

	// OnSuspicion announces a suspicion to every peer. It must not block or call the
	// Dispatcher. If it is nil, suspicions are not announced.
	OnSuspicion func(linker.Suspicion)
	Now         func() time.Time // nil means time.Now
}

// Forwarder sends a request to a peer in another failure domain and writes the answer
// as it arrives. Its outcome is NotRun only if no endpoint ran the request.
type Forwarder interface {
	Forward(ctx context.Context, to identifier.Instance, req router.Request, w router.Writer) router.Outcome
}

// Claimer claims the key of a non-idempotent call before it is sent.
type Claimer interface {
	// Claim claims key for a call with this digest.
	Claim(ctx context.Context, key ClaimKey, digest [32]byte) ClaimDecision
	// Settle records how the claimed call ended.
	Settle(ctx context.Context, token string, result ClaimResult) error
}

// ClaimKey is a caller's Idempotency-Key in the scope of its client account and service.
type ClaimKey struct {
	Account identifier.ClientAccount
	Service identifier.Service
	Key     string
}

// ClaimDecision is the result of Claimer.Claim: ClaimGranted, ClaimSettled or ClaimDenied.
type ClaimDecision interface{ claimDecision() }

// ClaimGranted permits one run of the call, which Token identifies in Settle. The call is
// not sent at or after SendBefore, unless SendBefore is zero.
type ClaimGranted struct {
	Token      string
	SendBefore time.Time
}

// ClaimSettled has the stored result of an earlier call with the same key.
type ClaimSettled struct{ Result ClaimResult }

// ClaimDenied ends the request with Outcome, a NotRun or an Unknown.
type ClaimDenied struct{ Outcome router.Outcome }

func (ClaimGranted) claimDecision() {}
func (ClaimSettled) claimDecision() {}
func (ClaimDenied) claimDecision()  {}

// ClaimResult is the result of a claimed call. Status, Header and Body are set if Outcome is Answered.
type ClaimResult struct {
	Outcome router.Outcome
	Status  int
	Header  http.Header
	Body    []byte
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleConnections <= 0 {
		c.IdleConnections = defaultIdleConnections
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Meter == nil {
		c.Meter = noop.NewMeterProvider().Meter("")
	}
	if c.Router.Rand == nil {
		c.Router.Rand = rand.NewPCG(xxhash.Sum64String(string(c.Instance)), 1)
	}
	if c.Transport == nil {
		c.Transport = newTransport(c)
	}
	return c
}
