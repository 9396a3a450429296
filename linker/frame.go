package linker

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Size limits of one frame in bytes, without the length prefix.
const (
	maxControlFrame = 256 << 10
	maxRequestFrame = 256 << 10
	maxBulkFrame    = 2 << 20
)

// maxPartSize is the maximum number of body bytes in one frame. It bounds how long a heartbeat
// waits for a frame of a request to be written.
const maxPartSize = 16 << 10

// A FrameError reports that a peer violated the protocol.
type FrameError struct {
	Expected string
}

// Error implements error.
func (e *FrameError) Error() string { return "linker: invalid frame: expected " + e.Expected }

// frameReader reads the frames of one stream.
type frameReader struct {
	buf *bufio.Reader
	max int64 // size limit of a frame in bytes
}

func newFrameReader(r io.Reader, limit int64) *frameReader {
	return &frameReader{buf: bufio.NewReader(r), max: limit}
}

// read reads the next frame into m. A frame whose length prefix exceeds the limit is rejected
// before any memory is allocated for it.
func (f *frameReader) read(m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: f.max}.UnmarshalFrom(f.buf, m)
	if err != nil {
		return fmt.Errorf("linker: read frame: %w", err)
	}
	return nil
}

// frameWriter writes the frames of one stream. It is not safe for concurrent use.
type frameWriter struct {
	w   io.Writer
	buf []byte
}

// write writes m with its length prefix in one call of Write on the stream.
func (f *frameWriter) write(m proto.Message) error {
	f.buf = protowire.AppendVarint(f.buf[:0], uint64(proto.Size(m)))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(f.buf, m)
	if err != nil {
		return fmt.Errorf("linker: marshal frame: %w", err)
	}
	f.buf = buf
	if _, err := f.w.Write(buf); err != nil {
		return fmt.Errorf("linker: write frame: %w", err)
	}
	return nil
}
