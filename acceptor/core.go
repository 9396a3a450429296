package acceptor

import (
	"container/list"
	"time"
)

// Ref identifies one connection at one instance.
type Ref uint64

// Event is an input of a Core: Opened, Waited, Received or Closed.
type Event interface{ event() }

// Opened adds a connection, which waits for its first request.
type Opened struct{ Ref Ref }

// Waited reports that a connection has no request from now on.
type Waited struct{ Ref Ref }

// Received reports that a connection receives or serves a request from now on.
type Received struct{ Ref Ref }

// Closed removes a connection.
type Closed struct{ Ref Ref }

func (Opened) event()   {}
func (Waited) event()   {}
func (Received) event() {}
func (Closed) event()   {}

// Action is what a Core decides: Close or Displace.
type Action interface{ action() }

// Close closes a connection without a request, which gives way to a new one or is the new one itself. The Core has removed it.
type Close struct{ Ref Ref }

// Displace asks that a request which has not arrived completely gives way to a new connection, because each other connection has a
// request. If there is none, the new connection must be closed.
type Displace struct{ Ref Ref }

func (Close) action()    {}
func (Displace) action() {}

// Core is the deterministic core of the package: it decides which connection gives way when there are too many. It is not safe for concurrent use. The
// slice that Step returns is valid until the next Step.
type Core struct {
	limit   int
	open    map[Ref]*list.Element // element of waiting, or nil while the connection has a request
	waiting *list.List            // of Ref, the one that has waited for longest first
	actions []Action
}

// displacedPart is the part of the limit by which more connections may be open, because those whose requests give way close only after
// their answers.
const displacedPart = 8

// NewCore returns a Core for at most limit open connections; zero means no limit.
func NewCore(limit int) *Core {
	return &Core{limit: limit, open: map[Ref]*list.Element{}, waiting: list.New()}
}

// Open returns the number of open connections.
func (c *Core) Open() int { return len(c.open) }

// Step applies e and returns the actions that it causes. The time does not matter.
func (c *Core) Step(_ time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	switch e := e.(type) {
	case Opened:
		c.handleOpened(e.Ref)
	case Waited:
		if _, ok := c.open[e.Ref]; ok {
			c.removeWaiting(e.Ref)
			c.open[e.Ref] = c.waiting.PushBack(e.Ref)
		}
	case Received:
		if _, ok := c.open[e.Ref]; ok {
			c.removeWaiting(e.Ref)
		}
	case Closed:
		c.remove(e.Ref)
	}
	return c.actions
}

func (c *Core) handleOpened(ref Ref) {
	c.open[ref] = c.waiting.PushBack(ref)
	first := c.waiting.Front().Value.(Ref)
	switch {
	case c.limit <= 0 || len(c.open) <= c.limit:
	case first == ref && len(c.open) <= c.limit+c.limit/displacedPart+1:
		c.actions = append(c.actions, Displace{Ref: ref})
	default:
		c.remove(first)
		c.actions = append(c.actions, Close{Ref: first})
	}
}

// removeWaiting makes an open connection one that has a request.
func (c *Core) removeWaiting(ref Ref) {
	if e := c.open[ref]; e != nil {
		c.waiting.Remove(e)
		c.open[ref] = nil
	}
}

func (c *Core) remove(ref Ref) {
	c.removeWaiting(ref)
	delete(c.open, ref)
}
