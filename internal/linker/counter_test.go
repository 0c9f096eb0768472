package linker

import (
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// tally adds up what a linker counts.
type tally struct {
	mu    sync.Mutex
	bytes map[Traffic]map[Direction]int
}

func (c *tally) add(t Traffic, d Direction, bytes int) {
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

func (c *tally) of(t Traffic, d Direction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes[t][d]
}

func (c *tally) total(d Direction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := 0
	for _, by := range c.bytes {
		sum += by[d]
	}
	return sum
}

func TestCount(t *testing.T) {
	var near, far tally
	const words = 100
	least := words * (frameHeaderBytes + len("hello"))
	inBubble(t, func(t *testing.T, l *Linker, e *echo) {
		WithByteCounter(near.add, nil)(l)
		WithByteCounter(far.add, func(string) Traffic { return TrafficBulk })(e.linker)
		s := open(t, l, TrafficControl)
		for range words {
			say(t, s, "hello")
		}
		s.Abort()
		synctest.Wait()
	})
	t.Run("an opened connection counts under its class", func(t *testing.T) {
		assert.Assert(t, near.of(TrafficControl, DirectionSent) >= least)
		assert.Assert(t, near.of(TrafficControl, DirectionReceived) >= least)
		assert.Equal(t, near.total(DirectionSent), near.of(TrafficControl, DirectionSent))
	})
	t.Run("an accepted connection counts under the class of its first stream", func(t *testing.T) {
		assert.Assert(t, far.of(TrafficBulk, DirectionSent) >= least)
		assert.Assert(t, far.of(TrafficUnknown, DirectionReceived) > 0)
	})
	t.Run("both ends count the same bytes", func(t *testing.T) {
		assert.Equal(t, near.total(DirectionSent), far.total(DirectionReceived))
		assert.Equal(t, far.total(DirectionSent), near.total(DirectionReceived))
	})
}
