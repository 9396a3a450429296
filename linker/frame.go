package linker

import (
	"bufio"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Limits of one frame, in bytes without its length prefix.
const (
	maxControlFrame = 256 << 10
	maxRequestFrame = 256 << 10
	maxBulkFrame    = 2 << 20
)

// partSize is the most bytes of a body in one frame. It bounds how long a heartbeat
// waits behind the frame of a request.
const partSize = 16 << 10

// A FrameError says that a peer broke the protocol.
type FrameError struct {
	Expected string
}

// Error implements error.
func (e *FrameError) Error() string { return "linker: expected " + e.Expected }

// frameReader reads the frames of one stream.
type frameReader struct {
	buf *bufio.Reader
	max int64 // bytes of a frame
}

func newFrameReader(r io.Reader, limit int64) *frameReader {
	return &frameReader{buf: bufio.NewReader(r), max: limit}
}

// read reads the next frame into m. It allocates no more than the limit, whatever the prefix says.
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

// write writes m with its length prefix in one call of the stream's Write.
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
