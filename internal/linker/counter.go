package linker

import "sync/atomic"

// Direction is the way of bytes as seen from this node.
type Direction string

// The directions of bytes.
const (
	DirectionSent     Direction = "sent"
	DirectionReceived Direction = "received"
)

// Count is told of each write to and read from a connection between nodes. It
// must be safe for concurrent use.
type Count func(t Traffic, d Direction, bytes int)

// TrafficOf returns the traffic class of an accepted connection by the kind of its first stream.
type TrafficOf func(kind string) Traffic

// WithCount counts the bytes of all connections, opened and accepted ones.
func WithByteCounter(count Count, of TrafficOf) Option {
	return func(l *Linker) { l.count, l.trafficOf = count, of }
}

// connCounter counts the bytes of one connection.
type connCounter struct {
	// count is nil when nothing is counted.
	count Count
	// traffic is TrafficUnknown on an accepted connection until its first stream names its kind.
	traffic atomic.Pointer[Traffic]
}

func newConnCounter(count Count, t Traffic) *connCounter {
	c := &connCounter{count: count}
	c.traffic.Store(&t)
	return c
}

func (c *connCounter) add(d Direction, bytes int) {
	if c.count != nil && bytes > 0 {
		c.count(*c.traffic.Load(), d, bytes)
	}
}

// begin classifies an accepted connection by the kind of its first stream.
func (c *connCounter) begin(kind string, of TrafficOf) {
	if of != nil && *c.traffic.Load() == TrafficUnknown {
		t := of(kind)
		c.traffic.Store(&t)
	}
}
