package linker

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"amaranthmill/internal/identifier"
	"amaranthmill/internal/scripter"
	"amaranthmill/linker/internal/wire"
	"amaranthmill/router"
)

// A frame above the limit is rejected by its length prefix, before its memory is allocated.
func TestFrameTooLarge(t *testing.T) {
	is := is.New(t)
	in := newFrameReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 1}), maxControlFrame)
	err := in.read(&wire.ControlFrame{})
	var size *protodelim.SizeTooLargeError
	is.True(errors.As(err, &size))
	is.Equal(size.MaxSize, uint64(maxControlFrame))
}

// FuzzFrames reads random data as the frames of each kind of stream. Nothing may panic, and the
// decoded values must stay within their ranges.
func FuzzFrames(f *testing.F) {
	for _, m := range []proto.Message{
		&wire.ControlFrame{Heartbeat: &wire.Heartbeat{Sequence: 3, Echo: 2, BundleVersion: 9}},
		&wire.ControlFrame{Digest: (&digestEncoder{}).encode([]ProbeReport{{Endpoint: "g1"}, {Endpoint: "g2"}})},
		&wire.ControlFrame{Demand: []*wire.DemandAnnouncement{{Sequence: 1, Demands: []*wire.AccountDemand{
			{Account: "a", RequestsPerSecond: math.NaN()}, {Account: "b", RequestsPerSecond: -1}, {Account: "c", RequestsPerSecond: math.Inf(1)},
		}}}},
		&wire.Opening{Purpose: &wire.Opening_Request{Request: requestToWire(router.Request{ID: "r"}, scripter.Start)}},
		&wire.RequestFrame{Sequence: 1, Body: &wire.RequestFrame_Outcome{Outcome: outcomeToWire(router.Unknown{Status: 502})}},
		&wire.RequestFrame{Sequence: 1, Body: &wire.RequestFrame_RequestEnd{RequestEnd: true}},
	} {
		var buf bytes.Buffer
		out := &frameWriter{w: &buf}
		if err := errors.Join(out.write(m), out.write(m)); err != nil {
			f.Fatal(err)
		}
		f.Add(buf.Bytes())
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		fuzzControl(t, data)
		fuzzRequest(t, data)
	})
}

func fuzzControl(t *testing.T, data []byte) {
	in := newFrameReader(bytes.NewReader(data), maxControlFrame)
	var decoder digestDecoder
	for {
		var frame wire.ControlFrame
		if in.read(&frame) != nil {
			return
		}
		digest, err := decoder.decode(frame.GetDigest())
		if err != nil {
			return
		}
		for _, r := range digest.Reports {
			if r.Endpoint == "" || r.Age < 0 || r.Latency < 0 || r.InFlight < 0 {
				t.Fatalf("report out of range: %+v", r)
			}
		}
		for _, d := range frame.GetDemand() {
			for _, a := range demandFromWire(d).Demands {
				if !(a.RequestsPerSecond >= 0 && a.RequestsPerSecond <= maxDemand) {
					t.Fatalf("demand out of range: %+v", a)
				}
			}
		}
		for _, r := range frame.GetRelayed() {
			_ = suspicionFromWire(r.GetSuspicion())
			_ = loadFromWire(r.GetLoad())
		}
	}
}

func fuzzRequest(t *testing.T, data []byte) {
	var opening wire.Opening
	if newFrameReader(bytes.NewReader(data), maxRequestFrame).read(&opening) == nil {
		if req, err := requestFromWire(opening.GetRequest(), scripter.Start); err == nil && req.Hops != 1 {
			t.Fatalf("request with %d hops", req.Hops)
		}
	}
	var got uint64
	body, err := readBody(newFrameReader(bytes.NewReader(data), maxRequestFrame), &got, 64)
	if err == nil && len(body) > 64 {
		t.Fatalf("body of %d bytes", len(body))
	}
	got = 0
	in := newFrameReader(bytes.NewReader(data), maxRequestFrame)
	if frame, err := nextFrame(in, &got); err == nil {
		_, _ = outcomeFromWire(frame.GetOutcome(), true)
	}
}

