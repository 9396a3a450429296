package runner

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"amaranthmill/configurer"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// applyFromStore applies changes as a watch of the store returns them.
func (v *view) applyFromStore(changes []storeclient.Change) {
	v.applyChanges(changes, replicator.Origin{Kind: replicator.OriginWatch})
}

// configurationLine has the fields of a log line about a configuration.
type configurationLine struct {
	Message  string
	Version  int
	InForce  int
	Revision int
	Era      int
	Source   string
	Peer     string
}

// TestConfigurationLogNamesItsOrigin guards against logs that don't tell why an instance serves an old version: each version in
// force and each one that is ignored names its revision and era, and the store or the peer that it came from.
func TestConfigurationLogNamesItsOrigin(t *testing.T) {
	is := is.New(t)
	s := &configurer.HostedSettings{Instance: "entry-1", FailureDomain: "d1"}
	s.Machine.MemoryMB = 136
	var log bytes.Buffer
	h, err := newHosted(s, zerolog.New(&log))
	is.NoErr(err)
	put := func(version int, revision uint64, from replicator.Origin) {
		entry := storeclient.Entry{Key: "op/config", Value: loadConfiguration(version, 1), Revision: revision}
		h.view.applyChanges([]storeclient.Change{{Entry: entry}}, from)
	}
	put(3, 7, replicator.Origin{Kind: replicator.OriginList, Era: 2})
	put(2, 9, replicator.Origin{Kind: replicator.OriginUpdate, Era: 3, Peer: "entry-2"})
	put(5, 11, replicator.Origin{Kind: replicator.OriginValue, Era: 3, Peer: "entry-2"})
	var lines []configurationLine
	for d := json.NewDecoder(&log); d.More(); {
		var line configurationLine
		is.NoErr(d.Decode(&line))
		lines = append(lines, line)
	}
	is.Equal(lines, []configurationLine{
		{Message: "configuration in force", Version: 3, Revision: 7, Era: 2, Source: "list"},
		{Message: "configuration is not newer than the one in force, which stays", Version: 2, InForce: 3, Revision: 9, Era: 3, Source: "update", Peer: "entry-2"},
		{Message: "configuration in force", Version: 5, Revision: 11, Era: 3, Source: "value", Peer: "entry-2"},
	})
}
