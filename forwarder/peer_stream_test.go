package forwarder_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamThroughPeer checks that the events of a stream come through a peer one by one, and that it resumes
// after the caller's last event.
func TestStreamThroughPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 1)
	goOn := make(chan struct{})
	fl.peers["peer-1"].add(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Last-Event"), "4")
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Signature", "s")
		writeEvent(w, 5)
		<-goOn
		writeEvent(w, 6)
	})
	resp := fl.get("/stream/x", "Last-Event", "4")
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "id: 5\n")
	close(goOn)
	rest, err := io.ReadAll(in)
	is.NoErr(err)
	is.Equal(string(rest), "data: f\n\nid: 6\ndata: g\n\n")
}

// TestStreamOutlastsReadTimeoutOfPeer checks that the time in which a request must arrive at a peer does not bound its answer, with and without
// a body.
func TestStreamOutlastsReadTimeoutOfPeer(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			fl := newFleet(t, 1)
			peer := fl.peers["peer-1"]
			peer.server.Close()
			peer.server = httptest.NewUnstartedServer(peer.f.PeerHandler(http.NotFoundHandler()))
			peer.server.Config.ReadTimeout = 100 * time.Millisecond
			peer.server.Start()
			t.Cleanup(peer.server.Close)
			peer.add(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Signature", "s")
				for id := range 5 {
					writeEvent(w, id)
					select {
					case <-r.Context().Done():
						return
					case <-time.After(peer.server.Config.ReadTimeout):
					}
				}
			})
			r, err := http.NewRequest(method, fl.fixture.server.URL+"/stream/x", strings.NewReader("body"))
			is.NoErr(err)
			if method == http.MethodGet {
				r.Body, r.ContentLength = nil, 0
			}
			r.Header.Set("Id", "r1")
			r.Header.Set("Key", "k1")
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			text, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(strings.Count(string(text), "id: "), 5)
		})
	}
}

// TestStreamGoesOnThroughOtherPeer checks that a stream whose peer vanishes goes on through another one after the
// caller's last event.
func TestStreamGoesOnThroughOtherPeer(t *testing.T) {
	is := is.New(t)
	fl := newFleet(t, 2)
	begun := make(chan *peerInstance, 1)
	for _, p := range fl.peers {
		p.add(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event") == "1" {
				events(w, r, 3, false)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Signature", "s")
			writeEvent(w, 0)
			writeEvent(w, 1)
			begun <- p
			<-r.Context().Done()
		})
	}
	resp := fl.get("/stream/x")
	in := bufio.NewReader(resp.Body)
	for range 6 {
		_, err := in.ReadString('\n')
		is.NoErr(err)
	}
	(<-begun).server.CloseClientConnections()
	rest, err := io.ReadAll(in)
	is.NoErr(err)
	is.Equal(string(rest), "id: 2\ndata: c\n\nid: 3\ndata: d\n\n")
}
