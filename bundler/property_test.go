package bundler

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// TestMain fixes the seed of property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260105") // rapid defines the flag
	os.Exit(m.Run())
}

const propertyInstances = 3

// fleetModel runs several instances through random calls of operators, outages, lost
// answers, replays, restarts and backups, and holds the state that the checked invariants
// refer to.
type fleetModel struct {
	platform        *faker.Platform
	instances       [propertyInstances]*instance
	restoresBackups bool // whether the event "backup" has an effect

	highestVersions   [propertyInstances]identifier.BundleVersion // highest version in force since the last restart, by instance
	proposed          []identifier.BundleVersion
	signedDocuments   [][]byte                                // documents with a valid sign-off
	possiblyAccepted  map[Digest]bool                         // accepted, or possibly accepted
	definitelyRefused map[Digest]bool                         // definitely not accepted, without a later sign-off
	accepted          map[identifier.BundleVersion]acceptance // seen in force on any instance
	forged            int
}

// acceptance is the content of a version that was seen in force, and its previous version.
type acceptance struct {
	digest   Digest
	previous identifier.BundleVersion
}

func newFleetModel(restoresBackups bool) *fleetModel {
	m := &fleetModel{platform: &faker.Platform{}, restoresBackups: restoresBackups, possiblyAccepted: map[Digest]bool{}, definitelyRefused: map[Digest]bool{}, accepted: map[identifier.BundleVersion]acceptance{}}
	for i := range m.instances {
		m.restart(i)
	}
	m.platform.Backup()
	return m
}

func (m *fleetModel) restart(i int) {
	name := identifier.Instance(fmt.Sprintf("entry-%d", i))
	m.instances[i] = newInstance(name, m.platform, m.platform)
	m.highestVersions[i] = 0
}

// step carries out one random event.
func (m *fleetModel) step(ctx context.Context, t *rapid.T) {
	i := rapid.IntRange(0, propertyInstances-1).Draw(t, "instance")
	switch rapid.SampledFrom([]string{"propose", "sign", "sign", "sign", "read", "read", "offer", "forge", "restart", "outage", "lose", "backup"}).Draw(t, "event") {
	case "propose":
		m.propose(ctx, t, i)
	case "sign":
		m.sign(ctx, t, i)
	case "read":
		_, _ = m.instances[i].store.readCurrent(ctx) // fails during a simulated outage
	case "offer":
		if len(m.signedDocuments) > 0 {
			_ = m.instances[i].store.Offer(rapid.SampledFrom(m.signedDocuments).Draw(t, "document")) // may be outdated
		}
	case "forge":
		m.forge(t, i)
	case "restart":
		m.restart(i)
	case "outage":
		m.platform.SetDown(rapid.Bool().Draw(t, "down"))
	case "lose":
		key := rapid.SampledFrom([]string{CurrentKey, "audit/", "bundles/"}).Draw(t, "key")
		m.platform.LoseAnswers(key, rapid.IntRange(1, 12).Draw(t, "answers"), rapid.Bool().Draw(t, "effect"))
	case "backup":
		m.backup(t)
	}
}

func (m *fleetModel) propose(ctx context.Context, t *rapid.T, i int) {
	version := identifier.BundleVersion(rapid.IntRange(1, 8).Draw(t, "version"))
	previous := identifier.BundleVersion(rapid.IntRange(0, int(version)-1).Draw(t, "previous"))
	note := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "note")
	if _, err := m.instances[i].registrar.Propose(ctx, "ada", content(version, previous, "ada", note)); err == nil {
		m.proposed = append(m.proposed, version)
	}
}

