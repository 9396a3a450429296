package runner

import (
	"math"
	"net"
	"net/http"
	"net/netip"
	"syscall"

	"amaranthmill/acceptor"
)

// newCallersServer returns a server of callers' requests, whose connections have the limits of cfg.
func newCallersServer(address netip.AddrPort, h http.Handler, cfg acceptor.Config) *trackedServer {
	s := newTrackedServer(address.String(), h)
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = math.MaxInt32, 0, 0 // the acceptor has the limits
	s.wrap = func(l net.Listener) net.Listener { return acceptor.New(l, cfg) }
	return s
}

// newCallersServer returns the server of callers' requests, whose connections have the limits of the settings.
func (i *instance) newCallersServer() *trackedServer {
	c := i.settings.Callers
	limits := acceptor.Limits{HeaderBytes: c.HeaderBytes, HeaderTimeout: c.HeaderTimeout.Std(), IdleTimeout: c.IdleTimeout.Std()}
	return newCallersServer(i.settings.Listen.Callers, i.server.Handler(), acceptor.Config{
		Limits: func() acceptor.Limits { return limits }, Memory: i.memory, MaxConnections: c.ConnectionLimit(processDescriptors()), Logger: i.logger, Meter: i.meter,
	})
}

// processDescriptors returns the number of descriptors that the process may open, or zero if it is not known.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}
