package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"amaranthmill/internal/eventreader"
	"amaranthmill/requester"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 128 << 10

// streamBufferSize is the number of bytes of a stream that are read ahead of the caller.
const streamBufferSize = 4 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferSize) }}

// receive relays or holds an answer whose header has arrived, and returns the ending of its attempt.
func (f *Forwarder) receive(x *exchange, a *attempt, answer *requester.Answer, fields AnswerFields) scheduler.Ending {
	switch {
	case fields.NotRun:
		answer.Discard()
		return scheduler.Refused{Status: answer.Status, Misdirected: fields.Misdirected}
	case fields.Encoded, answer.IsSuccess() && !fields.Signed, impliesNotRun(answer.Status):
		return scheduler.Broken{}
	case x.match.Route.Kind == resolver.KindStream && isStream(answer):
		return f.relayStream(x, a, answer, fields.Load)
	}
	return f.holdAnswer(x, a, answer)
}

// impliesNotRun reports whether callers conclude from a status that the request has not run.
// Such an answer is relayed only if the endpoint states this explicitly.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func isStream(a *requester.Answer) bool {
	return a.Status == http.StatusOK && strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// holdAnswer reads the complete answer before any byte of it is sent to the caller. An answer that
// is not a stream can't continue a stream that has begun, and counts as an error of its endpoint.
func (f *Forwarder) holdAnswer(x *exchange, a *attempt, answer *requester.Answer) scheduler.Ending {
	body, err := f.readHeld(x, answer)
	if err != nil {
		f.logBroken(x, err)
		return a.brokenEnding()
	}
	a.held = heldAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || x.relay.hasStarted() {
		return scheduler.Failed{Status: answer.Status}
	}
	return scheduler.Completed{}
}

// completedStreamEnding returns the ending of a stream that ended without an error. A stream
// without any event counts as broken unless the caller resumed it, because then the caller
// may already have all events. An attempt without an event that follows a broken one does not
// show that the stream is complete either; the caller may resume it and learn that.
func (x *exchange) completedStreamEnding(a *attempt, answer *requester.Answer, hasEvents bool) scheduler.Ending {
	if hasEvents {
		return scheduler.Completed{}
	}
	if x.relay.hasStarted() || x.fields.LastEventID < 0 {
		return scheduler.Broken{}
	}
	a.held = heldAnswer{status: answer.Status, header: answer.Header}
	return scheduler.Completed{}
}

// relayStream relays events until the end of the stream. It reads the next event only after
// the previous event was written to the caller. An incomplete event is never relayed, nor is an
// event of an attempt that was abandoned: the scheduler learns of each event before it is
// relayed, and abandons the request's other attempt then.
func (f *Forwarder) relayStream(x *exchange, a *attempt, answer *requester.Answer, load scheduler.Load) scheduler.Ending {
	in := streamBuffers.Get().(*bufio.Reader)
	in.Reset(answer)
	defer streamBuffers.Put(in)
	var event []byte
	for hasEvents := false; ; hasEvents = true {
		var err error
		event, err = eventreader.Read(event[:0], in, maxEventBytes)
		if errors.Is(err, io.EOF) {
			return x.completedStreamEnding(a, answer, hasEvents)
		}
		if err != nil {
			f.logBroken(x, err)
			return a.brokenEnding()
		}
		f.step.Submit(scheduler.Progressed{Ref: x.ref, Attempt: a.Attempt, Event: true, Load: load})
		load = scheduler.Load{}
		if a.isAbandoned.Load() {
			return scheduler.Abandoned{}
		}
		if err := x.relay.writeEvent(answer.Status, answer.Header, event); err != nil {
			f.step.Submit(scheduler.CallerLeft{Ref: x.ref}) // abandons a
			return a.brokenEnding()
		}
	}
}
