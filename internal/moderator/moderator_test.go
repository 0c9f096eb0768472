package moderator

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The mesh of the load tests: three data centres of callingHosts hosts each, whose runs
// take runMs and make callsPerRun calls, one after the other. The called service has
// calledSlots in all, and a call takes callMs there.
const (
	callingHosts = 8
	hostSlots    = 18
	// callDeadlineMs is how long a call may wait until it is refused, and its run fails.
	callDeadlineMs = 500
	runMs          = 140
	callsPerRun    = 2
	callMs         = 42
	calledSlots    = 40
	objective      = 150 * time.Millisecond
	// settleSeconds is how long limits may take after a step of the load.
	settleSeconds = 2
	// room is how many runs a second the calls of which can be served.
	room = calledSlots * 1000 / (callsPerRun * callMs)
)

var start = time.Unix(1_700_000_000, 0)

// event is something that happens at a time, in milliseconds.
type event struct {
	at    int
	apply func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// host is a host of the calling service. What it knows is as old as delayMs.
type host struct {
	moderator *Moderator
	delayMs   int
	running   int
	limit     float64
	fraction  float64
}

// mesh replays runs and calls.
type mesh struct {
	now    int
	events events
	rnd    *rand.Rand
	hosts  []*host
	// depth is how many services calls pass until they reach the scarce one, of which those
	// between report what they see.
	between []*Moderator
	busy    int
	queue   []func()
	// done counts the runs that ended in each second, wait the waits of calls.
	done   []int
	wait   []time.Duration
	counts []int
}

func newMesh(seconds, depth, minDelayMs, maxDelayMs int) *mesh {
	m := &mesh{rnd: rand.New(rand.NewPCG(5, 6)), done: make([]int, seconds+1), wait: make([]time.Duration, seconds+1), counts: make([]int, seconds+1)}
	for n := range 3 * callingHosts {
		delay := minDelayMs + (maxDelayMs-minDelayMs)*(n%callingHosts)/(callingHosts-1)
		m.hosts = append(m.hosts, &host{moderator: New(), delayMs: delay, limit: hostSlots})
	}
	for range depth - 2 {
		m.between = append(m.between, New())
	}
	return m
}

func (m *mesh) in(ms int, apply func()) { heap.Push(&m.events, event{m.now + ms, apply}) }

func (m *mesh) time() time.Time { return start.Add(time.Duration(m.now) * time.Millisecond) }

// play sends load times room runs a second until the end.
func (m *mesh) play(load func(ms int) float64) {
	end := (len(m.done) - 1) * 1000
	for m.now < end {
		for len(m.events) > 0 && m.events[0].at <= m.now {
			heap.Pop(&m.events).(event).apply()
		}
		for _, h := range m.hosts {
			if m.rnd.Float64() < load(m.now)*room/float64(len(m.hosts))/1000 {
				m.offer(h)
			}
			if m.now%50 == 0 {
				h.limit = hostSlots
				if limit, ok := h.moderator.Adjust(m.time(), hostSlots)["called"]; ok {
					h.limit = limit
				}
			}
		}
		m.now++
	}
}

func (m *mesh) offer(h *host) {
	if float64(h.running+1) > min(h.limit+h.fraction, hostSlots) {
		return
	}
	h.running++
	h.fraction = m.rnd.Float64()
	began := m.now
	m.in(m.vary(runMs), func() { m.call(h, began, callsPerRun) })
}

// vary returns a time around the mean.
func (m *mesh) vary(ms int) int { return ms/2 + m.rnd.IntN(ms) }

// call makes the calls of a run that are left, then ends it.
func (m *mesh) call(h *host, began, left int) {
	if left == 0 {
		h.running--
		m.done[m.now/1000]++
		h.moderator.RecordRun(time.Duration(m.now-began)*time.Millisecond, []string{"called"})
		return
	}
	asked := m.now
	m.acquire(func() {
		wait := time.Duration(m.now-asked) * time.Millisecond
		if m.now-asked > callDeadlineMs {
			m.release()
			m.refuse(h)
			return
		}
		m.wait[m.now/1000] += wait
		m.counts[m.now/1000]++
		m.in(m.vary(callMs), func() {
			m.release()
			reported := m.report(wait)
			m.in(h.delayMs, func() {
				h.moderator.RecordCall(m.time(), Call{Service: "called", Wait: reported, TimeLeft: objective})
			})
			m.call(h, began, left-1)
		})
	})
}

// refuse ends a run whose call was refused.
func (m *mesh) refuse(h *host) {
	h.running--
	m.in(h.delayMs, func() {
		h.moderator.RecordCall(m.time(), Call{Service: "called", TimeLeft: objective, IsRefused: true})
	})
}

// report passes a wait on through the services between, each of which makes one call a run.
func (m *mesh) report(wait time.Duration) time.Duration {
	for _, b := range m.between {
		b.RecordCall(m.time(), Call{Service: "next", Wait: wait, TimeLeft: objective})
		b.RecordRun(callMs*time.Millisecond, []string{"next"})
		b.Adjust(m.time(), 1000)
		wait = b.WaitPerRun()
	}
	return wait
}

func (m *mesh) acquire(run func()) {
	if m.busy == calledSlots {
		m.queue = append(m.queue, run)
		return
	}
	m.busy++
	run()
}

func (m *mesh) release() {
	m.busy--
	if len(m.queue) > 0 {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.busy++
		next()
	}
}

func steady(load float64) func(int) float64 { return func(int) float64 { return load } }

// assertGoodput checks that in each of the seconds the runs that ended well are within a
// tenth of the room, and that calls waited for less than their objective once the limits
// had settleSeconds to follow a step of the load.
func assertGoodput(t *testing.T, m *mesh, from, to int) {
	t.Helper()
	for second := from; second < to; second++ {
		assert.Assert(t, m.done[second] >= room*9/10, "second %d: %d of %d runs", second, m.done[second], room)
		mean := m.wait[second] / time.Duration(max(m.counts[second], 1))
		assert.Assert(t, mean < objective || second < from+settleSeconds, "second %d: calls waited %s", second, mean)
	}
}

// TestCrest replays a crest of 1.3 times the called room, with what is known 50 to 500 ms old.
func TestCrest(t *testing.T) {
	t.Run("goodput stays within a tenth of the room", func(t *testing.T) {
		m := newMesh(20, 2, 50, 500)
		m.play(steady(1.3))
		assertGoodput(t, m, 1, 20)
	})
	t.Run("all room is used again after each crest of a wave", func(t *testing.T) {
		m := newMesh(24, 2, 50, 500)
		m.play(func(ms int) float64 {
			if ms/3000%2 == 0 {
				return 1.3
			}
			return 0.5
		})
		for _, crest := range []int{1, 7, 13, 19} {
			assertGoodput(t, m, crest, crest+settleSeconds)
		}
	})
	t.Run("calls that are nested as deep as may be", func(t *testing.T) {
		m := newMesh(20, 11, 50, 500)
		m.play(steady(1.3))
		assertGoodput(t, m, 2, 20)
	})
	t.Run("nothing is limited below the room", func(t *testing.T) {
		m := newMesh(10, 2, 50, 500)
		m.play(steady(0.6))
		for _, h := range m.hosts {
			assert.Equal(t, h.limit, float64(hostSlots))
		}
	})
}

func TestModerator(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	t.Run("refused calls lower the limit", func(t *testing.T) {
		m := New()
		for ms := range 2000 {
			if ms%20 == 0 {
				m.RecordCall(at(ms), Call{Service: "called", TimeLeft: objective, IsRefused: true})
				m.RecordRun(200*time.Millisecond, []string{"called"})
			}
			m.Adjust(at(ms), hostSlots)
		}
		assert.Assert(t, m.Adjust(at(2000), hostSlots)["called"] < hostSlots/2)
	})
	t.Run("a service that is no longer called has no limit", func(t *testing.T) {
		m := New()
		m.RecordCall(at(0), Call{Service: "called", TimeLeft: objective, IsRefused: true})
		m.RecordRun(200*time.Millisecond, []string{"called"})
		assert.Equal(t, len(m.Adjust(at(300), hostSlots)), 1)
		assert.Equal(t, len(m.Adjust(at(300).Add(forgetAfter), hostSlots)), 0)
	})
	t.Run("some runs start always", func(t *testing.T) {
		m := New()
		for ms := range 20_000 {
			m.RecordCall(at(ms), Call{Service: "called", TimeLeft: objective, IsRefused: true})
			m.RecordRun(200*time.Millisecond, []string{"called"})
			m.Adjust(at(ms), hostSlots)
		}
		assert.Equal(t, m.Adjust(at(20_000), hostSlots)["called"], minLimit)
	})
}
