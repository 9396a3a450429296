package runner

import (
	"time"

	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// configurationInterval is the time between two large configurations that are put in force. Decoding 1,640
// routes takes some 5 ms of a whole core, which is 40 ms at 0.134 cores. With the two watches and the fetch between
// the store and an instance, a version is in force within 1.5 s.
const configurationInterval = 400 * time.Millisecond

// configurationPace bounds how often a large configuration is put in force. Its zero value is ready for use.
// The mutex of the view guards it.
type configurationPace struct {
	nextAt  time.Time // from when the next large one may be put in force
	waiting *storeclient.Change
	timer   *time.Timer // applies waiting; nil before the first
}

// paceConfiguration puts a configuration in force, at once if it is small or the last large one is old enough.
// Otherwise it waits, and a newer one takes its place in the meantime. v.mu is held.
func (v *view) paceConfiguration(c storeclient.Change) {
	now := time.Now()
	isLarge := !c.Deleted && len(c.Value) > replicator.LargeSize
	if !isLarge || !now.Before(v.pace.nextAt) {
		v.pace.waiting = nil
		v.applyConfiguration(c)
		if isLarge {
			v.pace.nextAt = time.Now().Add(configurationInterval)
		}
		return
	}
	isFirst := v.pace.waiting == nil
	v.pace.waiting = &c
	switch {
	case v.pace.timer == nil:
		v.pace.timer = time.AfterFunc(v.pace.nextAt.Sub(now), v.applyWaiting)
	case isFirst:
		v.pace.timer.Reset(v.pace.nextAt.Sub(now))
	}
}

// applyWaiting puts the configuration in force that waits, if there is one.
func (v *view) applyWaiting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c := v.pace.waiting; c != nil {
		v.paceConfiguration(*c)
	}
}

// stopPace drops the configuration that waits.
func (v *view) stopPace() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.pace.waiting = nil
	if v.pace.timer != nil {
		v.pace.timer.Stop()
	}
}
