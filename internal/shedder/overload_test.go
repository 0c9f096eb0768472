package shedder

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Costs and times of the model of a node.
const (
	turnCost   = 650 * time.Microsecond
	rejectCost = 260 * time.Microsecond
	targetTime = 300 * time.Millisecond
	// fullValue is for how long an answer keeps its full value, patience how long a caller waits.
	fullValue = time.Second
	patience  = 6 * time.Second
	// unreadLimit is when a caller gives up an attempt that has not been read, to make another one.
	unreadLimit  = time.Second
	maxAttempts  = 3
	sampleEvery  = 50 * time.Millisecond
	sampleWindow = 3
)

// attempt is one attempt of a caller to send a request.
type attempt struct {
	first, sent time.Duration
	number      int
	read        bool
}

// event is something that happens at a time: a turn of an attempt that becomes ready, a
// caller that gives up (turn 0), or a measurement of the lateness (no attempt).
type event struct {
	at      time.Duration
	attempt *attempt
	turn    int
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

// model is a node with one processor that takes what is ready in order, in front of a
// target that always answers in targetTime.
type model struct {
	events events
	// free is when the processor has done what became ready so far.
	free     time.Duration
	samples  [sampleWindow]time.Duration
	rejected func(now time.Time, r Request, l Lateness) bool
	// inTime counts the answers in time by the second in which the caller first asked.
	inTime map[int]int
}

func (m *model) schedule(at time.Duration, a *attempt, turn int) {
	heap.Push(&m.events, event{at, a, turn})
}

// send makes an attempt for a request that a caller sent first at the given time.
func (m *model) send(at, first time.Duration, number int) {
	if number > maxAttempts || at >= first+patience {
		return
	}
	a := &attempt{first: first, sent: at, number: number}
	m.schedule(at, a, 1)
	m.schedule(at+unreadLimit, a, 0)
}

func (m *model) lateness() Lateness {
	l := Lateness{Standing: m.samples[0], Tolerance: Tolerance(fullValue)}
	for _, s := range m.samples {
		l.Mean += s / sampleWindow
		l.Standing = min(l.Standing, s)
	}
	return l
}

func (m *model) handle(e event) {
	done := max(m.free, e.at)
	switch {
	case e.attempt == nil:
		copy(m.samples[1:], m.samples[:])
		m.samples[0] = done - e.at
		m.schedule(done+sampleEvery, nil, 0)
	case e.turn == 0:
		if !e.attempt.read {
			m.send(e.at, e.attempt.first, e.attempt.number+1)
		}
	case e.turn == 1:
		m.admit(done, e.attempt)
	case e.turn < turns:
		m.free = done + turnCost
		wait := time.Duration(0)
		if e.turn == turns/2 {
			wait = targetTime
		}
		m.schedule(m.free+wait, e.attempt, e.turn+1)
	default:
		m.free = done + turnCost
		if m.free <= e.attempt.first+fullValue {
			m.inTime[int(e.attempt.first/time.Second)]++
		}
	}
}

// admit reads an attempt. One that its caller has given up costs two turns, since the close
// of the connection is noticed after the request has been sent on.
func (m *model) admit(now time.Duration, a *attempt) {
	if now >= a.sent+unreadLimit {
		m.free = now + 2*turnCost
		return
	}
	a.read = true
	if m.rejected(start.Add(now), Request{Deadline: start.Add(a.first + patience)}, m.lateness()) {
		m.free = now + rejectCost
		m.send(m.free, a.first, a.number+1)
		return
	}
	m.free = now + turnCost
	m.schedule(m.free, a, 2)
}

// serve plays a load that takes the given share of the processor, with a peak from second
// 4 to 8, and returns the share of the requests of each second that are answered in time.
func serve(rejected func(time.Time, Request, Lateness) bool, usual, peak float64) []float64 {
	const lasts = 20
	m := &model{rejected: rejected, inTime: map[int]int{}}
	m.schedule(0, nil, 0)
	rnd := rand.New(rand.NewPCG(1, 2))
	sent := make([]float64, lasts)
	for at := time.Duration(0); at < lasts*time.Second; {
		share := usual
		if at >= 4*time.Second && at < 8*time.Second {
			share = peak
		}
		sent[int(at/time.Second)]++
		m.send(at, at, 1)
		at += time.Duration(rnd.ExpFloat64() * turns * float64(turnCost) / share)
	}
	for m.events[0].at < lasts*time.Second+patience {
		m.handle(heap.Pop(&m.events).(event))
	}
	for second := range sent {
		sent[second] = float64(m.inTime[second]) / sent[second]
	}
	return sent
}

// TestPeakThatCallersMultiply replays a peak of four seconds at 1.4 times the processor of
// a node, whose callers come back twice at once. It guards against a node that goes on
// serving late what its callers have given up and asked for again, long after the peak.
func TestPeakThatCallersMultiply(t *testing.T) {
	byDeadline := func(now time.Time, r Request, l Lateness) bool { return Decide(now, r.Deadline, l.Mean, 0).Rejected }
	rnd := rand.New(rand.NewPCG(1, 3))
	guarded := func(now time.Time, r Request, l Lateness) bool {
		return byDeadline(now, r, l) || rnd.Float64() < l.RejectedShare(r)
	}
	const peakEnds, recovery = 8, 3
	for _, usual := range []float64{0.75, 0.9} {
		t.Run(fmt.Sprintf("usual load %.2f", usual), func(t *testing.T) {
			without := serve(byDeadline, usual, 1.4)
			assert.Assert(t, without[peakEnds+recovery] < 0.5, "the load does not outlast the peak: %.2f", without)
			with := serve(guarded, usual, 1.4)
			for second := peakEnds + recovery; second < len(with); second++ {
				assert.Assert(t, with[second] >= 0.9*with[0], "%.2f", with)
			}
		})
	}
}
