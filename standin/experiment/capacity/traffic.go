package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// traffic counts the bytes and segments of connections in both directions. Each Write, and
// each Read that returns data, counts as one segment.
type traffic struct {
	bytes, segments atomic.Int64
}

// wireBytes returns the bytes plus the headers of each segment and of its acknowledgement.
func (t *traffic) wireBytes() int64 { return t.bytes.Load() + 2*headerBytes*t.segments.Load() }

func (t *traffic) add(n int) {
	t.bytes.Add(int64(n))
	t.segments.Add(1)
}

// countingListener counts the traffic of its connections, except for connections between
// members of a group.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, traffic: l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic          *traffic
	firstRead        sync.Once
	isBetweenMembers bool
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.firstRead.Do(func() { c.isBetweenMembers = bytes.HasPrefix(b[:n], []byte("GET /member")) })
	if !c.isBetweenMembers && n > 0 {
		c.traffic.add(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if !c.isBetweenMembers {
		c.traffic.add(n)
	}
	return n, err
}
