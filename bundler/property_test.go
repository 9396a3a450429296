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

// fleetModel is several instances under random operators, outages, lost answers,
// replays, restarts and backups, with what each promise says of them.
type fleetModel struct {
	platform  *faker.Platform
	instances [propertyInstances]*instance
	setBack   bool // whether backups are restored

	highest  [propertyInstances]identifier.BundleVersion // in force, by process
	proposed []identifier.BundleVersion
	signed   [][]byte                                // documents with a sign-off that counts
	open     map[Digest]bool                         // accepted, or perhaps
	refused  map[Digest]bool                         // definitely not accepted, and not asked for again
	accepted map[identifier.BundleVersion]acceptance // seen in force anywhere
	forged   int
}

// acceptance is a content that was seen in force, and the version that it followed.
type acceptance struct {
	digest   Digest
	previous identifier.BundleVersion
}

func newFleetModel(setBack bool) *fleetModel {
	m := &fleetModel{platform: &faker.Platform{}, setBack: setBack, open: map[Digest]bool{}, refused: map[Digest]bool{}, accepted: map[identifier.BundleVersion]acceptance{}}
	for i := range m.instances {
		m.restart(i)
	}
	m.platform.Backup()
	return m
}

func (m *fleetModel) restart(i int) {
	name := identifier.Instance(fmt.Sprintf("entry-%d", i))
	m.instances[i] = newInstance(name, m.platform, m.platform)
	m.highest[i] = 0
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
		_, _ = m.instances[i].store.read(ctx) // an outage is one of the events
	case "offer":
		if len(m.signed) > 0 {
			_ = m.instances[i].store.Offer(rapid.SampledFrom(m.signed).Draw(t, "document")) // may be outdated
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
	bundle, err := r.content(ctx, version)
	if err != nil {
		return
	}
	digest := DigestOf(bundle)
	delete(m.refused, digest)
	accepted, err := r.SignOff(ctx, version, signer, Sign(signerKey(signer), digest))
	switch {
	case err == nil:
		m.signed = append(m.signed, accepted.Encoded)
		m.open[digest] = true
	case errors.As(err, new(*UnsettledError)):
		m.open[digest] = true
	case errors.As(err, new(*ConflictError)):
		m.refused[digest] = true
	case errors.As(err, new(*SignOffError)), errors.As(err, new(*storeclient.UnavailableError)):
		m.refused[digest] = !m.open[digest]
	default:
		t.Fatalf("sign-off: %v", err)
	}
}

// forge offers a higher version with a sign-off that doesn't count.
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
	case !m.setBack:
	case rapid.Bool().Draw(t, "restore"):
		m.platform.Restore()
	default:
		m.platform.Backup()
	}
}

// check asserts the promises after each event.
func (m *fleetModel) check(t *rapid.T) {
	for i, inst := range m.instances {
		d := inst.store.CurrentDocument()
		if d == nil {
			if m.highest[i] > 0 {
				t.Fatalf("instance %d lost version %d", i, m.highest[i])
			}
			continue
		}
		if d.Bundle.Version < m.highest[i] {
			t.Fatalf("instance %d went from version %d down to %d", i, m.highest[i], d.Bundle.Version)
		}
		m.highest[i] = d.Bundle.Version
		if _, err := testSigners().Open(d.Encoded); err != nil {
			t.Fatalf("instance %d applied a document whose sign-off does not count: %v", i, err)
		}
		if !m.setBack {
			m.checkOrder(t, d)
		}
	}
}

// checkOrder asserts, for a platform that keeps what it wrote, that a version has one
// content, follows the accepted version before it, and was not refused for good.
func (m *fleetModel) checkOrder(t *rapid.T, d *Document) {
	known, ok := m.accepted[d.Bundle.Version]
	if ok && known.digest != d.Digest {
		t.Fatalf("version %d has two contents", d.Bundle.Version)
	}
	if m.refused[d.Digest] {
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

func checkFleet(t *testing.T, setBack bool) {
	rapid.Check(t, func(r *rapid.T) {
		m := newFleetModel(setBack)
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			m.step(t.Context(), r)
			m.check(r)
		}
	})
}

// TestVersionNeverGoesDown lets backups of the platform's service be restored too.
func TestVersionNeverGoesDown(t *testing.T) { checkFleet(t, true) }

// TestAcceptedVersionsAreOneChain has a platform that keeps what it wrote.
func TestAcceptedVersionsAreOneChain(t *testing.T) { checkFleet(t, false) }
