package linker_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/linker"
	"amaranthmill/router"
)

// instance is a Linker that runs on the loopback interface in a test.
type instance struct {
	*linker.Linker
	peer     linker.Peer
	messages chan linker.Message
	changed  chan struct{} // has an element after the status of a peer changed
	stop     func()
}

// start runs a Linker until the test ends.
func start(t *testing.T, a *authority, domain identifier.FailureDomain, name identifier.Instance, change func(*linker.Config)) *instance {
	t.Helper()
	in := &instance{messages: make(chan linker.Message, 64), changed: make(chan struct{}, 1)}
	cfg := linker.Config{
		Instance:      name,
		FailureDomain: domain,
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Credentials:   a.credentials(domain, name),
		OnMessage:     func(_ linker.Peer, m linker.Message) { in.messages <- m },
		OnPeersChanged: func() {
			select {
			case in.changed <- struct{}{}:
			default:
			}
		},
	}
	if change != nil {
		change(&cfg)
	}
	l, err := linker.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	in.Linker = l
	in.peer = linker.Peer{Instance: name, FailureDomain: domain, Address: l.Address()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = l.Run(ctx)
	}()
	in.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(in.stop)
	return in
}

// introduce passes the list of all instances to each and waits until all reach one another.
func introduce(instances ...*instance) {
	var peers []linker.Peer
	for _, in := range instances {
		peers = append(peers, in.peer)
	}
	for _, in := range instances {
		in.SetPeers(peers)
	}
	for _, in := range instances {
		for in.reachable() < len(instances)-1 {
			<-in.changed
		}
	}
}

func (in *instance) reachable() int {
	n := 0
	for _, p := range in.Peers() {
		if p.Reachable {
			n++
		}
	}
	return n
}

// recorder is a router.Writer that records the answer.
type recorder struct {
	status int
	header http.Header
	body   []byte
}

func (r *recorder) Start(status int, header http.Header) error {
	r.status, r.header = status, header
	return nil
}

func (r *recorder) Write(part []byte) error {
	r.body = append(r.body, part...)
	return nil
}

func TestForwardTransfersRequestAndAnswer(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	big := make([]byte, 1<<20)
	for i := range big {
		big[i] = byte(i * 7)
	}
	want := router.Request{
		ID: "r1", Account: "observatory", Service: "pad-ledger", Kind: router.KindNonIdempotent, Priority: 3,
		Deadline: time.Now().Add(time.Minute), BundleVersion: 9, Pool: "pad-ledger", Adapter: "x",
		Method: "POST", Path: "/holds?pad=3", Header: http.Header{"Idempotency-Key": {"k"}}, Body: big, Stream: true,
	}
	var got router.Request
	east := start(t, a, "east", "a", nil)
	west := start(t, a, "west", "b", func(c *linker.Config) {
		c.Serve = func(_ context.Context, req router.Request, w router.Writer) router.Outcome {
			got = req
			is.NoErr(w.Start(201, http.Header{"Etag": {"1", "2"}}))
			is.NoErr(w.Write(req.Body))
			return router.Answered{}
		}
	})
	introduce(east, west)
	var answer recorder
	is.Equal(east.Forward(t.Context(), "b", want, &answer), router.Answered{})
	is.Equal(answer, recorder{status: 201, header: http.Header{"Etag": {"1", "2"}}, body: big})
	is.True(got.Deadline.Sub(want.Deadline).Abs() < time.Minute)
	got.Deadline = want.Deadline
	want.Hops = 1
	is.Equal(got, want)
}
