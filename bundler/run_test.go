package bundler

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/faker"
	"amaranthmill/internal/identifier"
)

// inForceWithin is the guaranteed time from the acceptance of a version until it is in force
// on all instances.
const inForceWithin = 5 * time.Second

// runStores runs n stores on one platform until the test ends.
func runStores(t *testing.T, platform *faker.Platform, n int) []*Store {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	stores := make([]*Store, n)
	for i := range stores {
		stores[i] = NewStore(Config{Signers: testSigners(), Platform: platform, Random: rand.NewPCG(uint64(i), 7)})
		go func() { _ = stores[i].Run(ctx) }() // ends with the test
	}
	return stores
}

// publish writes a signed version as the current one.
func publish(t *testing.T, platform *faker.Platform, version identifier.BundleVersion) {
	t.Helper()
	document := signedBy(content(version, 0, "ada", ""), "grace", "grace")
	entry, err := platform.Get(t.Context(), CurrentKey)
	if err == nil {
		_, err = platform.Swap(t.Context(), CurrentKey, entry.Revision, document)
	} else {
		_, err = platform.Create(t.Context(), CurrentKey, document, "")
	}
	if err != nil {
		t.Fatal(err)
	}
}

func countVersions(stores []*Store) map[identifier.BundleVersion]int {
	counts := map[identifier.BundleVersion]int{}
	for _, s := range stores {
		counts[s.version()]++
	}
	return counts
}

func TestRun(t *testing.T) {
	cases := map[string]func(t *testing.T, is *is.I, platform *faker.Platform, stores []*Store){
		"a version is in force everywhere within the promised time": func(t *testing.T, is *is.I, platform *faker.Platform, stores []*Store) {
			for v := identifier.BundleVersion(1); v <= 3; v++ {
				publish(t, platform, v)
				time.Sleep(inForceWithin)
				is.Equal(countVersions(stores), map[identifier.BundleVersion]int{v: len(stores)})
			}
		},
		"an outage leaves the version in force, and its end brings the next": func(t *testing.T, is *is.I, platform *faker.Platform, stores []*Store) {
			publish(t, platform, 1)
			time.Sleep(inForceWithin)
			platform.SetDown(true)
			time.Sleep(time.Hour)
			is.Equal(countVersions(stores), map[identifier.BundleVersion]int{1: len(stores)})
			platform.SetDown(false)
			publish(t, platform, 2)
			time.Sleep(inForceWithin)
			is.Equal(countVersions(stores), map[identifier.BundleVersion]int{2: len(stores)})
		},
		"a service restored from an older backup gets the version in force again, once": func(t *testing.T, is *is.I, platform *faker.Platform, stores []*Store) {
			publish(t, platform, 1)
			platform.Backup()
			publish(t, platform, 2)
			time.Sleep(inForceWithin)
			platform.Restore()
			_, before, _ := platform.Calls()
			time.Sleep(time.Minute)
			entry, err := platform.Get(t.Context(), CurrentKey)
			is.NoErr(err)
			d, err := testSigners().Open(entry.Value)
			is.NoErr(err)
			is.Equal(d.Bundle.Version, identifier.BundleVersion(2))
			is.Equal(countVersions(stores), map[identifier.BundleVersion]int{2: len(stores)})
			_, after, _ := platform.Calls()
			is.True(after-before <= len(stores)) // at most one write by each instance, of which one succeeds
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := &faker.Platform{}
				run(t, is.New(t), platform, runStores(t, platform, 37))
			})
		})
	}
}

func TestOnChange(t *testing.T) {
	is := is.New(t)
	s := NewStore(Config{Signers: testSigners(), Platform: &faker.Platform{}, Random: rand.NewPCG(1, 2)})
	var early []identifier.BundleVersion
	s.OnChange(func(b *Bundle) { early = append(early, b.Version) })
	for _, v := range []identifier.BundleVersion{2, 1, 2, 4} {
		_ = s.Offer(signedBy(content(v, 0, "ada", ""), "grace", "grace")) // version 1 is refused as outdated
	}
	var late []identifier.BundleVersion
	s.OnChange(func(b *Bundle) { late = append(late, b.Version) })
	is.Equal(early, []identifier.BundleVersion{2, 4})
	is.Equal(late, []identifier.BundleVersion{4})
}
