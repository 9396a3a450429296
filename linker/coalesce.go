package linker

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame's header: version, type, flags, stream and length.
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// maxKeptBuffer limits the buffer that a coalescer keeps between frames, in bytes.
const maxKeptBuffer = 32 << 10

// coalescer delays the header of a yamux data frame until yamux writes the body in its next
// call, so that both are sent in one TLS record and one TCP segment. It is not safe for
// concurrent use; only yamux's single sending goroutine writes.
type coalescer struct {
	net.Conn
	buf []byte // delayed header, or empty; its capacity is reused
}

// Write implements net.Conn.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.buf) == 0 {
		if hasBody(b) {
			c.buf = append(c.buf, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	c.buf = append(c.buf, b...)
	_, err := c.Conn.Write(c.buf)
	if c.buf = c.buf[:0]; cap(c.buf) > maxKeptBuffer {
		c.buf = nil
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func hasBody(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
