package runner

import (
	"cmp"
	"math"
	"net"
	"syscall"

	"amaranthmill/acceptor"
)

// newCallersServer returns the server of callers' requests, whose connections have the limits in force.
func (h *hosted) newCallersServer() *trackedServer {
	s := newTrackedServer(h.settings.Listen.Callers.String(), h.forwarder)
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = math.MaxInt32, 0, 0 // the acceptor has the limits
	s.wrap = func(l net.Listener) net.Listener {
		return acceptor.New(l, acceptor.Config{
			Limits: h.callerLimits, Memory: h.memory, MaxConnections: h.settings.MaxCallerConnections(processDescriptors()), Logger: h.logger, Meter: h.meter,
		})
	}
	return s
}

// processDescriptors returns the number of descriptors that the process may open, or zero if it is not known.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// callerLimits returns the limits of the operator's configuration, and those of the settings for what it does not limit.
func (h *hosted) callerLimits() acceptor.Limits {
	s := h.settings.Callers
	out := acceptor.Limits{HeaderBytes: s.HeaderBytes, HeaderTimeout: s.HeaderTimeout.Std(), IdleTimeout: s.IdleTimeout.Std()}
	if c := h.resolver.Configuration(); c != nil {
		out.HeaderBytes = cmp.Or(max(c.Limits.HeaderBytes, 0), out.HeaderBytes)
		out.HeaderTimeout = cmp.Or(max(c.Limits.HeaderTimeout, 0), out.HeaderTimeout)
		out.IdleTimeout = cmp.Or(max(c.Limits.IdleTimeout, 0), out.IdleTimeout)
	}
	return out
}
