package acceptor

import (
	"context"
	"net"
	"sync"
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
	Limits         func() Limits   // in force now; must not block
	Memory         *evictor.Memory // for heads; nil means no bound
	MaxConnections int             // open at a time; zero means no limit
	Logger         zerolog.Logger
	Meter          metric.Meter // nil disables metrics
}

// Listener is a net.Listener whose connections are *Conn. It is safe for concurrent use.
type Listener struct {
	net.Listener
	cfg    Config
	logger zerolog.Logger // logs at most one line in logInterval
	closed metric.Int64Counter

	mu      sync.Mutex // guards the fields below
	core    *Core
	conns   map[Ref]*Conn
	lastRef Ref
}

// New returns a Listener that accepts the connections of l.
func New(l net.Listener, cfg Config) *Listener {
	if cfg.Meter == nil {
		cfg.Meter = noop.NewMeterProvider().Meter("acceptor")
	}
	out := &Listener{Listener: l, cfg: cfg, core: NewCore(cfg.MaxConnections), conns: map[Ref]*Conn{}, logger: cfg.Logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval})}
	out.closed, _ = cfg.Meter.Int64Counter("acceptor.closed", metric.WithDescription("Connections of callers that this instance closed, by reason."))
	_, _ = cfg.Meter.Int64ObservableGauge("acceptor.connections", metric.WithDescription("Open connections of callers."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(out.countOpen()))
			return nil
		}))
	return out
}

func (l *Listener) countOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Open()
}

// Accept implements net.Listener. If there are too many connections, one without a request gives way to the new one, or else a request that has not
// arrived completely. If there is none, the new one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(l, conn)
		victim, mustDisplace := l.open(c)
		if mustDisplace && (l.cfg.Memory == nil || !l.cfg.Memory.Displace()) {
			victim = c
		}
		switch victim {
		case nil:
		case c:
			l.report(c, reasonConnections)
			_ = c.Close() // nothing was sent
			continue
		default:
			l.report(victim, reasonConnections)
			_ = victim.Conn.Close() // the server then closes victim
		}
		return c, nil
	}
}

// open adds a connection. It returns the one that gives way, if any, which may be the new one, and whether a request must give way.
func (l *Listener) open(c *Conn) (victim *Conn, mustDisplace bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRef++
	c.ref = l.lastRef
	l.conns[c.ref] = c
	for _, a := range l.core.Step(time.Now(), Opened{Ref: c.ref}) {
		switch a := a.(type) {
		case Close:
			victim = l.conns[a.Ref]
		case Displace:
			mustDisplace = true
		}
	}
	return victim, mustDisplace
}

// submit applies an event that causes no action.
func (l *Listener) submit(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Step(time.Now(), e)
}

// remove removes a connection that closes.
func (l *Listener) remove(c *Conn) {
	l.submit(Closed{Ref: c.ref})
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c.ref)
}

// reason says why a connection of a caller is closed.
type reason string

// The reasons in logs and metrics.
const (
	reasonHeadTooLarge reason = "headTooLarge"
	reasonHeadTimeout  reason = "headTimeout"
	reasonIdle         reason = "idle"
	reasonMemory       reason = "memory"      // for requests, which is used up
	reasonConnections  reason = "connections" // there are too many
)

// count counts a connection that is closed.
func (l *Listener) count(why reason) {
	l.closed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(why))))
}

// report counts and logs a connection that is closed before its caller expects it.
func (l *Listener) report(c *Conn, why reason) {
	l.count(why)
	l.logger.Warn().Str("reason", string(why)).Stringer("caller", c.RemoteAddr()).Int("open", l.countOpen()).Msg("connection of a caller is closed")
}
