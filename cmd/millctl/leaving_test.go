package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
)

// TestLeaving lists the endpoints that leave at an instance.
func TestLeaving(t *testing.T) {
	leaving := messenger.LeavingProcess{Process: identifier.Process{Endpoint: "i-1", Start: 7}, Since: time.Date(2026, 1, 5, 21, 0, 0, 0, time.UTC), Source: messenger.LeavingByAnswer}
	m := messenger.New(messenger.Config{Peers: &messenger.Peers{}, Leaving: func() []messenger.LeavingProcess { return []messenger.LeavingProcess{leaving} }})
	checkOutputs(t, m, map[string]string{
		"leaving":               "i-1       7              2026-01-05T21:00:00Z  answer",
		"leaving --output json": `"source": "answer"`,
		"leaving --help":        "listen.peers",
	})
}

// checkOutputs runs each command line against an instance that answers peers with m, and checks that its
// output contains the text.
func checkOutputs(t *testing.T, m *messenger.Messenger, outputs map[string]string) {
	s := httptest.NewServer(m.Handler())
	defer s.Close()
	for line, want := range outputs {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			is.Equal(run(t.Context(), append([]string{"--address", s.Listener.Addr().String()}, strings.Fields(line)...), &output, &output), codeDone)
			is.True(strings.Contains(output.String(), want))
		})
	}
}
