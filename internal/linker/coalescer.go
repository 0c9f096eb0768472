package linker

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0
)

// coalescer joins the header and the body of a yamux data frame, which the
// session writes one after the other, into one write. A session has a single
// writing goroutine, so there is no lock.
type coalescer struct {
	net.Conn
	// header waits for its body; empty when none does.
	header []byte
	// bytes counts what passes.
	bytes *connCounter
	// heard is told of each read that brought bytes; nil means nobody.
	heard func()
}

func newCoalescer(conn net.Conn, bytes *connCounter) *coalescer {
	return &coalescer{Conn: conn, header: make([]byte, 0, frameHeaderBytes), bytes: bytes}
}

// Read counts what it reads.
func (c *coalescer) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.add(DirectionReceived, n)
	if n > 0 && c.heard != nil {
		c.heard()
	}
	return n, err
}

// Write keeps back the header of a data frame until its body comes.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.header) == 0 && beginsData(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	if len(c.header) == 0 {
		n, err := c.Conn.Write(b)
		c.bytes.add(DirectionSent, n)
		return n, err
	}
	buffers := net.Buffers{c.header, b}
	n, err := buffers.WriteTo(c.Conn)
	c.bytes.add(DirectionSent, int(n))
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func beginsData(b []byte) bool {
	if len(b) != frameHeaderBytes || b[frameTypeOffset] != frameTypeData {
		return false
	}
	return binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
