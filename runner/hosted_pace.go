package runner

import (
	"slices"
	"time"

	"amaranthmill/replicator"
)

// configurationInterval is the time between two large configurations that are put in force. Decoding 1,640
// routes takes some 5 ms of a whole core, which is 40 ms at 0.134 cores. With the two watches and the fetch between
// the store and an instance, a version is in force within 1.5 s.
const configurationInterval = 400 * time.Millisecond

// configurationPace bounds how often a large configuration is put in force. Its zero value is ready for use.
// The mutex of the view guards it.
type configurationPace struct {
	nextAt  time.Time             // from when the next large one may be put in force
	waiting []configurationChange // large ones in order of arrival; the older ones are fallbacks for newer ones that can't be decoded
	timer   *time.Timer           // applies the newest valid one of waiting; nil before the first
}

// paceConfiguration puts a configuration in force, at once if it is small or the last large one is old enough.
// Otherwise it waits, and a newer valid one takes its place in the meantime. A deletion leaves those that wait.
// v.mu is held.
func (v *view) paceConfiguration(c configurationChange) {
	now := time.Now()
	switch {
	case c.Deleted:
		v.applyConfiguration(c)
		return
	case len(c.Value) <= replicator.LargeSize:
		if v.applyConfiguration(c) {
			v.countSuperseded(v.pace.waiting)
			v.pace.waiting = nil
		}
		return
	}
	c.arrivedAt = now
	v.pace.waiting = append(v.pace.waiting, c)
	switch {
	case !now.Before(v.pace.nextAt):
		v.applyNewest()
	case v.pace.timer == nil:
		v.pace.timer = time.AfterFunc(v.pace.nextAt.Sub(now), v.applyWaiting)
	case len(v.pace.waiting) == 1:
		v.pace.timer.Reset(v.pace.nextAt.Sub(now))
	}
}

// applyNewest puts the newest valid configuration of those that wait in force. v.mu is held.
func (v *view) applyNewest() {
	for i, c := range slices.Backward(v.pace.waiting) {
		if v.applyConfiguration(c) {
			v.countSuperseded(v.pace.waiting[:i])
			break
		}
	}
	v.pace.waiting = nil
	v.pace.nextAt = time.Now().Add(configurationInterval)
}

// applyWaiting puts a configuration in force that waits, if there is one and it is due.
func (v *view) applyWaiting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.pace.waiting) > 0 && !time.Now().Before(v.pace.nextAt) {
		v.applyNewest()
	}
}

// stopPace drops the configurations that wait.
func (v *view) stopPace() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pace.waiting = nil
	if v.pace.timer != nil {
		v.pace.timer.Stop()
	}
}
