package linker

import (
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// byteTotals sums the bytes that a linker counts.
type byteTotals struct {
	mu    sync.Mutex
	bytes map[Traffic]map[Direction]int
}

func (c *byteTotals) add(t Traffic, d Direction, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes == nil {
		c.bytes = map[Traffic]map[Direction]int{}
	}
	if c.bytes[t] == nil {
		c.bytes[t] = map[Direction]int{}
	}
	c.bytes[t][d] += bytes
}

func (c *byteTotals) of(t Traffic, d Direction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[t][d]
}

func (c *byteTotals) total(d Direction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, by := range c.bytes {
		sum += by[d]
	}
	return sum
}

func TestWithByteCounter(t *testing.T) {
	var opener, server byteTotals
	const messages = 100
	minBytes := messages * (frameHeaderBytes + len("hello"))
	runWithPeer(t, func(t *testing.T, l *Linker, e *echoPeer) {
		WithByteCounter(opener.add, nil)(l)
		WithByteCounter(server.add, func(string) Traffic { return TrafficBulk })(e.linker)
		s := open(t, l, TrafficControl)
		for range messages {
			assertEcho(t, s, "hello")
		}
		s.Abort()
		synctest.Wait()
	})
	t.Run("an opened connection is counted under its class", func(t *testing.T) {
		assert.Assert(t, opener.of(TrafficControl, DirectionSent) >= minBytes)
		assert.Assert(t, opener.of(TrafficControl, DirectionReceived) >= minBytes)
		assert.Equal(t, opener.total(DirectionSent), opener.of(TrafficControl, DirectionSent))
	})
	t.Run("an accepted connection is counted under the class of its first stream", func(t *testing.T) {
		assert.Assert(t, server.of(TrafficBulk, DirectionSent) >= minBytes)
		assert.Assert(t, server.of(TrafficUnknown, DirectionReceived) > 0)
	})
	t.Run("both ends count the same bytes", func(t *testing.T) {
		assert.Equal(t, opener.total(DirectionSent), server.total(DirectionReceived))
		assert.Equal(t, server.total(DirectionSent), opener.total(DirectionReceived))
	})
}
