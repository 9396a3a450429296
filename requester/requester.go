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

// maxStaleAnswers is the maximum number of answers to earlier requests that are skipped for one request.
const maxStaleAnswers = 3

// staleBodyLimit is the maximum number of body bytes that are skipped of one answer to an earlier request.
const staleBodyLimit = 1 << 20

// Config configures a Requester. The zero value is usable.
type Config struct {
	IdentityHeader string        // header field that carries the request's ID; if empty, answers are not matched
	MaxIdle        int           // maximum number of idle connections per address; zero means 16
	IdleTimeout    time.Duration // after which an idle connection is closed, unless its endpoint announces a shorter time; zero means 8 s
	DialTimeout    time.Duration // zero means 400 ms
	UserTimeout    time.Duration // time for which sent bytes may stay unacknowledged; zero means 2 s
}

// Requester sends requests to endpoints. It is safe for concurrent use.
type Requester struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*connection // idle connections by address; the most recently used is last
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
// connection stay unacknowledged for about ackTimeout, and for at least a second.
func NewDialer(ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         ackTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, ackTimeout) },
	}
}

// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, whose value is in milliseconds.
const tcpUserTimeout = 18

// setUserTimeout sets the time after which the kernel closes a connection whose peer does not acknowledge sent bytes.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Send sends r and returns its answer once the header of the answer has arrived. If ctx ends,
// the exchange is aborted, also while the body is read. The errors are *NotSentError and *BrokenError.
func (s *Requester) Send(ctx context.Context, r *Request) (*Answer, error) {
	addr := r.Address.String()
	conn, err := s.connect(ctx, addr, r.NewConnection)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := abortOnDone(ctx, conn)
	writtenBefore := conn.written.Load()
	if err := r.write(conn.out); err != nil {
		stop()
		_ = conn.Close()
		if conn.written.Load() == writtenBefore {
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
		requester: s, addr: addr, conn: conn, body: resp.Body, stopWatch: stop,
	}, nil
}

// read returns the answer to r and skips answers to earlier requests.
func (s *Requester) read(conn *connection, r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxStaleAnswers + 1 {
		resp, err := http.ReadResponse(conn.in, request)
		if err != nil {
			return nil, err
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		conn.readKeepAlive(resp)
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
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, staleBodyLimit)); err != nil {
			return nil, err
		}
	}
	return nil, errTooManyStaleAnswers
}

func isInterim(status int) bool { return status >= 100 && status < 200 }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// connect returns an idle connection that is still usable, or a new connection.
func (s *Requester) connect(ctx context.Context, addr string, dialNew bool) (*connection, error) {
	for !dialNew {
		conn := s.takeIdle(addr)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.expiresAt) && conn.isQuiet() {
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

func (s *Requester) takeIdle(addr string) *connection {
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

// putIdle adds conn to the idle connections, or closes it if its address already has MaxIdle of them.
func (s *Requester) putIdle(addr string, conn *connection) {
	idleTimeout := s.cfg.IdleTimeout
	if conn.peerIdleTimeout > 0 {
		idleTimeout = min(idleTimeout, conn.peerIdleTimeout-keepAliveMargin)
	}
	conn.expiresAt = time.Now().Add(idleTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.idle[addr]) >= s.cfg.MaxIdle {
		_ = conn.Close()
		return
	}
	s.idle[addr] = append(s.idle[addr], conn)
}

// Prune closes the idle connections that have expired.
func (s *Requester) Prune() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, conns := range s.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expiresAt) {
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