// The decoder returns the reports that were encoded, also after restarts of the indexes, and a
// report of load alone takes less than a third of the bytes of a complete report.
func TestDigestEncodingRoundTrip(t *testing.T) {
	is := is.New(t)
	var encoder digestEncoder
	var decoder digestDecoder
	sizes := map[bool]int{}
	for round := range 3 {
		for i := range 3 * maxEndpoints / 2 {
			want := report(i)
			want.InFlight = round
			urgent := encoder.isUrgent(want)
			frame := encoder.encode([]ProbeReport{want})
			sizes[urgent] = proto.Size(frame)
			got, err := decoder.decode(frame)
			is.NoErr(err)
			is.Equal(got.Reports[0], want)
			again := want
			again.Queued = 7
			frame = encoder.encode([]ProbeReport{again})
			sizes[encoder.isUrgent(again)] = proto.Size(frame)
			got, err = decoder.decode(frame)
			is.NoErr(err)
			is.Equal(got.Reports[0], again)
		}
	}
	is.True(len(decoder.states) <= maxEndpoints)
	is.True(sizes[false] < sizes[true]/3)
}

func report(i int) ProbeReport {
	return ProbeReport{
		Endpoint:      identifier.Endpoint(fmt.Sprintf("engine-%04d", i)),
		Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
		ProcessStart:  identifier.ProcessStart(scripter.Start.UnixNano()),
		Group:         identifier.Group(fmt.Sprintf("large-%03d", i/4)),
		Epoch:         identifier.Epoch(7),
		BundleVersion: 1900,
		Loaded:        true,
		Reachable:     true,
		Capacity:      32,
		InFlight:      12,
		Queued:        3,
		Age:           250 * time.Millisecond,
		Latency:       1200 * time.Microsecond,
	}
}

// A message is accepted once, over whichever session it arrives first, and messages of a replaced
// process are rejected.
func TestDeduplicator(t *testing.T) {
	is := is.New(t)
	d := deduplicator{}
	for _, c := range []struct {
		incarnation, sequence uint64
		want                  bool
	}{
		{5, 3, true},
		{5, 3, false},
		{5, 1, true},
		{5, 2, true},
		{5, 1, false},
		{5, 0, false},
		{5, 70, true},
		{5, 3, false},
		{5, 69, true},
		{5, 6, true},
		{5, 5, false},
		{5, 1 << 40, true},
		{5, 70, false},
		{4, 1 << 41, false},
		{6, 1, true},
		{5, 1 << 41, false},
	} {
		is.Equal(d.accept("a", c.incarnation, c.sequence), c.want) // incarnation and sequence as in the case
	}
	d.supersede("a", 9)
	is.True(!d.accept("a", 8, 1))
}

// The messages queued for a peer that reads slowly are bounded, and a newer message replaces an
// older one on the same subject.
func TestMailboxIsBounded(t *testing.T) {
	is := is.New(t)
	m := newMailbox()
	now := scripter.Start
	for i := range 3 * maxSuspicions {
		r := report(i % 10)
		r.InFlight = i
		m.putDigest(now, heartbeatInterval, ProbeDigest{Reports: []ProbeReport{r}})
		m.putHeartbeat(&wire.Heartbeat{Sequence: uint64(i)})
		m.putRelayed(heartbeatInterval, &wire.Relayed{Sequence: uint64(i), Message: &wire.Relayed_Suspicion{Suspicion: &wire.Suspicion{Fingerprint: uint64(i)}}})
		m.putRelayed(heartbeatInterval, &wire.Relayed{Sequence: uint64(i), Message: &wire.Relayed_Load{Load: &wire.LoadSummary{FailureDomain: "west"}}})
		m.putOffer(BundleOffer{Version: identifier.BundleVersion(i % 100)})
	}
	frame := m.take(now.Add(2 * time.Second))
	is.Equal(frame.GetHeartbeat().GetSequence(), uint64(3*maxSuspicions-1))
	is.Equal(len(frame.GetDigest().GetReports()), 10)
	is.Equal(frame.GetDigest().GetReports()[0].GetAgeCentiseconds(), uint64(225)) // the age grew while the report waited
	is.Equal(len(frame.GetRelayed()), maxSuspicions+1)
	is.True(proto.Size(frame) < maxControlFrame)
	is.Equal(m.takeOffer().Version, identifier.BundleVersion(99))
	is.True(m.take(now) == nil)
	is.True(m.takeOffer() == nil)
}
