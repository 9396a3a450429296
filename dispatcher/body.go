package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"sync"

	"amaranthmill/internal/eventer"
	"amaranthmill/router"
)

const (
	maxEventBytes    = 1 << 20 // of one server-sent event
	streamBufferSize = 4 << 10 // read from the engine ahead of the caller
)

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferSize) }}

// stream passes server-sent events on until the end mark. It reads the next event only
// once the caller took the last one, so that a slow caller holds back the engine. An
// event that is cut off is never passed on.
func (d *Dispatcher) stream(resp *http.Response, s *sink) error {
	if err := s.start(resp.StatusCode, passedHeader(resp.Header)); err != nil {
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
		if err := s.event(event); err != nil {
			return err
		}
	}
	return nil
}

// readEvent appends the next server-sent event to dst, up to its blank line.
func readEvent(dst []byte, in *bufio.Reader) ([]byte, error) {
	event, err := eventer.Read(dst, in, maxEventBytes)
	var large *eventer.TooLargeError
	switch {
	case errors.As(err, &large):
		return event, errTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return event, errNoEndMark
	}
	return event, err
}

// hold reads the answer to its end before a byte of it goes out.
func (d *Dispatcher) hold(resp *http.Response, s *sink) error {
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
	return s.whole(resp.StatusCode, passedHeader(resp.Header), body)
}

// forwarded is the Writer through which a peer's answer comes back. A stream is passed on
// as it comes; any other answer is held until the peer says that it is whole.
type forwarded struct {
	s      *sink
	holder holder
	stream bool
}

// Start sends the header of a stream on, and holds any other.
func (f *forwarded) Start(status int, header http.Header) error {
	f.stream = isStream(header)
	if f.stream {
		return f.s.start(status, header)
	}
	return f.holder.Start(status, header)
}

// Write passes one whole event of a stream on, and holds any other part.
func (f *forwarded) Write(part []byte) error {
	if f.stream {
		return f.s.event(part)
	}
	return f.holder.Write(part)
}

// end passes a held answer on, or reports a stream without its end mark.
func (f *forwarded) end() error {
	if !f.stream {
		return f.s.whole(f.holder.status, f.holder.header, f.holder.body)
	}
	if !f.s.answer.IsComplete() {
		return errNoEndMark
	}
	return nil
}

// holder is a Writer that holds the answer in memory.
type holder struct {
	status int
	header http.Header
	body   []byte
}

// Start holds the status and header. It returns no error.
func (h *holder) Start(status int, header http.Header) error {
	h.status, h.header = status, header
	return nil
}

// Write holds a part of the body. It returns no error.
func (h *holder) Write(part []byte) error {
	h.body = append(h.body, part...)
	return nil
}

var (
	_ router.Writer = (*forwarded)(nil)
	_ router.Writer = (*holder)(nil)
)
