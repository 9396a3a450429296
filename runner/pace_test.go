package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/configurer"
	"amaranthmill/storeclient"
)

// TestLargeConfigurationsArePaced checks that of large configurations in quick succession only the newest is put in
// force after each interval, that small ones are not delayed, and that a deletion leaves the one that waits, which is
// the latest valid version.
func TestLargeConfigurationsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d1"}
		s.Machine.MemoryMB = 136
		h, err := newHosted(s, zerolog.Nop())
		is.NoErr(err)
		put := func(version, routes int) {
			h.view.applyFromStore([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config", Value: loadConfiguration(version, routes)}}})
		}
		put(1, 200)
		is.Equal(int(h.resolver.Version()), 1) // the first one is put in force at once
		for version := 2; version <= 5; version++ {
			time.Sleep(50 * time.Millisecond)
			put(version, 200)
			is.Equal(int(h.resolver.Version()), 1)
		}
		time.Sleep(configurationInterval - 200*time.Millisecond)
		synctest.Wait()
		is.Equal(int(h.resolver.Version()), 5)
		put(6, 200)
		put(7, 3)
		is.Equal(int(h.resolver.Version()), 7)
		time.Sleep(time.Second)
		is.Equal(int(h.resolver.Version()), 7) // the large one before it no longer waits
		put(8, 200)
		put(9, 200)
		h.view.applyFromStore([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config"}, Deleted: true}})
		is.Equal(int(h.resolver.Version()), 8) // the deletion does not put the one that waits in force sooner
		time.Sleep(time.Second)
		is.Equal(int(h.resolver.Version()), 9)
		h.view.stopPace()
	})
}

// TestMalformedConfigurationKeepsTheOneThatWaits checks that malformed configurations, large or small, do not discard a
// valid one that waits: the instance would stay at the version before it until the next valid one.
func TestMalformedConfigurationKeepsTheOneThatWaits(t *testing.T) {
	large := append([]byte("{"), make([]byte, 32<<10)...)
	for name, malformed := range map[string][][]byte{
		"large":       {large},
		"two large":   {large, large},
		"small":       {[]byte("{")},
		"large small": {large, []byte("{")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d1"}
				s.Machine.MemoryMB = 136
				h, err := newHosted(s, zerolog.Nop())
				is.NoErr(err)
				put := func(value []byte) {
					h.view.applyFromStore([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config", Value: value}}})
				}
				put(loadConfiguration(1, 200))
				put(loadConfiguration(2, 200))
				for _, value := range malformed {
					put(value)
				}
				is.Equal(int(h.resolver.Version()), 1)
				time.Sleep(configurationInterval)
				synctest.Wait()
				is.Equal(int(h.resolver.Version()), 2)
				put(loadConfiguration(3, 200))
				time.Sleep(configurationInterval)
				synctest.Wait()
				is.Equal(int(h.resolver.Version()), 3) // the next valid one is in force after the interval as before
				h.view.stopPace()
			})
		})
	}
}
