package runner

import (
	"cmp"

	"amaranthmill/acceptor"
)

// newCallersServer returns the server of callers' requests, whose connections have the limits in force.
func (h *hosted) newCallersServer() *trackedServer {
	return newCallersServer(h.settings.Listen.Callers, h.forwarder, acceptor.Config{
		Limits: h.callerLimits, Memory: h.memory, MaxConnections: h.settings.MaxCallerConnections(processDescriptors()), Logger: h.logger, Meter: h.meter,
	})
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
