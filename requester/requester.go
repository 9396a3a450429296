package requester

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"amaranthmill/internal/defaulter"
)

// Defaults of Config.
const (
	defaultMaxIdle     = 16
	defaultIdleTimeout = 8 * time.Second
	defaultDialTimeout = 400 * time.Millisecond
	defaultUserTimeout = 2 * time.Second
)

// maxForeign bounds the answers to earlier requests that are read past for one request.
const maxForeign = 3

// foreignBodyLimit bounds the bytes that are read past of one answer to an earlier request.
const foreignBodyLimit = 1 << 20

// Config configures a Requester. The zero value is usable.
type Config struct {
	IdentityHeader string        // header field by which answers are matched; empty matches none
	MaxIdle        int           // idle connections kept for one address; zero means 16
	IdleTimeout    time.Duration // after which an idle connection is closed, unless its endpoint says less; zero means 8 s
	DialTimeout    time.Duration // zero means 400 ms
	UserTimeout    time.Duration // that sent bytes may stay unacknowledged; zero means 2 s
}

// Requester sends requests. It is safe for concurrent use.
type Requester struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*connection // by address; the last one was used last
	dialed int64
}

// New returns a Requester for cfg.
func New(cfg Config) *Requester {
	defaulter.Set(&cfg.MaxIdle, defaultMaxIdle)
	defaulter.Set(&cfg.IdleTimeout, defaultIdleTimeout)
	defaulter.Set(&cfg.DialTimeout, defaultDialTimeout)
	defaulter.Set(&cfg.UserTimeout, defaultUserTimeout)
	s := &Requester{cfg: cfg, idle: map[string][]*connection{}}
	s.dialer = *NewDialer(cfg.UserTimeout)
	s.dialer.Timeout = cfg.DialTimeout
	return s
}

// NewDialer returns a dialer whose connections fail when sent bytes or probes of an idle
// connection stay unacknowledged for about silence, and at least for a second.
func NewDialer(silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         silence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, silence) },
	}
}

// tcpUserTimeout is the socket option of that name, in milliseconds.
const tcpUserTimeout = 18

// setUserTimeout sets the time after which the kernel gives up a connection whose peer is silent.
func setUserTimeout(raw syscall.RawConn, silence time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Send sends r and returns its answer once its header is there. Ending ctx ends the
// exchange, also while the body is read. Its errors are *NotSentError and *BrokenError.
func (s *Requester) Send(ctx context.Context, r *Request) (*Answer, error) {
	addr := r.Address.String()
	conn, err := s.connect(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := watch(ctx, conn)
	before := conn.written.Load()
	if err := r.write(conn.out); err != nil {
		stop()
		_ = conn.Close()
		if conn.written.Load() == before {
			return nil, &NotSentError{Cause: err}
		}
		return nil, &BrokenError{Cause: err}
	}
	resp, err := s.read(conn, r)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &BrokenError{Cause: err}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		requester: s, addr: addr, conn: conn, body: resp.Body, stop: stop,
	}, nil
}

// read returns the answer to r and reads past answers to earlier requests.
func (s *Requester) read(conn *connection, r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for range maxForeign + 1 {
		resp, err := http.ReadResponse(conn.in, asked)
		if err != nil {
			return nil, err
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		conn.note(resp)
		id := ""
		if s.cfg.IdentityHeader != "" && r.ID != "" {
			id = resp.Header.Get(s.cfg.IdentityHeader)
			if id == r.ID || (id == "" && !isSuccess(resp.StatusCode)) {
				return resp, nil
			}
		} else {
			return resp, nil
		}
		if id == "" || !conn.reusable || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, &MismatchedAnswerError{Status: resp.StatusCode, ID: id}
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, foreignBodyLimit)); err != nil {
			return nil, err
		}
	}
	return nil, errTooMany
}

func isInterim(status int) bool { return status >= 100 && status < 200 }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// connect returns an idle connection that is fit for use, or a new one.
func (s *Requester) connect(ctx context.Context, addr string, fresh bool) (*connection, error) {
	for !fresh {
		conn := s.take(addr)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expires) && conn.isQuiet() {
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := s.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.dialed++
	s.mu.Unlock()
	return newConnection(conn), nil
}

func (s *Requester) take(addr string) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := s.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	s.idle[addr] = conns[:len(conns)-1]
	return conn
}

// keep puts conn among the idle ones, or closes it if there are enough.
func (s *Requester) keep(addr string, conn *connection) {
	idleFor := s.cfg.IdleTimeout
	if conn.idleFor > 0 {
		idleFor = min(idleFor, conn.idleFor-keepAliveMargin)
	}
	conn.expires = time.Now().Add(idleFor)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[addr]) >= s.cfg.MaxIdle {
		_ = conn.Close()
		return
	}
	s.idle[addr] = append(s.idle[addr], conn)
}

// Prune closes the idle connections whose time is over.
func (s *Requester) Prune() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, conns := range s.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if s.idle[addr] = kept; len(kept) == 0 {
			delete(s.idle, addr)
		}
	}
}

// Dialed returns the number of connections opened so far.
func (s *Requester) Dialed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialed
}