func (m *fleetModel) sign(ctx context.Context, t *rapid.T, i int) {
	if len(m.proposed) == 0 {
		return
	}
	version := rapid.SampledFrom(m.proposed).Draw(t, "version")
	signer := rapid.SampledFrom([]string{"grace", "hedy", "ada"}).Draw(t, "signer")
	r := m.instances[i].registrar
	bundle, err := r.readContent(ctx, version)
	if err != nil {
		return
	}
	digest := DigestOf(bundle)
	delete(m.definitelyRefused, digest)
	accepted, err := r.SignOff(ctx, version, signer, Sign(signerKey(signer), digest))
	switch {
	case err == nil:
		m.signedDocuments = append(m.signedDocuments, accepted.Encoded)
		m.possiblyAccepted[digest] = true
	case errors.As(err, new(*UnsettledError)):
		m.possiblyAccepted[digest] = true
	case errors.As(err, new(*ConflictError)):
		m.definitelyRefused[digest] = true
	case errors.As(err, new(*SignOffError)), errors.As(err, new(*storeclient.UnavailableError)):
		m.definitelyRefused[digest] = !m.possiblyAccepted[digest]
	default:
		t.Fatalf("sign-off: %v", err)
	}
}

// forge offers a higher version with an invalid sign-off.
func (m *fleetModel) forge(t *rapid.T, i int) {
	m.forged++
	bundle := content(identifier.BundleVersion(100+m.forged), 0, "ada", "forged")
	signer := rapid.SampledFrom([]string{"ada", "grace", "mallory"}).Draw(t, "signer")
	if err := m.instances[i].store.Offer(signedBy(bundle, signer, "mallory")); err == nil {
		t.Fatalf("a forged document was applied")
	}
}

func (m *fleetModel) backup(t *rapid.T) {
	switch {
	case !m.restoresBackups:
	case rapid.Bool().Draw(t, "restore"):
		m.platform.Restore()
	default:
		m.platform.Backup()
	}
}

// check asserts the invariants after each event.
func (m *fleetModel) check(t *rapid.T) {
	for i, inst := range m.instances {
		d := inst.store.CurrentDocument()
		if d == nil {
			if m.highestVersions[i] > 0 {
				t.Fatalf("instance %d lost version %d", i, m.highestVersions[i])
			}
			continue
		}
		if d.Bundle.Version < m.highestVersions[i] {
			t.Fatalf("instance %d went from version %d down to %d", i, m.highestVersions[i], d.Bundle.Version)
		}
		m.highestVersions[i] = d.Bundle.Version
		if _, err := testSigners().Open(d.Encoded); err != nil {
			t.Fatalf("instance %d applied a document whose sign-off does not count: %v", i, err)
		}
		if !m.restoresBackups {
			m.checkOrder(t, d)
		}
	}
}

// checkOrder asserts, for a platform that loses no write, that each version has one content,
// that it follows the accepted version before it, and that it was not definitely refused.
func (m *fleetModel) checkOrder(t *rapid.T, d *Document) {
	known, ok := m.accepted[d.Bundle.Version]
	if ok && known.digest != d.Digest {
		t.Fatalf("version %d has two contents", d.Bundle.Version)
	}
	if m.definitelyRefused[d.Digest] {
		t.Fatalf("version %d is in force after a definite refusal", d.Bundle.Version)
	}
	m.accepted[d.Bundle.Version] = acceptance{digest: d.Digest, previous: d.Bundle.Previous}
	for v, a := range m.accepted {
		if v > d.Bundle.Previous && v < d.Bundle.Version {
			t.Fatalf("version %d follows %d and skips the accepted version %d", d.Bundle.Version, d.Bundle.Previous, v)
		}
		if v > d.Bundle.Version && a.previous < d.Bundle.Version {
			t.Fatalf("version %d was accepted below version %d, which follows %d", d.Bundle.Version, v, a.previous)
		}
	}
}

func checkFleet(t *testing.T, restoresBackups bool) {
	rapid.Check(t, func(r *rapid.T) {
		m := newFleetModel(restoresBackups)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			m.step(t.Context(), r)
			m.check(r)
		}
	})
}

// TestVersionNeverGoesDown also restores older backups of the platform's store. It guards
// against an instance that applies a lower version than before.
func TestVersionNeverGoesDown(t *testing.T) { checkFleet(t, true) }

// TestAcceptedVersionsAreOneChain runs without restored backups. It guards against accepted
// versions that skip another one or have two contents.
func TestAcceptedVersionsAreOneChain(t *testing.T) { checkFleet(t, false) }
