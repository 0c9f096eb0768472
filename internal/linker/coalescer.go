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
}

func newCoalescer(conn net.Conn) *coalescer {
	return &coalescer{Conn: conn, header: make([]byte, 0, frameHeaderBytes)}
}

// Write keeps back the header of a data frame until its body comes.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.header) == 0 && beginsData(b) {
		c.header = append(c.header, b...)
		return len(b), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(b)
	}
	buffers := net.Buffers{c.header, b}
	_, err := buffers.WriteTo(c.Conn)
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
