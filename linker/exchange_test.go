package linker_test

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// A digest reaches only the instances of its failure domain. A suspicion reaches every instance
// once, a load summary every instance of the other failure domain, and a bundle that one
// instance has reaches all.
func TestMessagesReachTheirReceivers(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	bundle := func(version identifier.BundleVersion) func(*linker.Config) {
		return func(c *linker.Config) {
			c.Bundle = func() (identifier.BundleVersion, []byte) { return version, []byte("signed") }
		}
	}
	e1 := start(t, a, "east", "e1", bundle(8))
	e2 := start(t, a, "east", "e2", bundle(7))
	w1 := start(t, a, "west", "w1", bundle(7))
	introduce(e1, e2, w1)
	for _, in := range []*instance{e2, w1} {
		is.Equal(<-in.messages, linker.BundleOffer{Version: 8, Document: []byte("signed")})
	}
	report := linker.ProbeReport{
		Endpoint: "g1", Address: netip.MustParseAddrPort("10.1.0.7:9000"), ProcessStart: 5, Group: "g", Epoch: 3,
		BundleVersion: 7, Loaded: true, Reachable: true, InFlight: 2, Queued: 1, Capacity: 8, Latency: 3 * time.Millisecond,
	}
	suspicion := linker.Suspicion{Fingerprint: 9, Crashes: 1, GroupsLost: []identifier.Group{"g"}, TTL: time.Minute}
	e1.Broadcast(linker.ProbeDigest{Reports: []linker.ProbeReport{report}})
	got := (<-e2.messages).(linker.ProbeDigest)
	is.True(got.Reports[0].Age < time.Minute)
	got.Reports[0].Age = 0
	is.Equal(got, linker.ProbeDigest{Reports: []linker.ProbeReport{report}})
	e1.Broadcast(suspicion)
	is.Equal(<-e2.messages, suspicion)
	is.Equal(<-w1.messages, suspicion)
	summary := linker.LoadSummary{FailureDomain: "west", Services: []linker.ServiceLoad{{Pool: "p", Free: 3, Capacity: 9}}}
	w1.Broadcast(summary)
	is.Equal(<-e1.messages, summary)
	is.Equal(<-e2.messages, summary)
	for _, in := range []*instance{e1, e2, w1} {
		is.Equal(len(in.messages), 0)
	}
}

// A peer is rejected unless its certificate is signed by a common authority, has not expired,
// and names the instance and the failure domain of the platform's list.
func TestPeerWithoutValidCertificateIsRejected(t *testing.T) {
	a := newAuthority(t)
	for _, c := range []struct {
		name        string
		credentials linker.CredentialsConfig
		listed      identifier.FailureDomain
	}{
		{"other authority", newAuthority(t).issue("east", "b", time.Now().Add(time.Hour)), "east"},
		{"expired", a.issue("east", "b", time.Now().Add(-time.Minute)), "east"},
		{"other instance", a.issue("east", "c", time.Now().Add(time.Hour)), "east"},
		{"other failure domain", a.issue("west", "b", time.Now().Add(time.Hour)), "east"},
		{"not as listed", a.issue("east", "b", time.Now().Add(time.Hour)), "west"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			credentials, err := linker.NewCredentials(c.credentials)
			is.NoErr(err)
			var served atomic.Int32
			serve := func(context.Context, router.Request, router.Writer) router.Outcome {
				served.Add(1)
				return router.NotRun{}
			}
			good := start(t, a, "east", "a", func(cfg *linker.Config) { cfg.Serve = serve })
			bad := start(t, a, "east", "b", func(cfg *linker.Config) {
				cfg.Credentials = credentials
				cfg.Serve = serve
			})
			bad.peer.FailureDomain = c.listed
			good.SetPeers([]linker.Peer{bad.peer})
			bad.SetPeers([]linker.Peer{good.peer})
			req := router.Request{ID: "r", Deadline: time.Now().Add(5 * time.Second)}
			_, ok := good.Forward(t.Context(), "b", req, &recorder{}).(router.NotRun)
			is.True(ok)
			bad.Forward(t.Context(), "a", req, &recorder{})
			is.Equal(good.reachable(), 0)
			good.stop()
			is.Equal(served.Load(), int32(0))
		})
	}
}

