package bundler

import (
	"bytes"
	"math/rand/v2"
	"time"

	"amaranthmill/internal/identifier"
)

// Core decides which bundle is in force on one instance. It applies only signed
// documents of a higher version than the one in force, whoever offers them, so the
// version in force never goes down while the process lives. A Core is not safe for
// concurrent use.
type Core struct {
	signers  Signers
	jitter   *rand.Rand
	current  *Document
	platform platformState
	settle   time.Duration
	settled  time.Time     // when the platform's value counts without a bundle in force; zero before the first event
	held     *PlatformRead // until then
	alarmed  string        // the last alarm's text
}

// platformState is what the platform holds that has to be restored.
type platformState struct {
	behind    bool
	revision  uint64
	version   identifier.BundleVersion
	restoreAt time.Time
}

// NewCore returns a Core without a bundle. For the time settle after its first event it
// leaves the platform's value aside, so that a peer with a higher version comes first if
// the platform was set back. The source spreads the instances' writes in time; it must
// not be shared.
func NewCore(signers Signers, settle time.Duration, source rand.Source) *Core {
	return &Core{signers: signers, settle: settle, jitter: rand.New(source)}
}

// Current returns the document in force, or nil.
func (c *Core) Current() *Document { return c.current }

// Step applies e at now and returns what is to be done, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	if c.settled.IsZero() {
		c.settled = now.Add(c.settle)
	}
	switch e := e.(type) {
	case Offered:
		return c.offered(e)
	case Accepted:
		d, _ := c.higher(e.Document) // a later version may be in force by now
		return c.apply(d)
	case PlatformRead:
		return c.platformRead(now, e)
	case Ticked:
		return c.ticked(now)
	}
	return nil
}

func (c *Core) offered(e Offered) []Action {
	if c.isCurrent(e.Document) {
		return nil
	}
	d, err := c.accept(e.Document)
	if err != nil {
		return c.refuse(e.From, err)
	}
	return c.apply(d)
}

func (c *Core) platformRead(now time.Time, e PlatformRead) []Action {
	c.held = nil
	if c.current == nil && now.Before(c.settled) {
		c.held = &e
		return nil
	}
	if c.isCurrent(e.Document) {
		c.platform = platformState{}
		return nil
	}
	if e.Document == nil {
		c.planRestore(now, e.Revision, 0)
		return nil
	}
	d, err := c.accept(e.Document)
	if outdated, ok := err.(*OutdatedError); ok {
		c.planRestore(now, e.Revision, outdated.Offered)
		return c.refuse("", err)
	}
	c.platform = platformState{}
	if err != nil {
		return c.refuse("", err)
	}
	return c.apply(d)
}

// planRestore has the platform's value rewritten if a bundle is in force here. Each
// instance waits for a time of its own, so that most find it done by another. A value
// that this instance cannot verify is left alone: a signer may be missing in its settings.
func (c *Core) planRestore(now time.Time, revision uint64, was identifier.BundleVersion) {
	if c.current == nil || c.platform.behind && c.platform.revision == revision {
		return
	}
	wait := time.Duration(c.jitter.Int64N(int64(restoreSpread)))
	c.platform = platformState{behind: true, revision: revision, version: was, restoreAt: now.Add(wait)}
}

func (c *Core) ticked(now time.Time) []Action {
	if c.held != nil && !now.Before(c.settled) {
		return c.platformRead(now, *c.held)
	}
	if !c.platform.behind || now.Before(c.platform.restoreAt) {
		return nil
	}
	a := Restore{Revision: c.platform.revision, ReplacedVersion: c.platform.version, Document: c.current}
	c.platform.restoreAt = now.Add(restoreSpread)
	return []Action{a}
}

func (c *Core) isCurrent(encoded []byte) bool {
	return c.current != nil && bytes.Equal(encoded, c.current.Encoded)
}

// accept opens a document and returns what higher does. The error is an *OutdatedError
// only for a document whose sign-off counts.
func (c *Core) accept(encoded []byte) (*Document, error) {
	d, err := c.signers.Open(encoded)
	if err != nil {
		return nil, err
	}
	return c.higher(d)
}

// higher returns d if its version is above the one in force, and nil if d's content is in
// force. Otherwise the error is an *OutdatedError or a *ReusedVersionError.
func (c *Core) higher(d *Document) (*Document, error) {
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
	c.alarmed = ""
	return []Action{Apply{Document: d}}
}

// refuse reports err. An outdated offer of a peer is ordinary: it is behind and will be sent the newer one.
func (c *Core) refuse(from identifier.Instance, err error) []Action {
	_, outdated := err.(*OutdatedError)
	alarm := (!outdated || from == "") && err.Error() != c.alarmed
	if alarm {
		c.alarmed = err.Error()
	}
	return []Action{Refuse{From: from, Err: err, Alarm: alarm}}
}
