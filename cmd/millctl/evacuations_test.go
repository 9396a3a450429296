package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/messenger"
)

// newEvacuationMessenger returns a messenger of an instance with one evacuation.
func newEvacuationMessenger() *messenger.Messenger {
	return messenger.New(messenger.Config{Peers: &messenger.Peers{}, Evacuations: func() []messenger.Evacuation {
		return []messenger.Evacuation{{FailureDomain: "marfa", Since: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC), Endpoints: 59}}
	}})
}

// TestEvacuations lists the evacuated failure domains at an instance.
func TestEvacuations(t *testing.T) {
	checkOutputs(t, newEvacuationMessenger(), map[string]string{
		"evacuations":               "marfa           2026-01-05T20:00:00Z  59",
		"evacuations --output json": `"endpoints": 59`,
		"evacuations --help":        "listen.peers",
	})
	checkOutputs(t, messenger.New(messenger.Config{Peers: &messenger.Peers{}, Evacuations: func() []messenger.Evacuation { return nil }}), map[string]string{
		"evacuations": "(none)",
	})
}

// TestEvacuationsOfOldInstance guards against a list that fails as a whole because one instance is of a version without
// evacuations, which answers with status 404, or does not answer.
func TestEvacuationsOfOldInstance(t *testing.T) {
	is := is.New(t)
	known := httptest.NewServer(newEvacuationMessenger().Handler())
	defer known.Close()
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	var output bytes.Buffer
	line := []string{"evacuations"}
	for _, s := range []*httptest.Server{old, gone, known} {
		line = append(line, "--address", s.Listener.Addr().String())
	}
	is.Equal(run(t.Context(), line, &output, &output), codeDone)
	is.True(strings.Contains(output.String(), "status 404"))
	is.True(strings.Contains(output.String(), "marfa"))
	is.True(run(t.Context(), []string{"--address", gone.Listener.Addr().String(), "evacuations"}, &output, &output) != codeDone)
}
