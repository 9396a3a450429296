package runner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"amaranthmill/messenger"
	"amaranthmill/replicator"
	"amaranthmill/storeclient"
)

// handlerTransport answers requests by a handler in this process and counts the bytes of the answers.
type handlerTransport struct {
	handler http.Handler
	bytes   int
}

func (t *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	t.handler.ServeHTTP(answer, r)
	t.bytes += answer.Body.Len() + callOverhead
	return &http.Response{StatusCode: answer.Code, Header: answer.Header(), Body: io.NopCloser(answer.Body), Request: r}, nil
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkLargeVersion measures what one version of a configuration of 1,640 routes costs: "whole" and "difference" the
// exchange between a peer that has compressed it and a follower, in bytes that the link of the follower
// carries and in processor time of both, "compress" the peer for its first follower, and "apply" decoding it and
// putting it in force.
func BenchmarkLargeVersion(b *testing.B) {
	const base = 1_000_000_000 // all versions have the same number of digits
	value := func(version int) []byte { return loadConfiguration(base+version, loadRoutes) }
	held := storeclient.Entry{Key: "op/config", Value: value(0), Revision: 1}
	newPeer := func(revision *uint64) http.Handler {
		newest := value(1)
		m := messenger.New(messenger.Config{Peers: &messenger.Peers{}, Values: messenger.Values{
			Value: func(_ context.Context, r replicator.Reference, asked uint64, _ time.Duration) (replicator.Value, error) {
				v := replicator.Value{Version: replicator.Version{Entry: storeclient.Entry{Key: r.Key, Value: newest, Revision: *revision}}}
				if asked == held.Revision {
					v.Base, v.BaseRevision = held.Value, held.Revision
				}
				return v, nil
			},
		}})
		return m.Handler()
	}
	for _, c := range []struct {
		name string
		base storeclient.Entry
		next uint64 // added to the revision, so that the peer compresses each time
	}{{"whole", storeclient.Entry{}, 0}, {"difference", held, 0}, {"compress", held, 1}} {
		b.Run(c.name, func(b *testing.B) {
			revision := uint64(2)
			transport := &handlerTransport{handler: newPeer(&revision)}
			follower := messenger.New(messenger.Config{Peers: &messenger.Peers{}, HTTP: &http.Client{Transport: transport}})
			peer := messenger.Peer{Address: netip.MustParseAddrPort("10.0.0.1:7")}
			reference := replicator.Reference{Key: "op/config", Revision: 2}
			if _, err := follower.FetchValue(context.Background(), peer, reference, c.base); err != nil {
				b.Fatal(err)
			}
			transport.bytes = 0
			b.ReportAllocs()
			start := processorTime(b)
			for b.Loop() {
				revision += c.next
				if _, err := follower.FetchValue(context.Background(), peer, reference, c.base); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(transport.bytes)/float64(b.N), "B/version")
		})
	}
	b.Run("apply", func(b *testing.B) {
		v := newBenchView(b, 50)
		value := value(2)
		b.ReportAllocs()
		start := processorTime(b)
		for version := base; b.Loop(); version++ {
			copy(value, fmt.Sprintf(`{"version":%d`, version))
			v.pace.nextAt = time.Time{}
			v.applyFromStore([]storeclient.Change{{Entry: storeclient.Entry{Key: "op/config", Value: value}}})
		}
		b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "cpu-µs/op")
	})
}
