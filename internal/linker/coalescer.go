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

// coalescer combines the header and the body of a yamux data frame, which the
// session writes separately, into one write. A session has a single writing
// goroutine, so there is no lock.
type coalescer struct {
	net.Conn
	// pendingHeader is a header whose body has not been written yet; empty if there is none.
	pendingHeader []byte
	// counter counts the bytes in both directions.
	counter *connCounter
	// onReceive, if not nil, is called after each read that returned bytes.
	onReceive func()
}

func newCoalescer(conn net.Conn, counter *connCounter) *coalescer {
	return &coalescer{Conn: conn, pendingHeader: make([]byte, 0, frameHeaderBytes), counter: counter}
}

// Read reads from the connection and counts the bytes.
func (c *coalescer) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.add(DirectionReceived, n)
	if n > 0 && c.onReceive != nil {
		c.onReceive()
	}
	return n, err
}

// Write withholds the header of a data frame until its body is written.
func (c *coalescer) Write(b []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	if len(c.pendingHeader) == 0 {
		n, err := c.Conn.Write(b)
		c.counter.add(DirectionSent, n)
		return n, err
	}
	buffers := net.Buffers{c.pendingHeader, b}
	n, err := buffers.WriteTo(c.Conn)
	c.counter.add(DirectionSent, int(n))
	c.pendingHeader = c.pendingHeader[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader tells whether b is the header of a data frame with a body.
func isDataHeader(b []byte) bool {
	if len(b) != frameHeaderBytes || b[frameTypeOffset] != frameTypeData {
		return false
	}
	return binary.BigEndian.Uint32(b[frameLengthOffset:]) > 0
}
