package linker

import "sync/atomic"

// Direction is the direction of bytes as seen from this node.
type Direction string

// The directions of bytes.
const (
	DirectionSent     Direction = "sent"
	DirectionReceived Direction = "received"
)

// ByteCounter is called for each write to and read from a connection between nodes. It
// must be safe for concurrent use.
type ByteCounter func(t Traffic, d Direction, bytes int)

// TrafficClassifier returns the traffic class of an accepted connection by the kind of its first stream.
type TrafficClassifier func(kind string) Traffic

// WithByteCounter counts the bytes of all connections, both opened and accepted.
func WithByteCounter(count ByteCounter, classify TrafficClassifier) Option {
	return func(l *Linker) { l.countBytes, l.classify = count, classify }
}

// connCounter counts the bytes of one connection.
type connCounter struct {
	// countBytes is nil if bytes are not counted.
	countBytes ByteCounter
	// traffic is TrafficUnknown on an accepted connection until its first stream has sent its kind.
	traffic atomic.Pointer[Traffic]
}

func newConnCounter(countBytes ByteCounter, t Traffic) *connCounter {
	c := &connCounter{countBytes: countBytes}
	c.traffic.Store(&t)
	return c
}

func (c *connCounter) add(d Direction, bytes int) {
	if c.countBytes != nil && bytes > 0 {
		c.countBytes(*c.traffic.Load(), d, bytes)
	}
}

// classify sets the traffic class of an accepted connection by the kind of its first stream.
func (c *connCounter) classify(kind string, classify TrafficClassifier) {
	if classify != nil && *c.traffic.Load() == TrafficUnknown {
		t := classify(kind)
		c.traffic.Store(&t)
	}
}
