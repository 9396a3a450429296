package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"

	"amaranthmill/internal/eventreader"
	"amaranthmill/router"
)

const (
	maxEventBytes    = 1 << 20 // maximum size of one server-sent event
	streamBufferSize = 4 << 10 // bytes read from the engine ahead of the caller
)

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferSize) }}

// streamAnswer passes server-sent events to the caller until the end mark. It reads the next
// event only after the caller accepted the previous one, so that a slow caller slows down
// the engine. A truncated event is never passed on.
func (d *Dispatcher) streamAnswer(resp *http.Response, s *sink) error {
	if err := s.start(resp.StatusCode, endToEndHeader(resp.Header)); err != nil {
		return err
	}
	in := streamBuffers.Get().(*bufio.Reader)
	in.Reset(resp.Body)
	defer streamBuffers.Put(in)
	var event []byte
	for !s.answer.IsComplete() {
		var err error
		if event, err = readEvent(event[:0], in); err != nil {
			return err
		}
		if err := s.writeEvent(event); err != nil {
			return err
		}
	}
	return nil
}

// readEvent appends the next server-sent event to dst, including its final blank line.
func readEvent(dst []byte, in *bufio.Reader) ([]byte, error) {
	event, err := eventreader.Read(dst, in, maxEventBytes)
	var large *eventreader.TooLargeError
	switch {
	case errors.As(err, &large):
		return event, errTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return event, errNoEndMark
	}
	return event, err
}

// bufferAnswer reads the complete answer before it passes the first byte to the caller.
func (d *Dispatcher) bufferAnswer(resp *http.Response, s *sink) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errUnbounded
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(d.cfg.MaxAnswerBytes)+1))
	if err != nil {
		return err
	}
	if len(body) > d.cfg.MaxAnswerBytes {
		return errTooLarge
	}
	return s.writeAnswer(resp.StatusCode, endToEndHeader(resp.Header), body)
}

// relayWriter is the Writer that receives an answer from a peer. It passes a stream on as it
// arrives, and buffers any other answer until the peer reports that the answer is complete.
type relayWriter struct {
	s      *sink
	buffer answerBuffer
	stream bool
}

// Start passes on the header of a stream and buffers any other header.
func (w *relayWriter) Start(status int, header http.Header) error {
	w.stream = isStream(header)
	if w.stream {
		return w.s.start(status, header)
	}
	return w.buffer.Start(status, header)
}

// Write passes on part, a complete event, if the answer is a stream, and buffers part otherwise.
func (w *relayWriter) Write(part []byte) error {
	if w.stream {
		return w.s.writeEvent(part)
	}
	return w.buffer.Write(part)
}

// finish passes on a buffered answer. It returns errNoEndMark for a stream without its end mark.
func (w *relayWriter) finish() error {
	if !w.stream {
		return w.s.writeAnswer(w.buffer.status, w.buffer.header, w.buffer.body)
	}
	if !w.s.answer.IsComplete() {
		return errNoEndMark
	}
	return nil
}

// answerBuffer is a Writer that stores the answer in memory.
type answerBuffer struct {
	status int
	header http.Header
	body   []byte
}

// Start stores the status and header. It returns no error.
func (b *answerBuffer) Start(status int, header http.Header) error {
	b.status, b.header = status, header
	return nil
}

// Write appends a part of the body. It returns no error.
func (b *answerBuffer) Write(part []byte) error {
	b.body = append(b.body, part...)
	return nil
}

var (
	_ router.Writer = (*relayWriter)(nil)
	_ router.Writer = (*answerBuffer)(nil)
)
