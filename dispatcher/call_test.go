package dispatcher_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/dispatcher"
	"amaranthmill/linker"
	"amaranthmill/router"
)

var (
	peerOfAlpine = linker.Peer{Instance: "alpine-1", FailureDomain: "alpine"}
	loadOfAlpine = linker.LoadSummary{FailureDomain: "alpine", Services: []linker.ServiceLoad{{Pool: "guides", Free: 4, Capacity: 8}}}
)

// grantingClaimer is a Claimer that grants every key and records the result.
type grantingClaimer struct {
	sendBefore time.Time
	settled    dispatcher.ClaimResult
}

func (g *grantingClaimer) Claim(context.Context, dispatcher.ClaimKey, [32]byte) dispatcher.ClaimDecision {
	return dispatcher.ClaimGranted{Token: "t1", SendBefore: g.sendBefore}
}

func (g *grantingClaimer) Settle(_ context.Context, _ string, result dispatcher.ClaimResult) error {
	g.settled = result
	return nil
}

func holdRequest() router.Request {
	req := modelRequest()
	req.Kind, req.Path, req.Body = router.KindNonIdempotent, "/holds", []byte(`{"hold":"pad-7"}`)
	req.Header = http.Header{"Idempotency-Key": {"k1"}}
	return req
}

// startLedger serves a plain service with h and returns its target and the number of calls.
func startLedger(t *testing.T, h http.HandlerFunc) (router.Target, *atomic.Int32) {
	runs := &atomic.Int32{}
	target := startEndpoint(t, "ledger-1", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		h(w, r)
	})
	target.Epoch, target.ProcessStart = 0, 0
	return target, runs
}

// TestClaimedCallOutlivesCaller checks that a claimed call whose caller hangs up is completed
// and settled with its answer, so that the caller's next call gets the answer.
func TestClaimedCallOutlivesCaller(t *testing.T) {
	is := is.New(t)
	ctx, hangUp := context.WithCancel(context.Background())
	target, runs := startLedger(t, func(w http.ResponseWriter, _ *http.Request) {
		hangUp()
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("held"))
	})
	claims := &grantingClaimer{}
	d := dispatcher.New(dispatcher.Config{Claimer: claims})
	d.SetTargets([]router.Target{target})
	d.Serve(ctx, holdRequest(), &recorder{})
	is.Equal(runs.Load(), int32(1))
	is.Equal(claims.settled.Outcome, router.Answered{})
	is.Equal(claims.settled.Status, http.StatusCreated)
	is.Equal(string(claims.settled.Body), "held")
}

// TestLapsedClaimIsNotSent checks that nothing is sent at or after SendBefore.
func TestLapsedClaimIsNotSent(t *testing.T) {
	is := is.New(t)
	target, runs := startLedger(t, func(http.ResponseWriter, *http.Request) {})
	claims := &grantingClaimer{sendBefore: time.Now().Add(-time.Second)}
	d := dispatcher.New(dispatcher.Config{Claimer: claims})
	d.SetTargets([]router.Target{target})
	notRun, _ := d.Serve(context.Background(), holdRequest(), &recorder{}).(router.NotRun)
	is.Equal(notRun.Reason, "claimLapsed")
	is.Equal(runs.Load(), int32(0))
	is.Equal(claims.settled.Outcome, notRun)
}

// TestCutOffAnswerIsHeld checks that no byte of a plain answer is passed on before the answer
// is complete. If the connection breaks before that, a repeatable call is retried on
// another endpoint, and a non-idempotent call has the outcome Unknown.
func TestCutOffAnswerIsHeld(t *testing.T) {
	is := is.New(t)
	cutOff := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("partial"))
		panic(http.ErrAbortHandler)
	}
	broken, runs := startLedger(t, cutOff)
	d := dispatcher.New(dispatcher.Config{Router: router.Config{SuspicionSettleTime: time.Millisecond, MaxTargetWait: time.Millisecond}})
	d.SetTargets([]router.Target{broken})
	w := &recorder{}
	_, unknown := d.Serve(context.Background(), holdRequest(), w).(router.Unknown)
	is.True(unknown)
	is.Equal(runs.Load(), int32(1))
	is.Equal(w.status, 0)

	good, _ := startLedger(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) })
	good.ID = "ledger-2"
	broken.ReportedAt = time.Now()
	d.SetTargets([]router.Target{broken, good})
	req := holdRequest()
	req.Kind, req.Path = router.KindRepeatable, "/pads"
	is.Equal(d.Serve(context.Background(), req, w), router.Answered{})
	is.Equal(w.body.String(), "whole")
}

// TestOverloadRefusesAtOnce checks that a request which can't start in time is refused at
// once with a retry delay, and that a waiting request starts when a slot becomes free.
func TestOverloadRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	target, _ := startLedger(t, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	target.Capacity = 1
	d := dispatcher.New(dispatcher.Config{})
	d.SetTargets([]router.Target{target})
	outcomes := make(chan router.Outcome, 2)
	serve := func() { outcomes <- d.Serve(context.Background(), holdRequest(), &recorder{}) }
	go serve()
	<-arrived
	soon := holdRequest()
	soon.Deadline = time.Now().Add(2 * time.Second)
	notRun, _ := d.Serve(context.Background(), soon, &recorder{}).(router.NotRun)
	is.Equal(notRun.Reason, "overloaded")
	is.True(notRun.RetryAfter >= time.Second)
	go serve()
	close(release)
	<-arrived
	is.Equal(<-outcomes, router.Answered{})
	is.Equal(<-outcomes, router.Answered{})
}
