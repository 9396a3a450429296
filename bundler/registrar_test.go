package bundler

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"amaranthmill/auditor"
	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/storeclient"
)

// instance holds the Store and the Registrar of one entry instance.
type instance struct {
	store     *Store
	registrar *Registrar
}

func newInstance(name identifier.Instance, platform Platform, trail auditor.Platform) *instance {
	store := NewStore(Config{Signers: testSigners(), Platform: platform, SettleTime: -1, Random: rand.NewPCG(1, 2)})
	registrar := NewRegistrar(RegistrarConfig{
		Signers: testSigners(), Platform: platform, Store: store,
		Trail:     auditor.New(auditor.Config{Platform: trail, Instance: name}),
		Inventory: func(context.Context) (*Inventory, error) { return nil, nil },
	})
	registrar.pause = func(context.Context, time.Duration) {}
	return &instance{store: store, registrar: registrar}
}

// registrarSession runs several instances on one platform from a script.
type registrarSession struct {
	t         *testing.T
	platform  *faker.Platform
	instances map[string]*instance
}

// Handle applies one event of a script.
func (s *registrarSession) Handle(_ time.Time, ev scripter.Event) ([]string, error) {
	ctx := s.t.Context()
	inst := s.instance(ev.Str("at"))
	version := identifier.BundleVersion(ev.Int("version"))
	switch ev.Name {
	case "propose":
		bundle := content(version, identifier.BundleVersion(ev.Int("previous")), ev.Str("by"), ev.Str("note"))
		_, err := inst.registrar.Propose(ctx, ev.Str("by"), bundle)
		return []string{formatOutcome("proposed", version, err)}, nil
	case "sign":
		return s.sign(ctx, inst, ev), nil
	case "signMeanwhile":
		return s.signMeanwhile(ctx, inst, ev), nil
	case "read":
		_, err := inst.store.readCurrent(ctx)
		return []string{fmt.Sprintf("%s has version %d (%v)", ev.Str("at"), inst.store.version(), err)}, nil
	case "restart":
		delete(s.instances, ev.Str("at"))
	case "down":
		s.platform.SetDown(true)
	case "up":
		s.platform.SetDown(false)
	case "lose":
		s.platform.LoseAnswers(ev.Str("key"), ev.Int("answers"), ev.Bool("effect"))
	case "backup":
		s.platform.Backup()
	case "setBack":
		s.platform.Restore()
	case "show":
		return s.show(ctx), nil
	default:
		return nil, fmt.Errorf("unknown event %q", ev.Name)
	}
	return nil, nil
}

func (s *registrarSession) instance(name string) *instance {
	if s.instances[name] == nil {
		s.instances[name] = newInstance(identifier.Instance(name), s.platform, s.platform)
	}
	return s.instances[name]
}

func (s *registrarSession) sign(ctx context.Context, inst *instance, ev scripter.Event) []string {
	version := identifier.BundleVersion(ev.Int("version"))
	bundle, err := inst.registrar.readContent(ctx, version)
	if err == nil {
		_, err = inst.registrar.SignOff(ctx, version, ev.Str("by"), Sign(signerKey(ev.Str("by")), DigestOf(bundle)))
	}
	return []string{formatOutcome("accepted", version, err)}
}

// signMeanwhile signs a version off. Right before the write that accepts it, the version in
// the argument "other" is signed off at another instance.
func (s *registrarSession) signMeanwhile(ctx context.Context, inst *instance, ev scripter.Event) []string {
	var lines []string
	s.platform.BeforeWrite(CurrentKey, func() {
		other := s.instance(ev.Str("otherAt"))
		bundle, _ := other.registrar.readContent(ctx, identifier.BundleVersion(ev.Int("other")))
		_, err := other.registrar.SignOff(ctx, identifier.BundleVersion(ev.Int("other")), "hedy", Sign(signerKey("hedy"), DigestOf(bundle)))
		lines = append(lines, formatOutcome("accepted", identifier.BundleVersion(ev.Int("other")), err))
	})
	return append(s.sign(ctx, inst, ev), lines...)
}

// show lists the platform's state and the audit trail.
func (s *registrarSession) show(ctx context.Context) []string {
	var lines []string
	entries, _ := s.platform.List(ctx, "bundles/")
	for _, e := range entries {
		lines = append(lines, e.Key)
		if e.Key == CurrentKey {
			d, err := testSigners().Open(e.Value)
			lines[len(lines)-1] += fmt.Sprintf(" version=%d signer=%s (%v)", d.Bundle.Version, d.Signer, err)
		}
	}
	page, err := auditor.New(auditor.Config{Platform: s.platform}).Last(ctx)
	if err != nil {
		return append(lines, err.Error())
	}
	for _, e := range page.Entries {
		lines = append(lines, fmt.Sprintf("%s at %s: %s from=%d to=%d", e.Actor, e.Instance, e.Action, e.From, e.To))
	}
	return lines
}

// formatOutcome formats a result without digests and causes.
func formatOutcome(done string, version identifier.BundleVersion, err error) string {
	switch {
	case err == nil:
		return fmt.Sprintf("version %d is %s", version, done)
	case errors.As(err, new(*UnsettledError)):
		return fmt.Sprintf("version %d is unsettled", version)
	case errors.As(err, new(*storeclient.UnavailableError)):
		return fmt.Sprintf("version %d is not %s: the platform is unavailable", version, done)
	case errors.As(err, new(*ReusedVersionError)):
		return fmt.Sprintf("version %d is not %s: its number is used", version, done)
	}
	return strings.TrimPrefix(err.Error(), "bundler: ")
}

func TestRegistrarSessions(t *testing.T) {
	scripter.Run(t, "testdata/registrar", func(t *testing.T) scripter.Session {
		return &registrarSession{t: t, platform: &faker.Platform{}, instances: map[string]*instance{}}
	})
}
