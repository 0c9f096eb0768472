// Package experimenter drives the decisions of the request path, limiter,
// router and retrier, through simulated time, beside simple baselines with the
// same seed. One event loop runs targets that share their speed among the
// requests in them, and entry nodes that choose, retry and hedge.
//
//	report := experimenter.Run(experimenter.SlowTarget(1, experimenter.RouteTable))
//	fmt.Println(report.Of("slow", snapshotter.ClassShort, "paza").Percentile(99))
package experimenter

import (
	"container/heap"
	"time"
)

// event is something that happens at a time, counted from Epoch.
type event struct {
	at time.Duration
	// order breaks ties: events of one time happen in the order in which they were added.
	order uint64
	do    func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].order < h[j].order
	}
	return h[i].at < h[j].at
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// loop runs events in order of time.
type loop struct {
	now    time.Time
	events eventHeap
	added  uint64
}

// at adds an event. One whose time has passed happens now.
func (l *loop) at(t time.Time, do func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.added++
	heap.Push(&l.events, &event{at: t.Sub(Epoch), order: l.added, do: do})
}

func (l *loop) after(d time.Duration, do func()) { l.at(l.now.Add(d), do) }

// run handles events until none is left before end.
func (l *loop) run(end time.Time) {
	for len(l.events) > 0 && At(l.events[0].at).Before(end) {
		e := heap.Pop(&l.events).(*event)
		l.now = At(e.at)
		e.do()
	}
	l.now = end
}
