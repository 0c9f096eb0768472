package timekeeper

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClock is a clock that tests set.
type fakeClock struct {
	now time.Duration
	// suspended is the time that only the uptime counts.
	suspended time.Duration
}

func (c *fakeClock) read() time.Duration { return c.now }

func (c *fakeClock) readUptime() time.Duration { return 9*time.Hour + c.now + c.suspended }

func TestDelay(t *testing.T) {
	newMeter := func() (*fakeClock, *DelayMeter) {
		c := &fakeClock{now: time.Hour}
		return c, NewDelayMeter(c.read, c.readUptime)
	}
	t.Run("a process that runs in time", func(t *testing.T) {
		c, m := newMeter()
		for range 10 {
			c.now += measureInterval
			m.measure()
			assert.Equal(t, m.Delay(), time.Duration(0))
		}
	})
	t.Run("a process that stands still is late before it has measured that", func(t *testing.T) {
		c, m := newMeter()
		c.now += measureInterval + 3*time.Second
		assert.Equal(t, m.Delay(), 3*time.Second)
	})
	t.Run("a delay counts for a while", func(t *testing.T) {
		c, m := newMeter()
		c.now += measureInterval + 3*time.Second
		m.measure()
		c.now += measureInterval
		m.measure()
		assert.Equal(t, m.Delay(), 3*time.Second)
		c.now += delayRetention
		m.measure()
		c.now += measureInterval
		m.measure()
		assert.Equal(t, m.Delay(), delayRetention-measureInterval)
	})
	t.Run("the mean follows the measurements, and one that is overdue", func(t *testing.T) {
		c, m := newMeter()
		c.now += measureInterval + 400*time.Millisecond
		assert.Equal(t, m.MeanDelay(), 400*time.Millisecond)
		m.measure()
		assert.Equal(t, m.MeanDelay(), 200*time.Millisecond)
		c.now += measureInterval
		m.measure()
		assert.Equal(t, m.MeanDelay(), 100*time.Millisecond)
	})
	t.Run("a host that was suspended", func(t *testing.T) {
		c, m := newMeter()
		c.suspended = 3 * time.Second
		c.now += measureInterval
		m.measure()
		assert.Equal(t, m.Delay(), 3*time.Second)
		c.now += delayRetention
		m.measure()
		c.now += measureInterval
		m.measure()
		assert.Assert(t, m.Delay() < time.Second)
	})
	t.Run("without a meter nothing is late", func(t *testing.T) {
		var m *DelayMeter
		assert.Equal(t, m.Delay(), time.Duration(0))
	})
	t.Run("the meter measures until it is stopped", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			clock := func() time.Duration { return time.Since(start) }
			m := NewDelayMeter(clock, clock)
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			group.Go(func() { _ = m.Run(ctx) })
			time.Sleep(time.Second + measureInterval/2)
			synctest.Wait()
			assert.Equal(t, m.Delay(), time.Duration(0))
			cancel()
			group.Wait()
			time.Sleep(time.Second)
			assert.Assert(t, m.Delay() >= 900*time.Millisecond)
		})
	})
}

// TestAge sends messages whose delivery takes 1 ms at least, between clocks that differ.
func TestAge(t *testing.T) {
	const sender, offset, delivery = 7, -40 * time.Hour, time.Millisecond
	type message struct{ sentAfter, wait time.Duration }
	deliver := func(c *fakeClock, e *AgeEstimator, m message) (time.Duration, bool) {
		c.now += m.sentAfter
		sent := c.now + offset
		c.now += delivery + m.wait
		age, known := e.Age(sender, sent)
		return age, known
	}
	newEstimator := func() (*fakeClock, *AgeEstimator) {
		c := &fakeClock{now: time.Hour}
		return c, NewAgeEstimator(c.read)
	}
	t.Run("the first message has no age", func(t *testing.T) {
		c, e := newEstimator()
		age, known := deliver(c, e, message{wait: time.Second})
		assert.Equal(t, age, time.Duration(0))
		assert.Assert(t, !known)
	})
	t.Run("a message that waits is as old as it waited", func(t *testing.T) {
		c, e := newEstimator()
		for range 3 {
			age, _ := deliver(c, e, message{sentAfter: time.Second})
			assert.Equal(t, age, time.Duration(0))
		}
		age, known := deliver(c, e, message{sentAfter: time.Second, wait: 1550 * time.Millisecond})
		assert.Equal(t, age, 1550*time.Millisecond)
		assert.Assert(t, known)
	})
	t.Run("a faster message corrects the estimate", func(t *testing.T) {
		c, e := newEstimator()
		deliver(c, e, message{wait: 300 * time.Millisecond})
		deliver(c, e, message{})
		age, _ := deliver(c, e, message{wait: 500 * time.Millisecond})
		assert.Equal(t, age, 500*time.Millisecond)
	})
	t.Run("clocks that drift apart do not make messages old", func(t *testing.T) {
		c, e := newEstimator()
		sent := time.Duration(0)
		var age time.Duration
		for range 7200 {
			c.now += time.Second
			sent += time.Second - 50*time.Microsecond
			age, _ = e.Age(sender, sent)
			assert.Assert(t, age <= 2*50*offsetPeriod/1e6, "%s", age)
		}
		assert.Assert(t, age > 0)
	})
	t.Run("a sender that was silent for long begins anew", func(t *testing.T) {
		c, e := newEstimator()
		deliver(c, e, message{})
		age, _ := deliver(c, e, message{sentAfter: 2*offsetPeriod + time.Second, wait: time.Second})
		assert.Equal(t, age, time.Duration(0))
	})
	t.Run("senders are bounded", func(t *testing.T) {
		c, e := newEstimator()
		for sender := range uint64(3 * maxSenders) {
			c.now += time.Millisecond
			_, _ = e.Age(sender, c.now)
			assert.Assert(t, len(e.offsets) <= maxSenders)
		}
	})
}

func TestUptimeAdvances(t *testing.T) {
	before := Uptime()
	time.Sleep(time.Millisecond)
	assert.Assert(t, Uptime() > before)
}

// TestStandingDelay tells a backlog from a single long task.
func TestStandingDelay(t *testing.T) {
	c := &fakeClock{now: time.Hour}
	m := NewDelayMeter(c.read, c.readUptime)
	measure := func(late time.Duration) time.Duration {
		c.now += measureInterval + late/2
		m.measure()
		m.probeStart = int64(c.now)
		c.now += late / 2
		m.recordWait()
		m.due.Store(int64(c.now + measureInterval))
		return m.StandingDelay()
	}
	assert.Equal(t, measure(3*time.Second), time.Duration(0), "one long pause")
	assert.Equal(t, measure(0), time.Duration(0))
	for range standingMeasurements - 1 {
		assert.Equal(t, measure(80*time.Millisecond), time.Duration(0))
	}
	assert.Equal(t, measure(60*time.Millisecond), 60*time.Millisecond, "work waits all the time")
	assert.Equal(t, measure(0), time.Duration(0), "the node has caught up")
	m.probeStart = int64(c.now)
	for range standingMeasurements {
		c.now += measureInterval
		m.measure()
		m.recordWait()
	}
	assert.Equal(t, m.StandingDelay(), measureInterval, "a probe has not come through for three measurements")
}
