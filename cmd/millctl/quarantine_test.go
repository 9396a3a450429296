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
	"amaranthmill/quarantiner"
)

// TestQuarantines lists and lifts quarantines at an instance, after an address at which none answers.
func TestQuarantines(t *testing.T) {
	quarantines := []quarantiner.Quarantine{{
		Fingerprint: 0x0c42f55332b80925, Kind: quarantiner.KindPart, Part: "5c1e07a2",
		Losses: []identifier.Process{{Endpoint: "i-1", Start: 7}, {Endpoint: "i-2", Start: 8}}, Until: time.Date(2026, 1, 5, 21, 0, 0, 0, time.UTC),
	}}
	var lifted identifier.Fingerprint
	m := messenger.New(messenger.Config{
		Peers: &messenger.Peers{}, Quarantines: func() []quarantiner.Quarantine { return quarantines },
		Lift: func(fp identifier.Fingerprint) bool {
			lifted = fp
			return fp == quarantines[0].Fingerprint
		},
	})
	s := httptest.NewServer(m.Handler())
	defer s.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	for _, test := range []struct {
		line   string
		code   exitCode
		output string
	}{
		{"quarantines list", codeDone, "0c42f55332b80925  part  5c1e07a2  2026-01-05T21:00:00Z  i-1,i-2"},
		{"quarantines list --output json", codeDone, `"endpoints": [`},
		{"quarantines lift 0c42f55332b80925", codeDone, "quarantine of 0c42f55332b80925 lifted"},
		{"quarantines lift 1", codeNotFound, "no quarantine of fingerprint 0000000000000001"},
		{"quarantines lift part", codeUsage, `"part" is not a fingerprint`},
		{"quarantines lift", codeUsage, "FINGERPRINT"},
		{"quarantines lift --help", codeDone, "listen.peers"},
	} {
		t.Run(test.line, func(t *testing.T) {
			is := is.New(t)
			var output bytes.Buffer
			args := append([]string{"--address", closed.Listener.Addr().String(), "--address", s.Listener.Addr().String()}, strings.Fields(test.line)...)
			is.Equal(run(t.Context(), args, &output, &output), test.code)
			is.True(strings.Contains(output.String(), test.output))
		})
	}
	is := is.New(t)
	is.Equal(lifted, identifier.Fingerprint(1))
	var output bytes.Buffer
	is.Equal(run(t.Context(), []string{"--address", closed.Listener.Addr().String(), "quarantines", "list"}, &output, &output), codeUnavailable)
	is.Equal(run(t.Context(), []string{"quarantines", "list"}, &output, &output), codeUsage)
}
