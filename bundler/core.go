package bundler

import (
	"bytes"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
)

// Core decides which bundle is in force on one instance. It applies a document only if its
// sign-off is valid and its version is higher than the one in force, whatever its source,
// so the version in force never decreases while the process runs. A Core is not safe for
// concurrent use.
type Core struct {
	signers      Signers
	jitter       *rand.Rand
	current      *Document
	restore      restorePlan
	settleTime   time.Duration
	settleEnd    time.Time     // end of the settle time; zero before the first event
	deferredRead *PlatformRead // the latest value read before settleEnd
	lastAlarm    string        // error text of the last refusal with an alarm; empty after a bundle was applied
}

// restorePlan is a planned write of the document in force over an older or absent value of
// the platform.
type restorePlan struct {
	needed           bool
	platformRevision uint64
	platformVersion  identifier.BundleVersion
	restoreAt        time.Time
}

// NewCore returns a Core without a bundle. For settleTime after its first event, the Core
// defers the platform's value and applies only documents from peers. If the platform was
// restored from an older backup, a peer can thus supply a higher version first. The source
// randomizes the times of restores; it must not be shared.
func NewCore(signers Signers, settleTime time.Duration, source rand.Source) *Core {
	return &Core{signers: signers, settleTime: settleTime, jitter: rand.New(source)}
}

// Current returns the document in force, or nil.
func (c *Core) Current() *Document { return c.current }

// Step applies e at time now and returns the resulting actions in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.settleEnd.IsZero() {
		c.settleEnd = now.Add(c.settleTime)
	}
	switch e := e.(type) {
	case Offered:
		return c.handleOffered(e)
	case Accepted:
		d, _ := c.selectNewer(e.Document) // not applied if a later version is in force by now
		return c.apply(d)
	case PlatformRead:
		return c.handlePlatformRead(now, e)
	case Ticked:
		return c.handleTick(now)
	}
	return nil
}

func (c *Core) handleOffered(e Offered) []Action {
	if c.isCurrent(e.Document) {
		return nil
	}
	d, err := c.openNewer(e.Document)
	if err != nil {
		return c.refuse(e.From, err)
	}
	return c.apply(d)
}

func (c *Core) handlePlatformRead(now time.Time, e PlatformRead) []Action {
	c.deferredRead = nil
	if c.current == nil && now.Before(c.settleEnd) {
		c.deferredRead = &e
		return nil
	}
	if c.isCurrent(e.Document) {
		c.restore = restorePlan{}
		return nil
	}
	if e.Document == nil {
		c.planRestore(now, e.Revision, 0)
		return nil
	}
	d, err := c.openNewer(e.Document)
	if outdated, ok := err.(*OutdatedError); ok {
		c.planRestore(now, e.Revision, outdated.Offered)
		return c.refuse("", err)
	}
	c.restore = restorePlan{}
	if err != nil {
		return c.refuse("", err)
	}
	return c.apply(d)
}

// planRestore plans a restore of the platform's value if a bundle is in force here. Each
// instance waits for a random time, so that most instances find the value already restored
// by another one. No restore is planned for a value that this instance cannot verify,
// because the signer may be missing only from its own settings.
func (c *Core) planRestore(now time.Time, platformRevision uint64, platformVersion identifier.BundleVersion) {
	if c.current == nil || c.restore.needed && c.restore.platformRevision == platformRevision {
		return
	}
	wait := time.Duration(c.jitter.Int64N(int64(restoreSpread)))
	c.restore = restorePlan{needed: true, platformRevision: platformRevision, platformVersion: platformVersion, restoreAt: now.Add(wait)}
}

func (c *Core) handleTick(now time.Time) []Action {
	if c.deferredRead != nil && !now.Before(c.settleEnd) {
		return c.handlePlatformRead(now, *c.deferredRead)
	}
	if !c.restore.needed || now.Before(c.restore.restoreAt) {
		return nil
	}
	action := Restore{Revision: c.restore.platformRevision, ReplacedVersion: c.restore.platformVersion, Document: c.current}
	c.restore.restoreAt = now.Add(restoreSpread)
	return []Action{action}
}

func (c *Core) isCurrent(encoded []byte) bool {
	return c.current != nil && bytes.Equal(encoded, c.current.Encoded)
}

// openNewer opens a document and returns the result of selectNewer. The error is an
// *OutdatedError only for a document whose sign-off is valid.
func (c *Core) openNewer(encoded []byte) (*Document, error) {
	d, err := c.signers.Open(encoded)
	if err != nil {
		return nil, err
	}
	return c.selectNewer(d)
}

// selectNewer returns d if its version is higher than the one in force, and nil if d's
// content is in force. Otherwise the error is an *OutdatedError or a *ReusedVersionError.
func (c *Core) selectNewer(d *Document) (*Document, error) {
	if c.current == nil || d.Bundle.Version > c.current.Bundle.Version {
		return d, nil
	}
	inForce := c.current.Bundle.Version
	if d.Bundle.Version == inForce && d.Digest != c.current.Digest {
		return nil, &ReusedVersionError{Version: inForce, Offered: d.Digest, Known: c.current.Digest}
	}
	if d.Bundle.Version < inForce {
		return nil, &OutdatedError{Offered: d.Bundle.Version, InForce: inForce}
	}
	return nil, nil
}

func (c *Core) apply(d *Document) []Action {
	if d == nil {
		return nil
	}
	c.current = d
	c.lastAlarm = ""
	return []Action{Apply{Document: d}}
}

// refuse returns the refusal with err. It raises no alarm if a peer offers an outdated
// document, because that peer only lags and will receive the newer document. It also raises
// none for the same error text as the last alarm.
func (c *Core) refuse(from identifier.Instance, err error) []Action {
	_, outdated := err.(*OutdatedError)
	alarm := (!outdated || from == "") && err.Error() != c.lastAlarm
	if alarm {
		c.lastAlarm = err.Error()
	}
	return []Action{Refuse{From: from, Err: err, Alarm: alarm}}
}
