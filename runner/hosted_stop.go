package runner

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// shutdownPollInterval is the time between two checks whether the last answers have been sent.
const shutdownPollInterval = 20 * time.Millisecond

// trackedServer is an HTTP server that knows which connections have a request that its handler serves. http.Server.Shutdown waits
// seconds for connections on which no request has arrived, and up to half a second after the last answer.
type trackedServer struct {
	*http.Server
	wrap func(net.Listener) net.Listener // returns the listener to accept from; nil means the one given

	mu    sync.Mutex
	serve map[net.Conn]bool // open connections, with whether the handler has begun to serve a request that has no complete answer
}

// requestConn is a connection that is told when it has a request.
type requestConn interface {
	BeginRequest() error // the head has arrived; its error says why the request must be refused
	EndRequest()         // the answer is complete
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// newTrackedServer returns a server that serves an address with h.
func newTrackedServer(address string, h http.Handler) *trackedServer {
	s := &trackedServer{serve: map[net.Conn]bool{}}
	s.Server = newHTTPServer(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connectionKey{}).(net.Conn); ok {
			s.setServing(conn, true)
			if c, ok := conn.(requestConn); ok && c.BeginRequest() != nil {
				panic(http.ErrAbortHandler) // closes the connection; the request has not run
			}
		}
		h.ServeHTTP(w, r)
	}))
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.ConnState = s.noteState
	return s
}

// ListenAndServe listens on the server's address and serves the connections that it accepts from the wrapped listener.
func (s *trackedServer) ListenAndServe() error {
	l, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	if s.wrap != nil {
		l = s.wrap(l)
	}
	return s.Serve(l)
}

func (s *trackedServer) setServing(c net.Conn, isServing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve[c] = isServing
}

// noteState records the state of a connection. One that is idle has sent its last answer.
func (s *trackedServer) noteState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.setServing(c, false)
	case http.StateIdle:
		if c, ok := c.(requestConn); ok {
			c.EndRequest()
		}
		s.setServing(c, false)
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.serve, c)
	}
}

// count returns the numbers of open connections and of those with a request that is served.
func (s *trackedServer) count() (open, serving int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, isServing := range s.serve {
		if isServing {
			serving++
		}
	}
	return len(s.serve), serving
}

// shutdown accepts no more connections and waits until all requests that are served have their answers. It closes connections on
// which no complete head has arrived by unreadUntil. Its error is that of ctx.
func (s *trackedServer) shutdown(ctx context.Context, unreadUntil time.Time) error {
	go func() { _ = s.Shutdown(ctx) }() // closes the listener and idle connections at once
	tick := time.NewTicker(shutdownPollInterval)
	defer tick.Stop()
	for {
		open, serving := s.count()
		if serving == 0 && (open == 0 || !time.Now().Before(unreadUntil)) {
			return s.Close()
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// shutdownAll shuts servers down at the same time and returns the first error.
func shutdownAll(ctx context.Context, unreadUntil time.Time, servers ...*trackedServer) error {
	ended := make(chan error, len(servers))
	for _, s := range servers {
		go func() { ended <- s.shutdown(ctx, unreadUntil) }()
	}
	var first error
	for range servers {
		first = cmp.Or(first, <-ended)
	}
	return first
}