// Certificates are renewed without a restart: open sessions continue, and new sessions use the
// renewed PEM data. Invalid PEM data leaves the previous data in use.
func TestCertificatesAreRenewed(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	dir := t.TempDir()
	write := func(c linker.CredentialsConfig) {
		is.NoErr(os.WriteFile(filepath.Join(dir, "certificate"), []byte(c.Certificate), 0o600))
		is.NoErr(os.WriteFile(filepath.Join(dir, "key"), []byte(c.Key), 0o600))
	}
	write(a.issue("east", "a", time.Now().Add(-time.Minute)))
	credentials, err := linker.NewCredentials(linker.CredentialsConfig{
		Certificate: filepath.Join(dir, "certificate"),
		Key:         filepath.Join(dir, "key"),
		Authorities: a.pem,
	})
	is.NoErr(err)
	renewed := start(t, a, "east", "a", func(c *linker.Config) { c.Credentials = credentials })
	peer := start(t, a, "east", "b", nil)
	_, ok := renewed.Forward(t.Context(), "b", router.Request{ID: "r"}, &recorder{}).(router.NotRun)
	is.True(ok) // the certificate has expired
	write(a.issue("east", "a", time.Now().Add(time.Hour)))
	is.NoErr(credentials.Reload())
	introduce(renewed, peer)
	is.NoErr(os.WriteFile(filepath.Join(dir, "key"), []byte("torn"), 0o600))
	is.True(credentials.Reload() != nil) // the previous data stays in use
	is.Equal(peer.reachable(), 1)
}

// A stop completes the running forwarded requests of both directions, and new requests end with
// NotRun.
func TestStopCompletesForwardedRequests(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	entered, finish := make(chan struct{}, 2), make(chan struct{})
	serve := func(_ context.Context, _ router.Request, w router.Writer) router.Outcome {
		_ = w.Start(200, nil)
		entered <- struct{}{}
		<-finish
		_ = w.Write([]byte("whole"))
		return router.Answered{}
	}
	east := start(t, a, "east", "a", func(c *linker.Config) { c.Serve = serve })
	west := start(t, a, "west", "b", func(c *linker.Config) { c.Serve = serve })
	gone := start(t, a, "west", "c", nil)
	introduce(east, gone)
	gone.stop()
	// East has no session for a moment, so when it stops, a signal that all sessions have ended
	// is still pending from here.
	for east.reachable() > 0 {
		<-east.changed
	}
	introduce(east, west)
	outcomes := make(chan router.Outcome, 2)
	answers := make([]recorder, 2)
	for i, f := range []struct {
		from *instance
		to   identifier.Instance
	}{{east, "b"}, {west, "a"}} {
		go func() { outcomes <- f.from.Forward(t.Context(), f.to, router.Request{ID: "r"}, &answers[i]) }()
		<-entered
	}
	stopped := make(chan struct{})
	go func() {
		east.stop()
		close(stopped)
	}()
	for !leaving(west, "a") {
		<-west.changed
	}
	for _, f := range []struct {
		from *instance
		to   identifier.Instance
	}{{east, "b"}, {west, "a"}} {
		_, ok := f.from.Forward(t.Context(), f.to, router.Request{ID: "late"}, &recorder{}).(router.NotRun)
		is.True(ok)
	}
	close(finish)
	for range 2 {
		is.Equal(<-outcomes, router.Answered{})
	}
	<-stopped
	for _, answer := range answers {
		is.Equal(string(answer.body), "whole")
	}
}

func leaving(in *instance, name identifier.Instance) bool {
	for _, p := range in.Peers() {
		if p.Instance == name {
			return p.Leaving
		}
	}
	return false
}
