package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// traffic counts the bytes and segments of connections, both ways.
type traffic struct {
	bytes, segments atomic.Int64
}

// wire returns the bytes with the headers of each segment and of its acknowledgement.
func (t *traffic) wire() int64 { return t.bytes.Load() + 2*headers*t.segments.Load() }

func (t *traffic) add(n int) {
	t.bytes.Add(int64(n))
	t.segments.Add(1)
}

// countedListener counts the traffic of its connections but those between members of a group.
type countedListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
	first   sync.Once
	member  bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.first.Do(func() { c.member = bytes.HasPrefix(b[:n], []byte("GET /member")) })
	if !c.member && n > 0 {
		c.traffic.add(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if !c.member {
		c.traffic.add(n)
	}
	return n, err
}
