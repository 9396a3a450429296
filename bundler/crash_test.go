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

// crashingPlatform simulates the platform for an instance that crashes at one of its writes.
type crashingPlatform struct {
	*faker.Platform
	writesLeft           int  // remaining writes, including the one at which the instance crashes
	lastWriteTakesEffect bool // whether the last write takes effect
	crashed              bool
}

var errCrashed = errors.New("the instance crashed")

func (p *crashingPlatform) write(perform func() (storeclient.Entry, error)) (storeclient.Entry, error) {
	if p.crashed {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "put", Cause: errCrashed}
	}
	p.writesLeft--
	p.crashed = p.writesLeft == 0
	if p.crashed && p.lastWriteTakesEffect {
		_, _ = perform() // the crashed instance receives no result
	}
	if p.crashed {
		return storeclient.Entry{}, &storeclient.UnknownError{Call: "put", Cause: errCrashed}
	}
	return perform()
}

func (p *crashingPlatform) Get(ctx context.Context, key string) (storeclient.Entry, error) {
	if p.crashed {
		return storeclient.Entry{}, &storeclient.UnavailableError{Call: "get", Cause: errCrashed}
	}
	return p.Platform.Get(ctx, key)
}

func (p *crashingPlatform) Create(ctx context.Context, key string, value []byte, lease storeclient.LeaseID) (storeclient.Entry, error) {
	return p.write(func() (storeclient.Entry, error) { return p.Platform.Create(ctx, key, value, lease) })
}

func (p *crashingPlatform) Swap(ctx context.Context, key string, revision uint64, value []byte) (storeclient.Entry, error) {
	return p.write(func() (storeclient.Entry, error) { return p.Platform.Swap(ctx, key, revision, value) })
}

// TestCrashAtEachWrite crashes an instance at each write of a sign-off, with and without
// effect of that write. Afterwards, a second sign-off at another instance, or the acceptance
// of the next version alone, must complete the records: each version is accepted once, and
// each change is in the trail once.
func TestCrashAtEachWrite(t *testing.T) {
	const signOffWrites = 4 // archived version, sign-off in the trail, current document, acceptance in the trail
	for writes := 1; writes <= signOffWrites+1; writes++ {
		for _, effect := range []bool{false, true} {
			t.Run(fmt.Sprintf("write=%d effect=%t", writes, effect), func(t *testing.T) {
				is := is.New(t)
				platform := &faker.Platform{}
				healthy := newInstance("entry-1", platform, platform)
				is.NoErr(proposeAndSign(t, healthy, healthy, 1))

				crashing := &crashingPlatform{Platform: platform, writesLeft: writes, lastWriteTakesEffect: effect}
				err := proposeAndSign(t, healthy, newInstance("entry-2", crashing, crashing), 2)
				is.Equal(err == nil, writes >= signOffWrites) // the last write only records the acceptance

				accepted := currentVersion(t, platform) == 2
				if !accepted {
					is.NoErr(signAt(t, healthy, 2))
				}
				is.NoErr(proposeAndSign(t, healthy, healthy, 3))
				is.Equal(countTrail(t, platform), map[string]int{
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

func signAt(t *testing.T, signer *instance, version int) error {
	t.Helper()
	bundle, err := signer.registrar.Proposal(t.Context(), identifier.BundleVersion(version))
	if err != nil {
		return err
	}
	_, err = signer.registrar.SignOff(t.Context(), identifier.BundleVersion(version), "grace", Sign(signerKey("grace"), DigestOf(bundle)))
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

// countTrail counts the trail's entries by action and version, and checks its chain.
func countTrail(t *testing.T, platform *faker.Platform) map[string]int {
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
