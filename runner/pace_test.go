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
// force after each interval, that small ones are not delayed, and that a deletion drops the one that waits.
func TestLargeConfigurationsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d1"}
		s.Machine.MemoryMB = 136
		h, err := newHosted(s, zerolog.Nop())
		is.NoErr(err)
		put := func(version, routes int) {
			h.view.applyChanges([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config", Value: loadConfiguration(version, routes)}}})
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
		h.view.applyChanges([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config"}, Deleted: true}})
		time.Sleep(time.Second)
		is.Equal(int(h.resolver.Version()), 8)
		h.view.stopPace()
	})
}
