package replicator

import "time"

// maxPeerGap is the longest time between the store's answers to two instances for which it counts as
// answering without interruption. An answer that was delayed counts as given when it came, so it is
// shorter than maxContactGap.
const maxPeerGap = 2 * time.Second

// Contact is a time in which the store has answered some replica without interruption. As an action it
// reports what a peer knows, before the changes that the peer returned.
type Contact struct {
	Since time.Time
	Until time.Time // time of the last answer
}

func (Contact) action() {}

// extend returns c with the start of o if that is earlier and no long gap lies between the two.
func (c Contact) extend(o Contact) Contact {
	if o.Since.Before(c.Since) && c.Since.Sub(o.Until) <= maxPeerGap {
		c.Since = o.Since
	}
	return c
}

// Contact returns since when the store has answered this replica, or peers of which it knows, without
// interruption. It returns false if the store does not answer this replica now.
func (c *Core) Contact(now time.Time) (Contact, bool) {
	if !c.listed || c.lost || isLonger(c.answeredAt, now, maxAnswerAge) {
		return Contact{}, false
	}
	own := Contact{Since: c.contactSince, Until: c.answeredAt}
	return own.extend(c.peerContact), true
}

// isLonger reports whether more than d lies between two times, by the monotonic clock or by the time
// of day. Only the latter counts the time for which the process or its machine was suspended.
func isLonger(from, to time.Time, d time.Duration) bool {
	return to.Sub(from) > d || to.Round(0).Sub(from.Round(0)) > d
}
