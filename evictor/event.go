package evictor

// Ref identifies one request, or the head of one, at one instance.
type Ref uint64

// Event is an input of a Core: Requested, Returned, Completed, Released or Displaced.
type Event interface{ event() }

// Requested asks for memory for a request. The first one adds the request, which arrives from then on.
type Requested struct {
	Ref   Ref
	Bytes int64
}

// Returned gives back part of the memory of a request.
type Returned struct {
	Ref   Ref
	Bytes int64
}

// Completed reports that a request has arrived completely, so that it no longer gives way.
type Completed struct{ Ref Ref }

// Released ends a request and gives back all its memory.
type Released struct{ Ref Ref }

// Displaced asks that the request which has been arriving for longest gives way, whatever its memory, because its connection is
// needed for others.
type Displaced struct{}

func (Requested) event() {}
func (Returned) event()  {}
func (Completed) event() {}
func (Released) event()  {}
func (Displaced) event() {}

// Action is what a Core decides: Grant, Refuse or Evict.
type Action interface{ action() }

// Grant gives a request the memory that it has asked for.
type Grant struct{ Ref Ref }

// Refuse gives a request no more memory. What it has stays its own until Released.
type Refuse struct{ Ref Ref }

// Evict takes the memory of a request that has not arrived completely. The request must end.
type Evict struct {
	Ref   Ref
	Bytes int64
}

func (Grant) action()  {}
func (Refuse) action() {}
func (Evict) action()  {}
