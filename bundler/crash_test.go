package bundler

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/auditor"
	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
	"amaranthmill/storeclient"
)

// dyingPlatform is the platform as an instance sees it that dies at one of its writes.
type dyingPlatform struct {
	*faker.Platform
	writes int  // left before it dies
	effect bool // whether the last one takes effect
	dead   bool
}

var errDied = errors.New("the instance died")

func (p *dyingPlatform) write(carryOut func() (storeclient.Entry, error)) (storeclient.Entry, error) {
	if p.dead {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "put", Cause: errDied}
	}
	p.writes--
	p.dead = p.writes == 0
	if p.dead && p.effect {
		_, _ = carryOut() // no one is left to see it
	}
	if p.dead {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Cause: errDied}
	}
	return carryOut()
}

func (p *dyingPlatform) Get(ctx context.Context, key string) (storeclient.Entry, error) {
	if p.dead {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "get", Cause: errDied}
	}
	return p.Platform.Get(ctx, key)
}

func (p *dyingPlatform) Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error) {
	return p.write(func() (storeclient.Entry, error) { return p.Platform.Create(ctx, key, value, lease) })
}

func (p *dyingPlatform) Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error) {
	return p.write(func() (storeclient.Entry, error) { return p.Platform.Swap(ctx, key, revision, value) })
}

// TestCrashAtEachWrite has an instance die at each write of a sign-off, before and after
// the write takes effect. Signing off again elsewhere, or only the next version's
// acceptance, leaves one acceptance of each version, and each change in the trail once.
func TestCrashAtEachWrite(t *testing.T) {
	const writesOfSignOff = 4 // archive, sign-off in the trail, current, acceptance in the trail
	for writes := 1; writes <= writesOfSignOff+1; writes++ {
		for _, effect := range []bool{false, true} {
			t.Run(fmt.Sprintf("write=%d effect=%t", writes, effect), func(t *testing.T) {
				is := is.New(t)
				platform := &faker.Platform{}
				healthy := newInstance("entry-1", platform, platform)
				is.NoErr(proposeAndSign(t, healthy, healthy, 1))

				dying := &dyingPlatform{Platform: platform, writes: writes, effect: effect}
				err := proposeAndSign(t, healthy, newInstance("entry-2", dying, dying), 2)
				is.Equal(err == nil, writes >= writesOfSignOff) // the last write is no part of the acceptance

				accepted := currentVersion(t, platform) == 2
				if !accepted {
					is.NoErr(signAt(t, healthy, 2))
				}
				is.NoErr(proposeAndSign(t, healthy, healthy, 3))
				is.Equal(trailOf(t, platform), map[string]int{
					"bundle.proposed 1": 1, "bundle.signed 1": 1, "bundle.accepted 1": 1,
					"bundle.proposed 2": 1, "bundle.signed 2": 1, "bundle.accepted 2": 1,
					"bundle.proposed 3": 1, "bundle.signed 3": 1, "bundle.accepted 3": 1,
				})
				_, err = platform.Get(t.Context(), versionKey(2))
				is.NoErr(err)
			})
		}
	}
}

func proposeAndSign(t *testing.T, author, signer *instance, version int) error {
	t.Helper()
	v := int64(version)
	bundle := fmt.Appendf(nil, `{"version":%d,"previous":%d,"author":"ada"}`, v, v-1)
	if _, err := author.registrar.Propose(t.Context(), "ada", bundle); err != nil {
		return err
	}
	return signAt(t, signer, version)
}

func signAt(t *testing.T, at *instance, version int) error {
	t.Helper()
	bundle, err := at.registrar.Proposal(t.Context(), identifier.BundleVersion(version))
	if err != nil {
		return err
	}
	_, err = at.registrar.SignOff(t.Context(), identifier.BundleVersion(version), "grace", Sign(signerKey("grace"), DigestOf(bundle)))
	return err
}

func currentVersion(t *testing.T, platform *faker.Platform) int {
	t.Helper()
	entry, err := platform.Get(t.Context(), CurrentKey)
	if err != nil {
		t.Fatal(err)
	}
	d, err := testSigners().Open(entry.Value)
	if err != nil {
		t.Fatal(err)
	}
	return int(d.Bundle.Version)
}

// trailOf counts the trail's entries by action and version, and checks its chain.
func trailOf(t *testing.T, platform *faker.Platform) map[string]int {
	t.Helper()
	page, err := auditor.New(auditor.Config{Platform: platform}).Last(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	v := auditor.Verifier{}
	v.Add(page)
	if v.Finish(); len(v.Faults) > 0 {
		t.Fatalf("the trail has faults: %v", v.Faults)
	}
	counts := map[string]int{}
	for _, e := range page.Entries {
		counts[fmt.Sprintf("%s %d", e.Action, e.To)]++
	}
	return counts
}
