package requester

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
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
	defaultUserTimeout = 4 * time.Second // a live endpoint that is silent for less than two seconds answers one of the keep-alive probes before
)

// maxStaleAnswers is the maximum number of answers to earlier requests that are skipped for one request.
const maxStaleAnswers = 3

// Bounds on the bytes that are read from an endpoint without being passed on.
const (
	headLimit      = 32 << 10 // of the heads of an answer and of the interim and stale answers before it
	staleBodyLimit = 1 << 20  // of the body of one answer to an earlier request
)

// Config configures a Requester. The zero value is usable.
type Config struct {
	IdentityHeader string        // header field that carries the request's ID; if empty, answers are not matched
	MaxIdle        int           // maximum number of idle connections per address; zero means 16
	IdleTimeout    time.Duration // after which an idle connection is closed, unless its endpoint announces a shorter time; zero means 8 s
	DialTimeout    time.Duration // zero means 400 ms
	UserTimeout    time.Duration // time for which sent bytes may stay unacknowledged; zero means 4 s
	SourceAddress  netip.Addr    // from which connections are opened; the zero value leaves the choice to the system
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
	r := &Requester{cfg: cfg, idle: map[string][]*connection{}}
	r.dialer = *NewDialer(cfg.SourceAddress, cfg.UserTimeout)
	r.dialer.Timeout = cfg.DialTimeout
	return r
}

// NewDialer returns a dialer whose connections fail when sent bytes stay unacknowledged for about
// ackTimeout. They also fail when nothing was received for ackTimeout and the last keep-alive
// probe, which is sent each second, is not acknowledged; the kernel ignores the number of
// probes if there is a user timeout. Connections are opened from source, unless that is the zero value.
func NewDialer(source netip.Addr, ackTimeout time.Duration) *net.Dialer {
	d := &net.Dialer{
		Timeout:         ackTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, ackTimeout) },
	}
	if source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return d
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

// Send sends req and returns its answer once the header of the answer has arrived. If ctx ends,
// the exchange is aborted, also while the body is read. The errors are *NotSentError and *BrokenError.
func (r *Requester) Send(ctx context.Context, req *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotSentError{Cause: err}
	}
	addr := req.Address.String()
	conn, err := r.connect(ctx, addr, req)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := abortOnDone(ctx, conn)
	writtenBefore := conn.written.Load()
	if err := req.write(conn.out); err != nil {
		stop()
		conn.abort()
		if conn.written.Load() == writtenBefore {
			return nil, &NotSentError{Cause: err}
		}
		return nil, &BrokenError{Cause: err}
	}
	resp, err := r.read(conn, req)
	if err != nil {
		stop()
		conn.abort()
		return nil, &BrokenError{Cause: err}
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Undelimited: isUndelimited(resp), requester: r, addr: addr, conn: conn, body: resp.Body, stopWatch: stop,
	}, nil
}

// read returns the answer to req and skips answers to earlier requests. An answer without an ID may be a copy of a refusal
// of an earlier request, unless it is the first one on its connection. The error may be *limitreader.LimitError or *StatusError.
func (r *Requester) read(conn *connection, req *Request) (*http.Response, error) {
	request := &http.Request{Method: req.Method}
	conn.limit.SetLimit("head of an answer", headLimit)
	defer conn.limit.RemoveLimit()
	for range maxStaleAnswers + 1 {
		resp, err := http.ReadResponse(conn.in, request)
		if err != nil {
			return nil, cmp.Or(conn.limit.Err(), err)
		}
		if !IsStatus(resp.StatusCode) {
			return nil, &StatusError{Status: resp.StatusCode}
		}
		if isInterim(resp.StatusCode) {
			continue
		}
		conn.readKeepAlive(resp)
		id := ""
		if r.cfg.IdentityHeader != "" && req.ID != "" {
			id = resp.Header.Get(r.cfg.IdentityHeader)
			if id == req.ID || (id == "" && !isSuccess(resp.StatusCode) && !conn.isReused) {
				conn.recordAnswer(req.ID, resp.StatusCode)
				return resp, nil
			}
		} else {
			return resp, nil
		}
		if id == "" || !conn.reusable || isUndelimited(resp) {
			return nil, &MismatchedAnswerError{Status: resp.StatusCode, ID: id}
		}
		conn.limit.SetLimit("body of a stale answer", staleBodyLimit)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, cmp.Or(conn.limit.Err(), err)
		}
		conn.limit.SetLimit("head of an answer", headLimit)
	}
	return nil, errTooManyStaleAnswers
}

// isUndelimited reports whether the body of an answer ends with its connection.
func isUndelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// IsStatus reports whether HTTP has statuses of the class of one (RFC 9110, section 15).
func IsStatus(status int) bool { return status >= 100 && status < 600 }

func isInterim(status int) bool { return status >= 100 && status < 200 }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// connect returns an idle connection that is still usable for req, or a new connection. A connection on which the same
// request was refused is not used for it: a second copy of the refusal could not be told from the answer.
func (r *Requester) connect(ctx context.Context, addr string, req *Request) (*connection, error) {
	for !req.NewConnection {
		conn := r.takeIdle(addr)
		if conn == nil {
			break
		}
		if conn.hasRefused(req.ID) {
			r.putIdle(addr, conn)
			break
		}
		if time.Now().Before(conn.expiresAt) && conn.isQuiet() {
			conn.isReused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := r.dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.dialed++
	r.mu.Unlock()
	return newConnection(conn), nil
}

func (r *Requester) takeIdle(addr string) *connection {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := r.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	r.idle[addr] = conns[:len(conns)-1]
	return conn
}

// putIdle adds conn to the idle connections, or closes it if its address already has MaxIdle of them.
func (r *Requester) putIdle(addr string, conn *connection) {
	idleTimeout := r.cfg.IdleTimeout
	if conn.peerIdleTimeout > 0 {
		idleTimeout = min(idleTimeout, conn.peerIdleTimeout-keepAliveMargin)
	}
	conn.expiresAt = time.Now().Add(idleTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.idle[addr]) >= r.cfg.MaxIdle {
		_ = conn.Close()
		return
	}
	r.idle[addr] = append(r.idle[addr], conn)
}

// AcceptsConnections reports whether addr accepts a new connection before ctx ends. It opens a
// connection and closes it.
func (r *Requester) AcceptsConnections(ctx context.Context, addr netip.AddrPort) bool {
	conn, err := r.dialer.DialContext(ctx, "tcp4", addr.String())
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Prune closes the idle connections that have expired.
func (r *Requester) Prune() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for addr, conns := range r.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if r.idle[addr] = kept; len(kept) == 0 {
			delete(r.idle, addr)
		}
	}
}

// Dialed returns the number of connections opened so far.
func (r *Requester) Dialed() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dialed
}
