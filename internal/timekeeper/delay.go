// Package timekeeper tells how old what a process reads is. Bytes carry no time of
// arrival, so a process that lacked processor time, or stood still, takes what it reads
// late for new.
//
// A DelayMeter measures how late the process runs. An AgeEstimator compares the clocks of
// two processes by the messages from one to the other.
package timekeeper

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// measureInterval is the time between two measurements of the delay.
	measureInterval = 50 * time.Millisecond
	// delayRetention is how long a measured delay counts. What has arrived during a
	// standstill is read within that time.
	delayRetention = 100 * time.Millisecond
	// standingMeasurements is the number of measurements after which a delay that never
	// fell counts as standing.
	standingMeasurements = 3
)

// DelayMeter measures for how long a goroutine that is ready waits for the processor: its
// own goroutine sleeps for short times and measures how late it wakes up. It is safe for
// concurrent use.
type DelayMeter struct {
	clock func() time.Duration
	// uptime also counts the time for which the host was suspended. It costs a system call.
	uptime func() time.Duration
	// suspended is how far uptime was ahead of clock at the last measurement. It is used by
	// one goroutine.
	suspended time.Duration
	// due is when the next measurement should begin, by clock.
	due atomic.Int64
	// delay is the delay that counts until expiresAt, in nanoseconds.
	delay, expiresAt atomic.Int64
	// mean is the moving average of the measured delays, in nanoseconds.
	mean atomic.Int64
	// latestDelay is the latest measured delay, in nanoseconds. It is used by one goroutine.
	latestDelay int64
	// probeStart is when the latest probe was sent, by clock. It is used by one goroutine.
	probeStart int64
	// recent holds the last delays with the waits of their probes, in nanoseconds. It is
	// used by one goroutine.
	recent [standingMeasurements]int64
	// standing is the least of recent.
	standing atomic.Int64
}

// NewDelayMeter returns a meter that reads the given clocks, Monotonic and Uptime in production.
func NewDelayMeter(clock, uptime func() time.Duration) *DelayMeter {
	m := &DelayMeter{clock: clock, uptime: uptime, suspended: uptime() - clock()}
	m.due.Store(int64(clock() + measureInterval))
	return m
}

// Run measures until ctx ends.
//
// A goroutine that a timer wakes goes ahead of those that wait in the scheduler's queue, so
// each measurement also sends a probe through that queue.
func (m *DelayMeter) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	probes, pushes := make(chan struct{}, 1), make(chan struct{}, 1)
	defer close(probes)
	defer close(pushes)
	arrived := make(chan struct{}, 1)
	group.Go(func() {
		for range probes {
			arrived <- struct{}{}
		}
	})
	group.Go(func() {
		for range pushes {
		}
	})
	timer := time.NewTimer(measureInterval)
	defer timer.Stop()
	waiting := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-arrived:
			waiting = false
			m.recordWait()
			continue
		case <-timer.C:
		}
		m.measure()
		if waiting {
			m.recordWait()
		} else {
			waiting = true
			m.probeStart = int64(m.clock())
			// The goroutine that was made ready last runs first. Making another one ready moves
			// the probe to the end of the queue.
			probes <- struct{}{}
			pushes <- struct{}{}
		}
		timer.Reset(measureInterval)
	}
}

// recordWait records how long the latest probe has waited. It may still be waiting.
func (m *DelayMeter) recordWait() {
	wait := int64(m.clock()) - m.probeStart
	copy(m.recent[1:], m.recent[:])
	m.recent[0] = m.latestDelay + wait
	m.standing.Store(slices.Min(m.recent[:]))
}

// measure records how late it is called.
func (m *DelayMeter) measure() {
	clock := m.clock()
	now, suspended := int64(clock), m.uptime()-clock
	late := max(now-m.due.Load(), 0) + int64(max(suspended-m.suspended, 0))
	m.suspended = suspended
	m.mean.Store((m.mean.Load() + late) / 2)
	m.latestDelay = late
	if late >= m.delay.Load() || now >= m.expiresAt.Load() {
		m.delay.Store(late)
		m.expiresAt.Store(now + int64(delayRetention))
	}
	m.due.Store(now + int64(measureInterval))
}

// Delay returns how late the process runs: the greatest delay measured lately, or the time
// by which the next measurement is overdue if that is greater.
func (m *DelayMeter) Delay() time.Duration {
	if m == nil {
		return 0
	}
	now := int64(m.clock())
	late := max(now-m.due.Load(), 0)
	if now < m.expiresAt.Load() {
		late = max(late, m.delay.Load())
	}
	return time.Duration(late)
}

// MeanDelay returns how late the process runs on average over the last measurements, or
// the time by which the next one is overdue if that is greater. It tells how long what
// becomes ready now will wait.
func (m *DelayMeter) MeanDelay() time.Duration {
	return time.Duration(max(m.mean.Load(), int64(m.clock())-m.due.Load()))
}

// StandingDelay returns how long work waits for the processor that is ready although the
// process has had time to catch up: the least of the last measurements. A single long task, or a
// pause of the process, does not count.
func (m *DelayMeter) StandingDelay() time.Duration {
	return time.Duration(m.standing.Load())
}
