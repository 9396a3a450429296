package acceptor

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"amaranthmill/evictor"
)

// logInterval is the shortest time between two log lines about connections that were closed.
const logInterval = time.Second

// Limits bound what callers may send before their requests are served. A limit of zero is none.
type Limits struct {
	HeaderBytes   int           // of one head
	HeaderTimeout time.Duration // from the first byte of a head to its last
	IdleTimeout   time.Duration // until the first byte of a head, from the start of a connection or the answer before
}

// Config configures a Listener. Limits is required.
type Config struct {
	Limits func() Limits   // in force now; must not block
	Memory *evictor.Memory // for heads; nil means no bound
	Logger zerolog.Logger
	Meter  metric.Meter // nil disables metrics
}

// Listener is a net.Listener whose connections are *Conn. It is safe for concurrent use.
type Listener struct {
	net.Listener
	cfg    Config
	logger zerolog.Logger // logs at most one line in logInterval
	closed metric.Int64Counter
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, cfg Config) *Listener {
	if cfg.Meter == nil {
		cfg.Meter = noop.NewMeterProvider().Meter("acceptor")
	}
	out := &Listener{Listener: l, cfg: cfg, logger: cfg.Logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval})}
	out.closed, _ = cfg.Meter.Int64Counter("acceptor.closed", metric.WithDescription("Connections of callers that this instance closed, by reason."))
	return out
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(l, conn), nil
}

// reason says why a connection of a caller is closed.
type reason string

// The reasons in logs and metrics.
const (
	reasonHeadTooLarge reason = "headTooLarge"
	reasonHeadTimeout  reason = "headTimeout"
	reasonIdle         reason = "idle"
	reasonMemory       reason = "memory" // for requests, which is used up
)

// count counts a connection that is closed.
func (l *Listener) count(why reason) {
	l.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(why))))
}

// report counts and logs a connection that is closed although its caller was sending.
func (l *Listener) report(c *Conn, why reason) {
	l.count(why)
	l.logger.Warn().Str("reason", string(why)).Stringer("caller", c.RemoteAddr()).Int("headBytes", c.headBytes).Msg("connection of a caller is closed")
}
