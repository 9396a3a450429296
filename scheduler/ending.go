package scheduler

import "time"

// Ending is how an attempt ended: Completed, NotSent, Refused, PeerRefused, Failed, Broken, Abandoned or Expired.
type Ending interface{ ending() }

// Completed means that the caller received the complete answer, or that it is held for the caller.
type Completed struct{}

// NotSent means that no byte of the request was sent.
type NotSent struct{}

// Refused means that the endpoint itself answered that it did not run the request.
type Refused struct {
	Status      int
	Misdirected bool // the endpoint no longer serves requests at its address
}

// PeerRefused means that a peer answered that the request has not run. Nothing of it goes on there.
type PeerRefused struct {
	Reason     Reason
	RetryAfter time.Duration // after which the peer would have its caller retry; zero if it does not say so
}

// Failed means that the endpoint answered with its own error, which can be passed through to the caller.
type Failed struct{ Status int }

// Broken means that no complete and valid answer was received and that the request may have run.
type Broken struct{}

// Abandoned means that an Abandon action ended the attempt. It has no effect, because the
// request went on without the attempt when the action was issued.
type Abandoned struct{}

// Expired means that the deadline passed during the attempt.
type Expired struct{}

func (Completed) ending()   {}
func (NotSent) ending()     {}
func (Refused) ending()     {}
func (PeerRefused) ending() {}
func (Failed) ending()      {}
func (Broken) ending()      {}
func (Abandoned) ending()   {}
func (Expired) ending()     {}

// EndingName returns the name of an ending in logs and metrics.
func EndingName(e Ending) string {
	switch e.(type) {
	case Completed:
		return "whole"
	case NotSent:
		return "notSent"
	case Refused:
		return "refused"
	case PeerRefused:
		return "peerRefused"
	case Failed:
		return "failed"
	case Broken:
		return "broken"
	case Abandoned:
		return "abandoned"
	case Expired:
		return "expired"
	}
	return ""
}
